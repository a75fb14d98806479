package inlet

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/gate/conn/body"
)

const (
	// writeTimeout limits the time to send one part of a response to a caller
	// that does not read. Callers abandon a stream after 2 s.
	writeTimeout = 5 * time.Second
	// lastAcceptTime is how long connections that are already established are
	// accepted at shutdown.
	lastAcceptTime = 20 * time.Millisecond
	// acceptRetryDelay is the delay after a failed accept, for example for lack
	// of file descriptors.
	acceptRetryDelay = 20 * time.Millisecond
)

// The limits that apply until a configuration is known.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// Handler handles requests.
type Handler interface {
	// Serve writes the response to a request, or calls Abort.
	Serve(x *Exchange)
	// Reject writes the response to a request that cannot be read.
	Reject(x *Exchange, status int, reason core.Reason)
	// Panicked is called after a panic in one of the other methods, with the value
	// of the panic. The connection of the request is reset.
	Panicked(x *Exchange, value any)
}

// Server accepts callers' connections. Its exported fields must be set before
// Start.
type Server struct {
	Listen  netip.AddrPort
	Handler Handler
	// Limits returns the current limits; zero fields mean the defaults.
	Limits func() core.CallerLimits
	// MaxConnections limits the open connections; zero means no limit.
	MaxConnections int
	// Bodies keeps the bodies of requests; nil means that their bytes are not limited.
	Bodies *body.Store

	ln *net.TCPListener
	// acceptDone is closed once no more connections are accepted.
	acceptDone chan struct{}
	conns      sync.Map // of *conn
	openConns  atomic.Int64
	active     atomic.Int64
	// If draining is set, each connection is closed after its response. If
	// closed is set, idle connections are closed too.
	draining atomic.Bool
	closed   atomic.Bool
	wg       sync.WaitGroup
}

// Start opens the listener and serves in the background.
func (s *Server) Start() error {
	ln, err := net.Listen("tcp", s.Listen.String())
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	s.ln = ln.(*net.TCPListener)
	s.acceptDone = make(chan struct{})
	s.wg.Go(s.accept)
	return nil
}

// Addr returns the address at which the server listens.
func (s *Server) Addr() netip.AddrPort { return netip.MustParseAddrPort(s.ln.Addr().String()) }

// Active returns the number of requests that are being handled.
func (s *Server) Active() int { return int(s.active.Load()) }

// Drain closes each connection after its next response. New connections are
// still accepted.
func (s *Server) Drain() { s.draining.Store(true) }

// Close stops accepting connections, closes those that are idle, and waits for
// the requests in flight until ctx ends. It then closes the remaining
// connections.
func (s *Server) Close(ctx context.Context) error {
	s.draining.Store(true)
	s.closed.Store(true)
	// Closing the listener resets the connections that wait to be accepted,
	// together with the requests on them.
	_ = s.ln.SetDeadline(time.Now().Add(lastAcceptTime))
	<-s.acceptDone
	_ = s.ln.Close()
	s.conns.Range(func(k, _ any) bool {
		k.(*conn).closeIfIdle()
		return true
	})
	done := make(chan struct{})
	go func() { s.wg.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		n := s.Active()
		s.conns.Range(func(k, _ any) bool {
			_ = k.(*conn).tcp.Close()
			return true
		})
		<-done
		return trace.LimitExceeded("%d requests were aborted at shutdown", n)
	}
}

// unlimitedBodies keeps the bodies of servers without a limit.
var unlimitedBodies body.Store

func (s *Server) bodies() *body.Store {
	if s.Bodies == nil {
		return &unlimitedBodies
	}
	return s.Bodies
}

func (s *Server) limits() core.CallerLimits {
	l := s.Limits()
	orDefault(&l.HeaderBytes, defaultHeaderBytes)
	orDefault(&l.BodyBytes, defaultBodyBytes)
	orDefault(&l.HeaderTimeout, defaultHeaderTimeout)
	orDefault(&l.IdleTimeout, defaultIdleTimeout)
	return l
}

func orDefault[T int | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

func (s *Server) accept() {
	defer close(s.acceptDone)
	for {
		c, err := s.ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed), s.closed.Load() && errors.Is(err, os.ErrDeadlineExceeded):
			return
		case err != nil:
			meter.Event("accept_errors")
			time.Sleep(acceptRetryDelay)
			continue
		}
		if s.MaxConnections > 0 && s.openConns.Load() >= int64(s.MaxConnections) {
			meter.Event("accept_refused")
			_ = c.Close()
			continue
		}
		s.openConns.Add(1)
		k := &conn{server: s, tcp: c.(*net.TCPConn)}
		s.conns.Store(k, nil)
		s.wg.Go(func() {
			defer s.openConns.Add(-1)
			defer s.conns.Delete(k)
			k.serve()
		})
	}
}
