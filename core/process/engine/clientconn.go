package engine

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"parsleyroute.example/core/conn/probe"
	"parsleyroute.example/core/conn/strict"
)

// dialTimeout limits the dialing of an upstream, which is on the same machine.
const dialTimeout = time.Second

// idleTimeout is the time after which an unused connection is closed. Common
// servers close idle connections later.
const idleTimeout = 5 * time.Second

// clientConn is an HTTP client with one connection, for one call at a time.
// fasthttp does not support contexts, so clientConn keeps the connection in order
// to close it when a call is canceled.
type clientConn struct {
	client fasthttp.HostClient

	mu          sync.Mutex
	conn        *lingeringConn
	interrupted bool
	// hadConn is set if the call in flight has or had a connection, new or reused.
	hadConn bool
}

func newClientConn(addr string) *clientConn {
	cc := &clientConn{}
	cc.client = fasthttp.HostClient{
		Addr:     addr,
		Dial:     cc.dial,
		MaxConns: 1,
		// A call must not be sent twice.
		MaxIdemponentCallAttempts: 1,
		MaxIdleConnDuration:       idleTimeout,
		StreamResponseBody:        true,
		DisablePathNormalizing:    true,
		NoDefaultUserAgentHeader:  true,
	}
	return cc
}

func (cc *clientConn) dial(addr string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.interrupted {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	cc.conn, cc.hadConn = newLingeringConn(c.(*net.TCPConn)), true
	return strict.NewConn(cc.conn), nil
}

// interrupt ends the call in flight. The clientConn cannot be used afterwards.
func (cc *clientConn) interrupt() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.interrupted = true
	if cc.conn != nil {
		_ = cc.conn.Close()
	}
}

// dropIfClosed discards a connection that the upstream has closed, so that no
// call is sent on it and lost.
func (cc *clientConn) dropIfClosed() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.conn != nil && probe.Closed(cc.conn) {
		cc.client.CloseIdleConnections()
		cc.conn = nil
	}
	cc.hadConn = cc.conn != nil
}

// connected reports whether the call in flight had a connection, so that the
// upstream may have received it.
func (cc *clientConn) connected() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.hadConn
}

// closeAndRelease closes the connection of a call that was interrupted or has
// failed, and calls onRelease once the upstream has closed its side.
func (cc *clientConn) closeAndRelease(onRelease func()) {
	cc.mu.Lock()
	c := cc.conn
	cc.mu.Unlock()
	if c == nil {
		onRelease()
		return
	}
	_ = c.Close()
	go func() { <-c.peerClosed; onRelease() }()
}

func (cc *clientConn) close() { cc.client.CloseIdleConnections() }
