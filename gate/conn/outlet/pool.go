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
	// defaultIdleTimeout is how long an idle connection is kept if the upstream
	// does not announce a keep-alive timeout.
	defaultIdleTimeout = 2 * time.Second
	// idleMargin is how long before the upstream's keep-alive timeout an idle
	// connection expires. Without it, a request could arrive while the upstream
	// closes the connection.
	idleMargin = 700 * time.Millisecond
	// MaxIdleNonRetryable is the maximum idle time of a connection for a request
	// that may run only once.
	MaxIdleNonRetryable = 400 * time.Millisecond
	// headerBuffer is the maximum size of a response header in bytes.
	headerBuffer = 8 << 10
)

// Pool is a pool of connections to one upstream. It is safe for concurrent use.
// Its exported fields must be set before use.
type Pool struct {
	Addr netip.AddrPort

	mu sync.Mutex
	// maxConnections limits the open connections; zero means no limit.
	maxConnections int
	idle           []*Conn
	open           int
	closed         bool
}

// SetMaxConnections sets the limit of open connections; zero means no limit.
func (p *Pool) SetMaxConnections(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConnections = n
}

// Get returns a connection that has been idle for no longer than maxIdle, or a
// new one, for which isNew is true. It fails with trace.LimitExceeded if too
// many connections are open, and with trace.ConnectionProblem if the upstream
// cannot be reached; nothing was sent in either case.
func (p *Pool) Get(ctx context.Context, maxIdle time.Duration) (c *Conn, isNew bool, err error) {
	if c := p.takeIdle(maxIdle); c != nil {
		return c, false, nil
	}
	p.mu.Lock()
	if limit := p.maxConnections; limit > 0 && p.open >= limit {
		p.mu.Unlock()
		return nil, false, trace.LimitExceeded("%d connections to %s are open", limit, p.Addr)
	}
	p.open++
	p.mu.Unlock()
	tcp, err := dial.TCP(ctx, p.Addr)
	if err != nil {
		p.countClosed()
		return nil, false, trace.ConnectionProblem(err, "cannot connect to %s", p.Addr)
	}
	meter.Event("upstream_connections")
	return &Conn{pool: p, tcp: tcp, br: bufio.NewReaderSize(tcp, headerBuffer)}, true, nil
}

// takeIdle removes and returns the most recently used idle connection that is
// still usable, or returns nil if that has been idle for longer than maxIdle or
// there is none. It closes unusable connections.
func (p *Pool) takeIdle(maxIdle time.Duration) *Conn {
	now := time.Now()
	for {
		p.mu.Lock()
		if len(p.idle) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[len(p.idle)-1]
		if now.Sub(c.idleSince) > maxIdle && now.Before(c.idleUntil) {
			// The others have been idle even longer.
			p.mu.Unlock()
			return nil
		}
		p.idle = p.idle[:len(p.idle)-1]
		p.mu.Unlock()
		if now.Before(c.idleUntil) && c.br.Buffered() == 0 && probe.Idle(c.tcp) {
			return c
		}
		c.Close()
	}
}

// putIdle adds a connection to the idle ones, or closes it if the pool is
// closed.
func (p *Pool) putIdle(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		go c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// countClosed removes a connection from the count of open ones.
func (p *Pool) countClosed() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// CloseExpired closes the idle connections that have expired.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	var expired []*Conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.After(c.idleUntil) {
			expired = append(expired, c)
		} else {
			kept = append(kept, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}

// Close closes the idle connections. Those in use are closed after their
// response.
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
