package proxy

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/fakes/process/serve"
)

// LinkConfig forwards the connections of one address to another.
type LinkConfig struct {
	Name   string         `json:"name"`
	Listen netip.AddrPort `json:"listen"`
	Target netip.AddrPort `json:"target"`
}

// Freeze names the directions in which nothing passes.
type Freeze string

// The values of Freeze.
const (
	FreezeNone     Freeze = ""
	FreezeToTarget Freeze = "to_target"
	FreezeToClient Freeze = "to_client"
	FreezeBoth     Freeze = "both"
)

// Fault is the fault state of a link. Its zero value forwards at once.
type Fault struct {
	// Down closes all connections and refuses new ones.
	Down bool `json:"cut"`
	// Freeze accepts connections and holds back what is sent, and the ends of
	// connections, until it is lifted.
	Freeze Freeze `json:"freeze"`
	// DelayMs holds back each byte for a time in each direction.
	DelayMs int `json:"delay_ms"`
	// HalfOpen closes the target's side of all connections without telling
	// the clients, and accepts new ones that lead nowhere.
	HalfOpen bool `json:"half_open"`
	// SwapResponses pairs the connections made from now on and gives each client what
	// the target sends to the other one of its pair. An answer for which no
	// partner is found within 200 ms goes to its own client.
	SwapResponses bool `json:"cross"`
}

// swapTimeout is the time for which an answer waits for a partner.
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
	// Accepted counts the connections since the start; Open are those now.
	Accepted int `json:"accepted"`
	Open     int `json:"open"`
}

// link is one running pair.
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
	// unpaired is the connection that waits for a partner to be crossed with.
	unpaired *forwardedConn
}

// forwardedConn is one forwarded connection. target is nil if it leads nowhere.
type forwardedConn struct {
	client, target net.Conn
	// peer receives the connection whose client gets the target's answers.
	peer chan *forwardedConn
	done chan struct{}
	once sync.Once
}

func (j *forwardedConn) close() {
	j.once.Do(func() {
		close(j.done)
		_ = j.client.Close()
		if j.target != nil {
			_ = j.target.Close()
		}
	})
}

func openLink(p LinkConfig) (*link, error) {
	if !p.Target.Addr().IsLoopback() {
		return nil, trace.BadParameter("the target %q is not a loopback address with a port", p.Target)
	}
	ln, err := serve.Listen(p.Listen)
	if err != nil {
		return nil, err
	}
	p.Listen = netip.MustParseAddrPort(ln.Addr().String())
	l := &link{cfg: p, ln: ln, changed: make(chan struct{}), conns: map[*forwardedConn]struct{}{}}
	l.wg.Go(func() { l.accept(ln) })
	return l, nil
}

func (l *link) status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Status{LinkConfig: l.cfg, Fault: l.fault, Accepted: l.accepted, Open: len(l.conns)}
}

// set changes the fault state.
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
	for j := range l.conns {
		switch {
		case f.Down, old.HalfOpen && !f.HalfOpen:
			j.close()
		case f.HalfOpen && j.target != nil:
			_ = j.target.Close()
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
	for j := range l.conns {
		j.close()
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

// forward serves one connection to its end.
func (l *link) forward(client net.Conn) {
	j := &forwardedConn{client: client, peer: make(chan *forwardedConn, 1), done: make(chan struct{})}
	defer j.close()
	if !l.isHalfOpen() {
		target, err := net.DialTimeout("tcp", l.cfg.Target.String(), time.Second)
		if err != nil {
			return
		}
		j.target = target
	}
	l.mu.Lock()
	if l.closed || l.fault.Down {
		l.mu.Unlock()
		return
	}
	if l.fault.HalfOpen && j.target != nil {
		_ = j.target.Close()
	}
	l.conns[j] = struct{}{}
	l.accepted++
	l.assignPeer(j)
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.conns, j)
		if l.unpaired == j {
			l.unpaired = nil
		}
		l.mu.Unlock()
	}()
	if j.target == nil {
		_, _ = io.Copy(io.Discard, client)
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { l.copy(j, j.target, client, FreezeToTarget) })
	wg.Go(func() { l.copy(j, nil, j.target, FreezeToClient) })
	wg.Wait()
}

// assignPeer finds the peer of a new connection: itself, unless the fault state
// crosses it with another one.
func (l *link) assignPeer(j *forwardedConn) {
	switch {
	case !l.fault.SwapResponses:
		j.peer <- j
	case l.unpaired == nil:
		l.unpaired = j
	default:
		j.peer <- l.unpaired
		l.unpaired.peer <- j
		l.unpaired = nil
	}
}

// responseClient returns the client that gets the answers of the target, or nil if
// the connection was closed.
func (l *link) responseClient(j *forwardedConn) net.Conn {
	t := time.NewTimer(swapTimeout)
	defer t.Stop()
	select {
	case p := <-j.peer:
		return p.client
	case <-j.done:
		return nil
	case <-t.C:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unpaired == j {
		l.unpaired = nil
		return j.client
	}
	return (<-j.peer).client
}

// chunk is what was read at once; the last one of a direction has an error.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// copy passes on what comes from src. It reads ahead, so that a delay does not
// limit the rate. A nil dst is the recipient of the target's answers.
func (l *link) copy(j *forwardedConn, dst, src net.Conn, direction Freeze) {
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
			case <-j.done:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range queue {
		if !l.awaitRelease(j, c.due, direction) {
			return
		}
		if dst == nil {
			if dst = l.responseClient(j); dst == nil {
				return
			}
		}
		if len(c.data) > 0 {
			if _, err := dst.Write(c.data); err != nil && !l.isHalfOpen() {
				j.close()
				return
			}
		}
		switch {
		case c.err == nil:
		case l.isHalfOpen():
			// The other side is not told; it is closed with the link or when
			// the fault is lifted.
			<-j.done
			return
		case errors.Is(c.err, io.EOF):
			if cw, ok := dst.(interface{ CloseWrite() error }); ok {
				_ = cw.CloseWrite()
			}
			return
		default:
			j.close()
			return
		}
	}
}

// awaitRelease waits until the time due has come and the direction is not frozen. It
// returns false if the connection was closed.
func (l *link) awaitRelease(j *forwardedConn, due time.Time, direction Freeze) bool {
	t := time.NewTimer(time.Until(due))
	defer t.Stop()
	select {
	case <-t.C:
	case <-j.done:
		return false
	}
	for {
		f, changed := l.state()
		if f.Freeze != direction && f.Freeze != FreezeBoth {
			return true
		}
		select {
		case <-changed:
		case <-j.done:
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
