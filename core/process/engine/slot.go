package engine

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"parsleyroute.example/core/conn/probe"
)

// dialTimeout bounds a new connection to an upstream on the same machine.
const dialTimeout = time.Second

// idleTime is the time after which an unused connection is closed; common
// servers keep them for longer.
const idleTime = 5 * time.Second

// slot is one connection that serves one call at a time. fasthttp has no
// context, so a slot knows its connection in order to close it.
type slot struct {
	client fasthttp.HostClient

	mu     sync.Mutex
	conn   *conn
	cut    bool
	dialed bool
}

func newSlot(addr string) *slot {
	s := &slot{}
	s.client = fasthttp.HostClient{
		Addr:     addr,
		Dial:     s.dial,
		MaxConns: 1,
		// A call must not be sent twice.
		MaxIdemponentCallAttempts: 1,
		MaxIdleConnDuration:       idleTime,
		StreamResponseBody:        true,
		DisablePathNormalizing:    true,
		NoDefaultUserAgentHeader:  true,
	}
	return s
}

func (s *slot) dial(addr string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cut {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	s.conn, s.dialed = newConn(c.(*net.TCPConn)), true
	return s.conn, nil
}

// interrupt ends the call in flight. The slot is of no use afterwards.
func (s *slot) interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = true
	if s.conn != nil {
		_ = s.conn.Close()
	}
}

// ready drops a connection that the upstream has closed meanwhile, so that no
// call is sent on it and lost.
func (s *slot) ready() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil && probe.Closed(s.conn) {
		s.client.CloseIdleConnections()
		s.conn = nil
	}
	s.dialed = s.conn != nil
}

// sent reports whether the call in flight got a connection, so that the
// upstream may have seen it.
func (s *slot) sent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dialed
}

// left calls f once the upstream has let go of the call in flight, which was
// interrupted or has failed.
func (s *slot) left(f func()) {
	s.mu.Lock()
	c := s.conn
	s.mu.Unlock()
	if c == nil {
		f()
		return
	}
	_ = c.Close()
	go func() { <-c.gone; f() }()
}

func (s *slot) close() { s.client.CloseIdleConnections() }
