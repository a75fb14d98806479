// Package server runs the HTTP servers of our programs: fiber apps that report
// the address they listen at and wait for requests in flight when they close.
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

// Server serves App at Listen. The fields are set before Start.
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

// Close accepts no more connections and waits for requests in flight until ctx
// ends.
func (s *Server) Close(ctx context.Context) error {
	err := s.App.ShutdownWithContext(ctx)
	_ = s.ln.Close()
	if err != nil {
		return trace.Wrap(err)
	}
	<-s.done
	return nil
}

// Twirp adds a twirp server below its path prefix.
func Twirp(r fiber.Router, prefix string, h http.Handler) {
	r.Post(prefix+"*", adaptor.HTTPHandler(h))
}

// Debug adds the counters at /debug/vars and the runtime's profiles at
// /debug/pprof. It belongs on addresses that only peers and operators reach.
func Debug(r fiber.Router) {
	r.Get("/debug/vars", adaptor.HTTPHandler(expvar.Handler()))
	r.Get("/debug/pprof/profile", adaptor.HTTPHandlerFunc(pprof.Profile))
	r.Get("/debug/pprof/*", adaptor.HTTPHandlerFunc(pprof.Index))
}
