package serve

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"parsleyroute.example/core/process/objapi"
)

// Server is a running HTTP server.
type Server struct {
	app  *fiber.App
	ln   net.Listener
	addr netip.AddrPort
	done chan error
}

// Start serves the routes that setup adds at the loopback address listen; port
// zero selects a free one. It fails with trace.BadParameter for an address
// other than loopback.
func Start(listen netip.AddrPort, setup func(app *fiber.App)) (*Server, error) {
	ln, err := Listen(listen)
	if err != nil {
		return nil, err
	}
	s := &Server{
		app: fiber.New(fiber.Config{
			ErrorHandler: fail,
			// Strings of a request are kept after its handler has returned.
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
	if !listen.IsValid() || !listen.Addr().IsLoopback() {
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

// Close stops the server and waits up to a second for calls in flight.
func (s *Server) Close() error {
	err := s.app.ShutdownWithTimeout(time.Second)
	// The listener is still open if Close overtook the start.
	_ = s.ln.Close()
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return trace.Wrap(err)
	}
	if err := <-s.done; err != nil && !errors.Is(err, net.ErrClosed) {
		return trace.Wrap(err)
	}
	return nil
}

// Body decodes the JSON body of the call into v. An unknown key or a wrong
// type is a trace.BadParameter.
func Body(c fiber.Ctx, v any) error {
	dec := json.NewDecoder(bytes.NewReader(c.Body()))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return trace.BadParameter("the body is not valid: %s", err)
	}
	return nil
}

// Drop closes the connection of the call without an answer.
func Drop(c fiber.Ctx) error {
	c.RequestCtx().HijackSetNoResponse(true)
	c.RequestCtx().Hijack(func(net.Conn) {})
	return nil
}

// fail answers with a typed JSON error.
func fail(c fiber.Ctx, err error) error {
	code, reason := fasthttp.StatusServiceUnavailable, objapi.ReasonUnavailable
	var fe *fiber.Error
	switch {
	case errors.As(err, &fe):
		code, reason = fe.Code, objapi.ReasonBadRequest
		if code == fasthttp.StatusNotFound {
			reason = objapi.ReasonNotFound
		}
	case trace.IsNotFound(err):
		code, reason = fasthttp.StatusNotFound, objapi.ReasonNotFound
	case trace.IsAlreadyExists(err):
		code, reason = fasthttp.StatusConflict, objapi.ReasonAlreadyExists
	case trace.IsCompareFailed(err):
		code, reason = fasthttp.StatusPreconditionFailed, objapi.ReasonVersion
	case trace.IsLimitExceeded(err):
		code, reason = fasthttp.StatusTooManyRequests, objapi.ReasonRateLimited
	case trace.IsBadParameter(err):
		code, reason = fasthttp.StatusBadRequest, objapi.ReasonBadRequest
	case trace.IsNotImplemented(err):
		code, reason = fasthttp.StatusNotImplemented, objapi.ReasonNotSupported
	}
	return c.Status(code).JSON(objapi.Error{Error: objapi.Failure{Reason: reason, Message: trace.UserMessage(err)}})
}
