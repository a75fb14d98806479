package inlet

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"parsleyroute.example/core"
	"parsleyroute.example/core/conn/probe"
	"parsleyroute.example/core/conn/strict"
	"parsleyroute.example/gate/conn/body"
)

const (
	// bodyTimeout limits the time to read a body, whose size is limited too.
	bodyTimeout = 10 * time.Second
	// lingerTimeout is how long the rest of a rejected request is read and
	// discarded. Closing a connection with unread bytes resets it, and the
	// caller would not see the rejection.
	lingerTimeout = 2 * time.Second
	// bufferedReadTimeout limits the read of bytes that have already arrived.
	bufferedReadTimeout = 50 * time.Millisecond
	// writeBuffer has room for a response header or a few events.
	writeBuffer = 4 << 10
)

// conn is the connection of one caller.
type conn struct {
	server *Server
	tcp    *net.TCPConn
	br     *bufio.Reader
	bw     *bufio.Writer

	mu   sync.Mutex
	idle bool
}

// closeIfIdle closes the connection if no request is in flight. A request whose
// first bytes have arrived is still read and handled.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		_ = c.tcp.SetReadDeadline(time.Now())
	}
}

// awaitRequest waits for the first byte of a request and reports whether it
// arrived.
func (c *conn) awaitRequest(idle time.Duration) bool {
	c.mu.Lock()
	until := time.Now().Add(idle)
	if c.server.closed.Load() {
		until = time.Now()
	}
	_ = c.tcp.SetReadDeadline(until)
	c.idle = true
	c.mu.Unlock()
	_, err := c.br.Peek(1)
	c.mu.Lock()
	c.idle = false
	c.mu.Unlock()
	if err == nil || !isTimeout(err) || probe.Idle(c.tcp) {
		return err == nil
	}
	// A read after its deadline fails even if bytes have arrived.
	_ = c.tcp.SetReadDeadline(time.Now().Add(bufferedReadTimeout))
	_, err = c.br.Peek(1)
	return err == nil
}

func (c *conn) serve() {
	defer func() { _ = c.tcp.Close() }()
	// A request header must fit in the buffer, so the buffer size is the limit.
	c.br = bufio.NewReaderSize(c.tcp, c.server.limits().HeaderBytes)
	c.bw = bufio.NewWriterSize(deadlineWriter{c.tcp}, writeBuffer)
	var req fasthttp.Request
	for c.serveRequest(&req) {
	}
}

// deadlineWriter writes to a caller's connection with a new deadline for each
// write. A buffered writer also writes when its buffer is full, and the deadline
// of an earlier response has passed by then if the connection was idle.
type deadlineWriter struct{ tcp *net.TCPConn }

// Write implements io.Writer.
func (w deadlineWriter) Write(p []byte) (int, error) {
	if err := w.tcp.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return w.tcp.Write(p)
}

// serveRequest handles one request and reports whether the connection may carry
// another.
func (c *conn) serveRequest(req *fasthttp.Request) bool {
	req.Reset()
	l := c.server.limits()
	if !c.awaitRequest(l.IdleTimeout) {
		return false
	}
	c.server.active.Add(1)
	defer c.server.active.Add(-1)
	_ = c.tcp.SetReadDeadline(time.Now().Add(l.HeaderTimeout))
	ctx, cancel := context.WithCancel(context.Background())
	x := &Exchange{Header: &req.Header, conn: c, ctx: ctx, cancel: cancel}
	defer cancel()
	if err := strict.ReadRequestHeader(c.br, &req.Header); err != nil {
		return c.rejectHeader(x, err)
	}
	var err error
	if x.Body, err = c.readBody(req, l); err != nil {
		return c.rejectBody(x, err)
	}
	defer x.Body.Close()
	x.Received = time.Now()
	c.handle(x, func() { c.server.Handler.Serve(x) })
	x.stopWatch()
	return c.finishResponse(x)
}

// handle calls f. A panic ends only this request, with a reset.
func (c *conn) handle(x *Exchange, f func()) {
	defer func() {
		if v := recover(); v != nil {
			x.Abort()
			c.server.Handler.Panicked(x, v)
		}
	}()
	f()
}

// readBody reads the body of a request, which is nil if the request has none.
func (c *conn) readBody(req *fasthttp.Request, l core.CallerLimits) (*body.Body, error) {
	n := req.Header.ContentLength()
	if n > l.BodyBytes {
		return nil, body.ErrTooLarge
	}
	if req.MayContinue() {
		_, _ = c.bw.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
		if err := c.bw.Flush(); err != nil {
			return nil, err
		}
	}
	_ = c.tcp.SetReadDeadline(time.Now().Add(bodyTimeout))
	switch {
	case n > 0:
		return c.server.bodies().Read(c.br, n, l.BodyBytes)
	case n == -1:
		return c.server.bodies().Read(strict.NewChunkedReader(c.br), n, l.BodyBytes)
	}
	return nil, nil
}

// finishResponse reports whether the connection may carry another request. An
// incomplete response will end in a TCP reset.
func (c *conn) finishResponse(x *Exchange) bool {
	if x.aborted || !x.complete {
		// The missing last chunk shows that a chunked response is incomplete, so that the
		// caller can still receive what was written and resume after it. It cannot mistake
		// a reset for the end of another response.
		if !x.chunked || x.Flush() != nil {
			_ = c.tcp.SetLinger(0)
		}
		return false
	}
	return !x.closeAfter
}

func (c *conn) rejectHeader(x *Exchange, err error) bool {
	switch {
	case errors.Is(err, io.EOF):
		return false
	case trace.IsLimitExceeded(err):
		return c.reject(x, fasthttp.StatusRequestHeaderFieldsTooLarge, core.ReasonTooLarge)
	}
	return c.rejectIncomplete(x, err)
}

func (c *conn) rejectBody(x *Exchange, err error) bool {
	switch {
	case errors.Is(err, body.ErrTooLarge):
		return c.reject(x, fasthttp.StatusRequestEntityTooLarge, core.ReasonTooLarge)
	case errors.Is(err, body.ErrNoMemory):
		return c.reject(x, fasthttp.StatusServiceUnavailable, core.ReasonMemory)
	}
	return c.rejectIncomplete(x, err)
}

// rejectIncomplete rejects a request that could not be read completely.
func (c *conn) rejectIncomplete(x *Exchange, err error) bool {
	switch {
	case isTimeout(err):
		return c.reject(x, fasthttp.StatusRequestTimeout, core.ReasonRequestTimeout)
	case probe.Closed(c.tcp):
		return false
	}
	return c.reject(x, fasthttp.StatusBadRequest, core.ReasonBadRequest)
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// reject rejects a request that was not read completely, and closes the
// connection once the caller has had time to read the rejection.
func (c *conn) reject(x *Exchange, status int, reason core.Reason) bool {
	x.closeAfter = true
	c.handle(x, func() { c.server.Handler.Reject(x, status, reason) })
	if !x.complete {
		return false
	}
	_ = c.tcp.CloseWrite()
	_ = c.tcp.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.br)
	return false
}
