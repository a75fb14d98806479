package inlet

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
)

const (
	// writeTimeout bounds the sending of one part of an answer to a caller that
	// does not read; callers give a stream up after 2 s.
	writeTimeout = 5 * time.Second
	// acceptPause is the wait after a failure to accept, such as a lack of
	// descriptors.
	acceptPause = 20 * time.Millisecond
)

// The limits in force until a configuration is known.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// Handler answers requests.
type Handler interface {
	// Serve answers the request, or calls Abort.
	Serve(x *Exchange)
	// Reject writes a refusal of a request that cannot be read.
	Reject(x *Exchange, status int, reason core.Reason)
}

// Server serves callers. Its exported fields are set before Start.
type Server struct {
	Listen  netip.AddrPort
	Handler Handler
	// Limits returns the limits in force; its zero fields mean defaults.
	Limits func() core.CallerLimits
	// MaxConnections bounds the open connections; zero means no bound.
	MaxConnections int

	ln     net.Listener
	conns  sync.Map // of *conn
	open   atomic.Int64
	active atomic.Int64
	// drained has each answer end its connection; closed ends idle ones.
	drained atomic.Bool
	closed  atomic.Bool
	wg      sync.WaitGroup
}

// Start opens the listener and serves in the background.
func (s *Server) Start() error {
	ln, err := net.Listen("tcp", s.Listen.String())
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	s.ln = ln
	s.wg.Go(s.accept)
	return nil
}

// Addr returns the address at which the server listens.
func (s *Server) Addr() netip.AddrPort { return netip.MustParseAddrPort(s.ln.Addr().String()) }

// Active returns the number of requests that are being handled.
func (s *Server) Active() int { return int(s.active.Load()) }

// Drain has each further answer end its connection. New connections are still
// taken.
func (s *Server) Drain() { s.drained.Store(true) }

// Close takes no more connections, ends those that are idle, and waits for the
// requests in flight until ctx ends. It then ends the rest.
func (s *Server) Close(ctx context.Context) error {
	s.drained.Store(true)
	s.closed.Store(true)
	_ = s.ln.Close()
	s.conns.Range(func(k, _ any) bool {
		k.(*conn).endIdle()
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
			_ = k.(*conn).c.Close()
			return true
		})
		<-done
		return trace.LimitExceeded("%d requests were cut off at shutdown", n)
	}
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
	for {
		c, err := s.ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			meter.Event("accept_errors")
			time.Sleep(acceptPause)
			continue
		}
		if s.MaxConnections > 0 && s.open.Load() >= int64(s.MaxConnections) {
			meter.Event("accept_refused")
			_ = c.Close()
			continue
		}
		s.open.Add(1)
		k := &conn{server: s, c: c.(*net.TCPConn)}
		s.conns.Store(k, nil)
		s.wg.Go(func() {
			defer s.open.Add(-1)
			defer s.conns.Delete(k)
			k.serve()
		})
	}
}
