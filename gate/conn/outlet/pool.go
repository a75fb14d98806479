package outlet

import (
	"bufio"
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core/conn/dial"
	"parsleyroute.example/core/conn/probe"
	"parsleyroute.example/core/process/meter"
)

const (
	// defaultIdle is the time for which an idle connection is kept if the
	// upstream does not say how long it keeps it.
	defaultIdle = 2 * time.Second
	// idleMargin is how long before the upstream's own limit an idle connection
	// is given up, since a request could cross its close.
	idleMargin = 700 * time.Millisecond
	// MaxIdleNonRetryable is the greatest idle time of a connection that carries a
	// request which may run only once.
	MaxIdleNonRetryable = 400 * time.Millisecond
	// headBuffer must hold the head of an answer.
	headBuffer = 8 << 10
)

// Pool holds the idle connections to one upstream. It is safe for concurrent
// use. Its exported fields are set before use.
type Pool struct {
	Addr netip.AddrPort

	mu sync.Mutex
	// most bounds the open connections; zero means no bound.
	most   int
	idle   []*Conn
	open   int
	closed bool
}

// SetMaxConnections bounds the open connections from now on; zero means no bound.
func (p *Pool) SetMaxConnections(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most = n
}

// Get returns a connection that has been idle for no longer than maxIdle, or a
// new one. fresh is set for a new one. Its errors are trace.LimitExceeded if
// too many connections are open, and trace.ConnectionProblem if the upstream
// cannot be reached; nothing was sent then.
func (p *Pool) Get(ctx context.Context, maxIdle time.Duration) (c *Conn, fresh bool, err error) {
	if c := p.take(maxIdle); c != nil {
		return c, false, nil
	}
	p.mu.Lock()
	if most := p.most; most > 0 && p.open >= most {
		p.mu.Unlock()
		return nil, false, trace.LimitExceeded("%d connections to %s are open", most, p.Addr)
	}
	p.open++
	p.mu.Unlock()
	tcp, err := dial.TCP(ctx, p.Addr)
	if err != nil {
		p.forget()
		return nil, false, trace.ConnectionProblem(err, "no connection to %s", p.Addr)
	}
	meter.Event("upstream_connections")
	return &Conn{pool: p, c: tcp, br: bufio.NewReaderSize(tcp, headBuffer)}, true, nil
}

// take returns the idle connection that was used last, if it is still good.
func (p *Pool) take(maxIdle time.Duration) *Conn {
	now := time.Now()
	for {
		p.mu.Lock()
		if len(p.idle) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[len(p.idle)-1]
		if now.Sub(c.since) > maxIdle && now.Before(c.until) {
			// The others have been idle for longer still.
			p.mu.Unlock()
			return nil
		}
		p.idle = p.idle[:len(p.idle)-1]
		p.mu.Unlock()
		if now.Before(c.until) && c.br.Buffered() == 0 && probe.Idle(c.c) {
			return c
		}
		c.Close()
	}
}

// put keeps a connection for the next request.
func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		go c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

func (p *Pool) forget() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// CloseExpired closes the idle connections whose time has passed.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	var old []*Conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.After(c.until) {
			old = append(old, c)
		} else {
			kept = append(kept, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

// Close closes the idle connections; those in use are closed after their
// answer.
func (p *Pool) Close() error {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
	return nil
}
