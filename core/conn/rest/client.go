package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
)

const (
	// maxResponseBody is the maximum size of a response body in bytes. A list of
	// objects has about 1 MB, and one object at most 1 MB.
	maxResponseBody = 8 << 20
	// maxResponseHeader is the maximum size of a response header in bytes.
	maxResponseHeader = 16 << 10
)

// Client is a pool of connections to one server. Its zero value is ready for
// use. All calls go to the address of the first call.
type Client struct {
	// ParseError returns the error for a response with a status other than 2xx;
	// default the function ParseError. It must be set before the first call.
	ParseError func(code int, body []byte) error
	// Dial connects to the server; default that of fasthttp. It must be set
	// before the first call.
	Dial fasthttp.DialFunc

	once   sync.Once
	client fasthttp.HostClient
	addr   string
}

// BodyDecoder is implemented by responses that are not decoded by encoding/json.
type BodyDecoder interface{ DecodeBody(body []byte) error }

// Request is one call of a server's API.
type Request struct {
	Method string
	Path   string
	Query  map[string]string
	Header map[string]string
	// Body is encoded as JSON; nil means no body.
	Body any
}

// Call sends one request with the JSON body in and decodes the response into
// out; both may be nil. Its errors are those of Do.
func (c *Client) Call(ctx context.Context, addr netip.AddrPort, timeout time.Duration, method, path string, query map[string]string, in, out any) error {
	return c.Do(ctx, addr, timeout, Request{Method: method, Path: path, Query: query, Body: in}, out)
}

// Do sends one request and decodes the response into out, which may be nil. It
// fails with the errors of Client.ParseError, or with trace.ConnectionProblem if
// the call may have taken effect, as also after a response that exceeds
// maxResponseBody or maxResponseHeader.
func (c *Client) Do(ctx context.Context, addr netip.AddrPort, timeout time.Duration, r Request, out any) error {
	c.once.Do(func() {
		c.addr = addr.String()
		if c.ParseError == nil {
			c.ParseError = ParseError
		}
		c.client = fasthttp.HostClient{
			Addr: c.addr,
			Dial: c.Dial,
			// A write must not be sent twice.
			MaxIdemponentCallAttempts: 1,
			// Shorter than the idle timeout of common servers (10 s and more),
			// so that a request is rarely sent on a connection that the server
			// is closing.
			MaxIdleConnDuration: 5 * time.Second,
			MaxConnWaitTimeout:  time.Second,
			MaxResponseBodySize: maxResponseBody,
			ReadBufferSize:      maxResponseHeader,
		}
	})
	var body []byte
	if r.Body != nil {
		var err error
		if body, err = json.Marshal(r.Body); err != nil {
			return trace.BadParameter("cannot encode the request: %s", err)
		}
	}
	deadline := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := ctx.Err(); err != nil {
		return trace.ConnectionProblem(err, "the call was canceled")
	}
	// The goroutine owns the request and the response, because the call may
	// continue after the context has ended.
	type result struct {
		body []byte
		err  error
	}
	done := make(chan result, 1)
	go func() {
		data, err := c.send(deadline, r, body)
		done <- result{data, err}
	}()
	select {
	case res := <-done:
		if res.err != nil || out == nil {
			return res.err
		}
		if err := decode(res.body, out); err != nil {
			return trace.ConnectionProblem(err, "the response to %s %s cannot be decoded: %s", r.Method, r.Path, err)
		}
		return nil
	case <-ctx.Done():
		return trace.ConnectionProblem(ctx.Err(), "%s %s was canceled", r.Method, r.Path)
	}
}

func decode(body []byte, out any) error {
	if d, ok := out.(BodyDecoder); ok {
		return d.DecodeBody(body)
	}
	return json.Unmarshal(body, out)
}

func (c *Client) send(deadline time.Time, r Request, body []byte) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.addr + r.Path)
	req.Header.SetMethod(r.Method)
	for k, v := range r.Query {
		req.URI().QueryArgs().Set(k, v)
	}
	for k, v := range r.Header {
		req.Header.Set(k, v)
	}
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBody(body)
	}
	if err := c.client.DoDeadline(req, resp, deadline); err != nil {
		return nil, trace.ConnectionProblem(err, "%s %s failed: %s", r.Method, r.Path, err)
	}
	if code := resp.StatusCode(); code/100 != 2 {
		return nil, c.ParseError(code, resp.Body())
	}
	return bytes.Clone(resp.Body()), nil
}

// Close closes the idle connections.
func (c *Client) Close() error {
	c.client.CloseIdleConnections()
	return nil
}
