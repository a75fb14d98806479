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

// Client is a pool of connections to one server. Its zero value is ready for
// use; the address of the first call is that of all.
type Client struct {
	once   sync.Once
	client fasthttp.HostClient
	addr   string
}

// Call sends one request with the JSON body in and decodes the answer into
// out; both may be nil. It fails with the types of Failed, or with
// trace.ConnectionProblem if the call may have taken effect.
func (c *Client) Call(ctx context.Context, addr netip.AddrPort, timeout time.Duration, method, path string, query map[string]string, in, out any) error {
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
	type result struct {
		body []byte
		err  error
	}
	done := make(chan result, 1)
	go func() {
		data, err := c.send(deadline, method, path, query, body)
		done <- result{data, err}
	}()
	select {
	case r := <-done:
		if r.err != nil || out == nil {
			return r.err
		}
		if err := json.Unmarshal(r.body, out); err != nil {
			return trace.ConnectionProblem(err, "the answer to %s %s cannot be decoded", method, path)
		}
		return nil
	case <-ctx.Done():
		return trace.ConnectionProblem(ctx.Err(), "%s %s was given up", method, path)
	}
}

func (c *Client) send(deadline time.Time, method, path string, query map[string]string, body []byte) ([]byte, error) {
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
		return nil, trace.ConnectionProblem(err, "%s %s failed", method, path)
	}
	if code := resp.StatusCode(); code/100 != 2 {
		return nil, Failed(code, resp.Body())
	}
	return bytes.Clone(resp.Body()), nil
}
