// Package server runs fiber apps as HTTP servers that report their listen
// address and wait for requests in flight when they close.
package server

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	"github.com/gravitational/trace"
)

// Server serves App at the address Listen. The fields must be set before Start.
type Server struct {
	App    *fiber.App
	Listen netip.AddrPort

	ln   net.Listener
	done chan error
}

// Start opens the listener and serves in the background.
func (s *Server) Start() error {
	ln, err := net.Listen("tcp", s.Listen.String())
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	s.ln = ln
	s.done = make(chan error, 1)
	go func() { s.done <- s.App.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true}) }()
	return nil
}

// Addr returns the address at which the server listens.
func (s *Server) Addr() netip.AddrPort { return netip.MustParseAddrPort(s.ln.Addr().String()) }

// Close stops accepting connections and waits for the requests in flight until
// ctx ends.
func (s *Server) Close(ctx context.Context) error {
	err := s.App.ShutdownWithContext(ctx)
	_ = s.ln.Close()
	if err != nil {
		return trace.Wrap(err)
	}
	<-s.done
	return nil
}

// Twirp adds a route for a Twirp server below its path prefix.
func Twirp(r fiber.Router, prefix string, h http.Handler) {
	r.Post(prefix+"*", adaptor.HTTPHandler(h))
}

// Debug adds routes for the counters at /debug/vars and the runtime's profiles
// at /debug/pprof. Use it only on addresses that just peers and operators can
// reach.
func Debug(r fiber.Router) {
	r.Get("/debug/vars", adaptor.HTTPHandler(expvar.Handler()))
	r.Get("/debug/pprof/profile", adaptor.HTTPHandlerFunc(pprof.Profile))
	r.Get("/debug/pprof/*", adaptor.HTTPHandlerFunc(pprof.Index))
}
