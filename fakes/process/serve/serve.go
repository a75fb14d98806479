package serve

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gravitational/trace"

	"parsleyroute.example/core/conn/rest"
)

// Server is a running HTTP server.
type Server struct {
	app  *fiber.App
	ln   net.Listener
	addr netip.AddrPort
	done chan error
	once sync.Once
	err  error
}

// Start serves the routes that setup adds, at the loopback address listen. Port
// zero or the zero address selects a free port. An address other than loopback
// is a trace.BadParameter.
func Start(listen netip.AddrPort, setup func(app *fiber.App)) (*Server, error) {
	ln, err := Listen(listen)
	if err != nil {
		return nil, err
	}
	s := &Server{
		app: fiber.New(fiber.Config{
			ErrorHandler: handleError,
			// Handlers retain strings of a request after they return.
			Immutable:   true,
			BodyLimit:   64 << 20,
			IdleTimeout: time.Minute,
			Concurrency: 1 << 20,
		}),
		ln:   ln,
		addr: netip.MustParseAddrPort(ln.Addr().String()),
		done: make(chan error, 1),
	}
	setup(s.app)
	go func() { s.done <- s.app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true}) }()
	return s, nil
}

// Listen opens a TCP listener at a loopback address.
func Listen(listen netip.AddrPort) (net.Listener, error) {
	if listen == (netip.AddrPort{}) {
		listen = netip.MustParseAddrPort("127.0.0.1:0")
	}
	if !listen.Addr().IsLoopback() {
		return nil, trace.BadParameter("the listen address %q is not a loopback address with a port", listen)
	}
	ln, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return ln, nil
}

// Addr returns the address at which the server listens.
func (s *Server) Addr() netip.AddrPort { return s.addr }

// Close stops the server and waits up to a second for requests in flight. It
// may be called more than once.
func (s *Server) Close() error {
	s.once.Do(func() { s.err = s.shutdown() })
	return s.err
}

func (s *Server) shutdown() error {
	err := s.app.ShutdownWithTimeout(time.Second)
	// The listener is still open if Close ran before the app started to serve.
	_ = s.ln.Close()
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return trace.Wrap(err)
	}
	if err := <-s.done; err != nil && !errors.Is(err, net.ErrClosed) {
		return trace.Wrap(err)
	}
	return nil
}

// DecodeBody decodes the JSON body of the request into v with DecodeStrict.
func DecodeBody(c fiber.Ctx, v any) error { return DecodeStrict(c.Body(), v) }

// DecodeStrict decodes JSON into v. An unknown key, a wrong type or anything
// after the document is a trace.BadParameter.
func DecodeStrict(data []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return trace.BadParameter("invalid JSON: %s", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return trace.BadParameter("unexpected data after the JSON document")
	}
	return nil
}

// CloseWithoutResponse closes the connection of the request without sending a
// response.
func CloseWithoutResponse(c fiber.Ctx) error {
	c.RequestCtx().HijackSetNoResponse(true)
	c.RequestCtx().Hijack(func(net.Conn) {})
	return nil
}

// handleError responds with a typed JSON error.
func handleError(c fiber.Ctx, err error) error {
	var fe *fiber.Error
	if errors.As(err, &fe) {
		reason := rest.ReasonBadRequest
		if fe.Code == fiber.StatusNotFound {
			reason = rest.ReasonNotFound
		}
		return c.Status(fe.Code).JSON(rest.ErrorResponse{Error: rest.ErrorDetail{Reason: reason, Message: fe.Message}})
	}
	code, body := rest.NewErrorResponse(err)
	return c.Status(code).JSON(body)
}
