package rest

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"parsleyroute.example/core/conn/probe"
	"parsleyroute.example/core/conn/strict"
)

const (
	// maxResponseBody is the default of Client.MaxBody. A list of objects has about
	// 1 MB, and one object at most 1 MB.
	maxResponseBody = 8 << 20
	// maxResponseHeader is the maximum size of a response header in bytes.
	maxResponseHeader = 16 << 10
	// maxInterimResponses is the number of responses of status 1xx that may precede a
	// response.
	maxInterimResponses = 8
	// maxIdleTime is how long an unused connection is kept. It is shorter than the idle
	// timeout of common servers (10 s and more), so that a request is rarely sent on a
	// connection that the server is closing.
	maxIdleTime = 5 * time.Second
	// writeBuffer is the size in bytes of the buffer in which requests are written.
	writeBuffer = 4 << 10
)

// Client is a pool of connections to one server. Its zero value is ready for
// use. All calls go to the address of the first call.
type Client struct {
	// ParseError returns the error for a response with a status other than 2xx;
	// default the function ParseError. It must be set before the first call.
	ParseError func(code int, body []byte) error
	// Dial connects to the server; default that of package net. It must be set
	// before the first call.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// MaxBody is the maximum size of a response body in bytes; zero means 8 MB.
	MaxBody int

	once sync.Once
	addr string

	mu sync.Mutex
	// idle holds the unused connections, the one used last at the end.
	idle []*idleConn
}

// idleConn is an unused connection.
type idleConn struct {
	net.Conn
	expiry *time.Timer
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
	// OnHeader, if set, is called with the header of the response, whatever its status.
	OnHeader func(h *fasthttp.ResponseHeader)
}

// Call sends one request with the JSON body in and decodes the response into
// out; both may be nil. Its errors are those of Do.
func (c *Client) Call(ctx context.Context, addr netip.AddrPort, timeout time.Duration, method, path string, query map[string]string, in, out any) error {
	return c.Do(ctx, addr, timeout, Request{Method: method, Path: path, Query: query, Body: in}, out)
}

// Do sends one request and decodes the response into out, which may be nil. It
// fails with the errors of Client.ParseError, or with trace.ConnectionProblem if
// the call may have taken effect, as also after bytes that are no response and after a
// response that exceeds Client.MaxBody (which wraps fasthttp.ErrBodyTooLarge) or
// maxResponseHeader. The end of ctx closes the connection.
func (c *Client) Do(ctx context.Context, addr netip.AddrPort, timeout time.Duration, r Request, out any) error {
	c.once.Do(func() {
		c.addr = addr.String()
		if c.ParseError == nil {
			c.ParseError = ParseError
		}
		if c.Dial == nil {
			c.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
				var d net.Dialer
				return d.DialContext(ctx, "tcp", addr)
			}
		}
	})
	var body []byte
	if r.Body != nil {
		var err error
		if body, err = json.Marshal(r.Body); err != nil {
			return trace.BadParameter("cannot encode the request: %s", err)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := ctx.Err(); err != nil {
		return trace.ConnectionProblem(err, "the call was canceled")
	}
	data, err := c.send(ctx, r, body)
	if err != nil || out == nil {
		return err
	}
	if err := decode(data, out); err != nil {
		return trace.ConnectionProblem(err, "the response to %s %s cannot be decoded: %s", r.Method, r.Path, err)
	}
	return nil
}

func decode(body []byte, out any) error {
	if d, ok := out.(BodyDecoder); ok {
		return d.DecodeBody(body)
	}
	return json.Unmarshal(body, out)
}

// send sends the request on a connection and returns the body of the response.
func (c *Client) send(ctx context.Context, r Request, body []byte) ([]byte, error) {
	conn, err := c.connect(ctx)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "%s %s failed: %s", r.Method, r.Path, err)
	}
	detach := context.AfterFunc(ctx, func() { _ = conn.Close() })
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	br := readers.Get().(*bufio.Reader)
	br.Reset(conn)
	code, data, reusable, err := c.exchange(conn, br, r, body)
	reusable = reusable && br.Buffered() == 0
	br.Reset(nil)
	readers.Put(br)
	if detach() && err == nil && reusable {
		c.release(conn)
	} else {
		_ = conn.Close()
	}
	switch {
	case err != nil && ctx.Err() != nil:
		return nil, trace.ConnectionProblem(ctx.Err(), "%s %s was canceled or has timed out", r.Method, r.Path)
	case err != nil:
		return nil, trace.ConnectionProblem(err, "%s %s failed: %s", r.Method, r.Path, err)
	case code/100 != 2:
		return nil, c.ParseError(code, data)
	}
	return data, nil
}

// readers holds the buffers of connections that are not in use.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxResponseHeader) }}

// exchange writes the request and reads the response. reusable reports whether the
// connection stays open after it.
func (c *Client) exchange(conn net.Conn, br *bufio.Reader, r Request, body []byte) (code int, data []byte, reusable bool, err error) {
	if err := c.writeRequest(conn, r, body); err != nil {
		return 0, nil, false, err
	}
	var h fasthttp.ResponseHeader
	for n := 0; ; n++ {
		h.Reset()
		if err := strict.ReadResponseHeader(br, &h); err != nil {
			return 0, nil, false, err
		}
		if h.StatusCode() >= fasthttp.StatusOK {
			break
		}
		if n >= maxInterimResponses {
			return 0, nil, false, trace.LimitExceeded("the server sent more than %d interim responses", maxInterimResponses)
		}
	}
	if r.OnHeader != nil {
		r.OnHeader(&h)
	}
	limit := cmp.Or(c.MaxBody, maxResponseBody)
	if h.ContentLength() > limit {
		return 0, nil, false, fasthttp.ErrBodyTooLarge
	}
	method := []byte(r.Method)
	data, err = io.ReadAll(io.LimitReader(strict.NewBody(br, &h, method), int64(limit)+1))
	if err == nil && len(data) > limit {
		err = fasthttp.ErrBodyTooLarge
	}
	return h.StatusCode(), data, !h.ConnectionClose() && strict.HasLength(&h, method), err
}

func (c *Client) writeRequest(conn net.Conn, r Request, body []byte) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
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
		req.SetBodyRaw(body)
	}
	var b bytes.Buffer
	bw := bufio.NewWriterSize(&b, writeBuffer)
	if err := req.Write(bw); err != nil {
		return err
	}
	if err := bw.Flush(); err != nil {
		return err
	}
	_, err := conn.Write(b.Bytes())
	return err
}

// connect returns an unused connection that is open and has no unread bytes, which would
// belong to no request, or a new one.
func (c *Client) connect(ctx context.Context) (net.Conn, error) {
	for {
		c.mu.Lock()
		n := len(c.idle)
		if n == 0 {
			c.mu.Unlock()
			return c.Dial(ctx, c.addr)
		}
		k := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		if k.expiry.Stop() && probe.Idle(k.Conn) {
			return k.Conn, nil
		}
		_ = k.Close()
	}
}

// release keeps a connection for later calls.
func (c *Client) release(conn net.Conn) {
	_ = conn.SetDeadline(time.Time{})
	k := &idleConn{Conn: conn}
	c.mu.Lock()
	defer c.mu.Unlock()
	k.expiry = time.AfterFunc(maxIdleTime, func() { c.expire(k) })
	c.idle = append(c.idle, k)
}

// expire closes a connection that has not been used for maxIdleTime.
func (c *Client) expire(k *idleConn) {
	c.mu.Lock()
	for i, other := range c.idle {
		if other == k {
			c.idle = append(c.idle[:i], c.idle[i+1:]...)
			break
		}
	}
	c.mu.Unlock()
	_ = k.Close()
}

// Close closes the unused connections.
func (c *Client) Close() error {
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.mu.Unlock()
	for _, k := range idle {
		k.expiry.Stop()
		_ = k.Close()
	}
	return nil
}
