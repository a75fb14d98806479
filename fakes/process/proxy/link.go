package proxy

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/fakes/process/serve"
)

// LinkConfig configures a link, which forwards the connections of one address to
// another.
type LinkConfig struct {
	Name   string         `json:"name"`
	Listen netip.AddrPort `json:"listen"`
	Target netip.AddrPort `json:"target"`
}

// Freeze names the directions in which no data is forwarded.
type Freeze string

// The values of Freeze.
const (
	FreezeNone     Freeze = ""
	FreezeToTarget Freeze = "to_target"
	FreezeToClient Freeze = "to_client"
	FreezeBoth     Freeze = "both"
)

// Fault holds the faults of a link. Its zero value forwards without a delay.
type Fault struct {
	// Down closes all connections and refuses new ones.
	Down bool `json:"cut"`
	// Freeze holds back data, and the ends of connections, until the fault is
	// removed. Connections are still accepted.
	Freeze Freeze `json:"freeze"`
	// DelayMs delays each byte by that time in each direction.
	DelayMs int `json:"delay_ms"`
	// HalfOpen closes the connections to the target while those of the clients
	// stay open, and accepts new connections without connecting to the target.
	HalfOpen bool `json:"half_open"`
	// SwapResponses groups new connections in pairs and sends each client what the
	// target sends to the other one of its pair. If no partner connects within
	// swapTimeout of a response, its own client receives the response.
	SwapResponses bool `json:"cross"`
}

// swapTimeout is how long a response waits for the partner of its connection.
const swapTimeout = 200 * time.Millisecond

func (f Fault) check() error {
	switch f.Freeze {
	case FreezeNone, FreezeToTarget, FreezeToClient, FreezeBoth:
	default:
		return trace.BadParameter("freeze %q is not to_target, to_client or both", f.Freeze)
	}
	if f.DelayMs < 0 {
		return trace.BadParameter("delay_ms is negative")
	}
	return nil
}

// Status describes a link.
type Status struct {
	LinkConfig
	Fault
	// Accepted counts the connections since the start; Open is the number of
	// connections now.
	Accepted int `json:"accepted"`
	Open     int `json:"open"`
}

// link is a running link.
type link struct {
	wg sync.WaitGroup

	mu       sync.Mutex
	cfg      LinkConfig
	fault    Fault
	changed  chan struct{}
	ln       net.Listener
	conns    map[*forwardedConn]struct{}
	accepted int
	closed   bool
	// unpaired is the connection that waits for a partner, see
	// Fault.SwapResponses.
	unpaired *forwardedConn
}

// forwardedConn is one forwarded connection. target is nil if it was accepted
// while the link was half-open.
type forwardedConn struct {
	client, target net.Conn
	// peer receives the connection whose client gets the target's responses.
	peer chan *forwardedConn
	done chan struct{}
	once sync.Once
	// silent is set once the connection carries nothing any more.
	silent atomic.Bool
}

func (fc *forwardedConn) close() {
	fc.once.Do(func() {
		close(fc.done)
		_ = fc.client.Close()
		if fc.target != nil {
			_ = fc.target.Close()
		}
	})
}

func openLink(cfg LinkConfig) (*link, error) {
	if !cfg.Target.Addr().IsLoopback() {
		return nil, trace.BadParameter("the target %q is not a loopback address with a port", cfg.Target)
	}
	ln, err := serve.Listen(cfg.Listen)
	if err != nil {
		return nil, err
	}
	cfg.Listen = netip.MustParseAddrPort(ln.Addr().String())
	l := &link{cfg: cfg, ln: ln, changed: make(chan struct{}), conns: map[*forwardedConn]struct{}{}}
	l.wg.Go(func() { l.accept(ln) })
	return l, nil
}

func (l *link) status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Status{LinkConfig: l.cfg, Fault: l.fault, Accepted: l.accepted, Open: len(l.conns)}
}

// set changes the faults.
func (l *link) set(f Fault) error {
	if err := f.check(); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return trace.NotFound("the link %q is closed", l.cfg.Name)
	}
	old := l.fault
	if old.Down && !f.Down {
		ln, err := serve.Listen(l.cfg.Listen)
		if err != nil {
			return err
		}
		l.ln = ln
		l.wg.Go(func() { l.accept(ln) })
	}
	if f.Down && !old.Down {
		_ = l.ln.Close()
	}
	for fc := range l.conns {
		switch {
		case f.Down, old.HalfOpen && !f.HalfOpen:
			fc.close()
		case f.HalfOpen && fc.target != nil:
			_ = fc.target.Close()
		}
	}
	l.fault = f
	close(l.changed)
	l.changed = make(chan struct{})
	return nil
}

func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	_ = l.ln.Close()
	for fc := range l.conns {
		fc.close()
	}
	l.mu.Unlock()
	l.wg.Wait()
}

func (l *link) accept(ln net.Listener) {
	for {
		client, err := ln.Accept()
		if err != nil {
			return
		}
		l.wg.Go(func() { l.forward(client) })
	}
}

// forward serves one connection until it ends.
func (l *link) forward(client net.Conn) {
	fc := &forwardedConn{client: client, peer: make(chan *forwardedConn, 1), done: make(chan struct{})}
	defer fc.close()
	if !l.isHalfOpen() {
		target, err := net.DialTimeout("tcp", l.cfg.Target.String(), time.Second)
		if err != nil {
			return
		}
		fc.target = target
	}
	l.mu.Lock()
	if l.closed || l.fault.Down {
		l.mu.Unlock()
		return
	}
	if l.fault.HalfOpen && fc.target != nil {
		_ = fc.target.Close()
	}
	l.conns[fc] = struct{}{}
	l.accepted++
	l.assignPeer(fc)
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.conns, fc)
		if l.unpaired == fc {
			l.unpaired = nil
		}
		l.mu.Unlock()
	}()
	if fc.target == nil {
		_, _ = io.Copy(io.Discard, client)
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { l.copy(fc, fc.target, client, FreezeToTarget) })
	wg.Go(func() { l.copy(fc, nil, fc.target, FreezeToClient) })
	wg.Wait()
}

// assignPeer sets the peer of a new connection: the connection itself, unless
// responses are swapped.
func (l *link) assignPeer(fc *forwardedConn) {
	switch {
	case !l.fault.SwapResponses:
		fc.peer <- fc
	case l.unpaired == nil:
		l.unpaired = fc
	default:
		fc.peer <- l.unpaired
		l.unpaired.peer <- fc
		l.unpaired = nil
	}
}

// responseClient returns the client that receives the responses of the target, or
// nil if the connection was closed.
func (l *link) responseClient(fc *forwardedConn) net.Conn {
	t := time.NewTimer(swapTimeout)
	defer t.Stop()
	select {
	case p := <-fc.peer:
		return p.client
	case <-fc.done:
		return nil
	case <-t.C:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unpaired == fc {
		l.unpaired = nil
		return fc.client
	}
	return (<-fc.peer).client
}

// chunk holds the data of one read. The last chunk of a direction has an error.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// copy forwards data from src to dst. It reads ahead, so that a delay does not
// limit the rate. If dst is nil, the data goes to responseClient.
func (l *link) copy(fc *forwardedConn, dst, src net.Conn, direction Freeze) {
	queue := make(chan chunk, 256)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, 16<<10)
			n, err := src.Read(buf)
			f, _ := l.state()
			c := chunk{data: buf[:n], due: time.Now().Add(time.Duration(f.DelayMs) * time.Millisecond), err: err}
			select {
			case queue <- c:
			case <-fc.done:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range queue {
		if !l.awaitRelease(fc, c.due, direction) {
			return
		}
		if fc.silent.Load() {
			<-fc.done
			return
		}
		if dst == nil {
			if dst = l.responseClient(fc); dst == nil {
				return
			}
		}
		if len(c.data) > 0 {
			if _, err := dst.Write(c.data); err != nil && !l.isHalfOpen() {
				fc.close()
				return
			}
		}
		switch {
		case c.err == nil:
		case l.isHalfOpen():
			// The other side is not notified; its connection is closed with the link or
			// when the fault is removed.
			<-fc.done
			return
		case errors.Is(c.err, io.EOF):
			if cw, ok := dst.(interface{ CloseWrite() error }); ok {
				_ = cw.CloseWrite()
			}
			return
		default:
			fc.close()
			return
		}
	}
}

// awaitRelease waits until the time due and until the direction is not frozen. It
// returns false if the connection was closed.
func (l *link) awaitRelease(fc *forwardedConn, due time.Time, direction Freeze) bool {
	t := time.NewTimer(time.Until(due))
	defer t.Stop()
	select {
	case <-t.C:
	case <-fc.done:
		return false
	}
	for {
		f, changed := l.state()
		if f.Freeze != direction && f.Freeze != FreezeBoth {
			return true
		}
		select {
		case <-changed:
		case <-fc.done:
			return false
		}
	}
}

func (l *link) isHalfOpen() bool {
	f, _ := l.state()
	return f.HalfOpen
}

func (l *link) state() (Fault, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.changed
}
