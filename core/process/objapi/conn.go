package objapi

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
)

// conn is a pool of connections to one server.
type conn struct {
	once   sync.Once
	client fasthttp.HostClient
	addr   string
}

// call sends one request and decodes the answer into out, which may be nil. It
// never repeats the request.
func (c *conn) call(ctx context.Context, addr netip.AddrPort, timeout time.Duration, method, path string, query map[string]string, in, out any) error {
	c.once.Do(func() {
		c.addr = addr.String()
		c.client = fasthttp.HostClient{
			Addr: c.addr,
			// A write must not be sent twice.
			MaxIdemponentCallAttempts: 1,
			// Below the idle time of common servers (10 s and more), so that
			// a request seldom meets a connection that the server closes.
			MaxIdleConnDuration: 5 * time.Second,
			MaxConnWaitTimeout:  time.Second,
		}
	})
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return trace.BadParameter("cannot encode the request: %s", err)
		}
	}
	deadline := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := ctx.Err(); err != nil {
		return trace.ConnectionProblem(err, "the call was given up")
	}
	// The goroutine owns the request and the answer, because the call may go
	// on after the context has ended.
	done := make(chan error, 1)
	go func() {
		done <- c.send(deadline, method, path, query, body, out)
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return trace.ConnectionProblem(ctx.Err(), "%s %s was given up", method, path)
	}
}

func (c *conn) send(deadline time.Time, method, path string, query map[string]string, body []byte, out any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.addr + path)
	req.Header.SetMethod(method)
	for k, v := range query {
		req.URI().QueryArgs().Set(k, v)
	}
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBody(body)
	}
	if err := c.client.DoDeadline(req, resp, deadline); err != nil {
		return trace.ConnectionProblem(err, "%s %s failed", method, path)
	}
	if code := resp.StatusCode(); code != fasthttp.StatusOK && code != fasthttp.StatusCreated {
		return failure(code, resp.Body())
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return trace.ConnectionProblem(err, "the answer to %s %s cannot be decoded", method, path)
	}
	return nil
}

// failure converts an answer that reports a failure.
func failure(code int, body []byte) error {
	var e Error
	if err := json.Unmarshal(body, &e); err != nil || e.Error.Reason == "" {
		return trace.ConnectionProblem(nil, "the platform answered with status %d", code)
	}
	switch f := e.Error; f.Reason {
	case ReasonNotFound:
		return trace.NotFound("%s", f.Message)
	case ReasonAlreadyExists:
		return trace.AlreadyExists("%s", f.Message)
	case ReasonVersion:
		return trace.CompareFailed("%s", f.Message)
	case ReasonRateLimited:
		return trace.LimitExceeded("%s", f.Message)
	case ReasonBadRequest:
		return trace.BadParameter("%s", f.Message)
	case ReasonNotSupported:
		return trace.NotImplemented("%s", f.Message)
	default:
		return trace.ConnectionProblem(nil, "the platform answered with status %d: %s", code, f.Message)
	}
}
