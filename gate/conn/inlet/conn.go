package inlet

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"parsleyroute.example/core"
	"parsleyroute.example/core/conn/probe"
)

const (
	// bodyTimeout bounds the reading of a body, whose size is limited.
	bodyTimeout = 10 * time.Second
	// lingerTimeout is how long what the caller still sends is read after a
	// refusal, since closing a connection with unread bytes resets it and the
	// caller would not see the refusal.
	lingerTimeout = 2 * time.Second
	// lateTimeout bounds the read of bytes that have arrived already.
	lateTimeout = 50 * time.Millisecond
	// writeBuffer holds the head of an answer or a few events.
	writeBuffer = 4 << 10
)

// conn is one caller's connection.
type conn struct {
	server *Server
	c      *net.TCPConn
	br     *bufio.Reader
	bw     *bufio.Writer

	mu   sync.Mutex
	idle bool
}

// endIdle ends the connection if no request is under way. A request whose first
// bytes have arrived is still read and answered.
func (k *conn) endIdle() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.idle {
		_ = k.c.SetReadDeadline(time.Now())
	}
}

// awaitRequest waits for the first byte of a request and reports whether one
// came.
func (k *conn) awaitRequest(idle time.Duration) bool {
	k.mu.Lock()
	until := time.Now().Add(idle)
	if k.server.closed.Load() {
		until = time.Now()
	}
	_ = k.c.SetReadDeadline(until)
	k.idle = true
	k.mu.Unlock()
	_, err := k.br.Peek(1)
	k.mu.Lock()
	k.idle = false
	k.mu.Unlock()
	if err == nil || !isTimeout(err) || probe.Idle(k.c) {
		return err == nil
	}
	// A read whose deadline has passed does not look for bytes that have
	// arrived.
	_ = k.c.SetReadDeadline(time.Now().Add(lateTimeout))
	_, err = k.br.Peek(1)
	return err == nil
}

func (k *conn) serve() {
	defer func() { _ = k.c.Close() }()
	// A header must fit in the buffer, so its size is the limit.
	k.br = bufio.NewReaderSize(k.c, k.server.limits().HeaderBytes)
	k.bw = bufio.NewWriterSize(k.c, writeBuffer)
	var req fasthttp.Request
	for k.next(&req) {
	}
}

// next serves one request and reports whether another may follow.
func (k *conn) next(req *fasthttp.Request) bool {
	req.Reset()
	l := k.server.limits()
	if !k.awaitRequest(l.IdleTimeout) {
		return false
	}
	k.server.active.Add(1)
	defer k.server.active.Add(-1)
	_ = k.c.SetReadDeadline(time.Now().Add(l.HeaderTimeout))
	ctx, cancel := context.WithCancel(context.Background())
	x := &Exchange{Header: &req.Header, conn: k, ctx: ctx, cancel: cancel}
	defer cancel()
	if err := req.Header.Read(k.br); err != nil {
		return k.rejectHeader(x, err)
	}
	if err := checkFraming(req.Header.RawHeaders()); err != nil {
		return k.reject(x, fasthttp.StatusBadRequest, core.ReasonBadRequest)
	}
	if req.Header.ContentLength() > l.BodyBytes {
		return k.reject(x, fasthttp.StatusRequestEntityTooLarge, core.ReasonTooLarge)
	}
	if err := k.readBody(req, l); err != nil {
		return k.rejectBody(x, err)
	}
	x.Body, x.Received = req.Body(), time.Now()
	k.server.Handler.Serve(x)
	x.unwatch()
	return k.finish(x)
}

func (k *conn) readBody(req *fasthttp.Request, l core.CallerLimits) error {
	if req.MayContinue() {
		_, _ = k.bw.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
		if err := k.bw.Flush(); err != nil {
			return err
		}
	}
	if n := req.Header.ContentLength(); n == 0 || n == -2 {
		return nil
	}
	_ = k.c.SetReadDeadline(time.Now().Add(bodyTimeout))
	return req.ContinueReadBody(k.br, l.BodyBytes, false)
}

// finish reports whether the connection may carry another request.
func (k *conn) finish(x *Exchange) bool {
	if x.broken || !x.done {
		// A reset cannot be taken for the end of an answer without length.
		_ = k.c.SetLinger(0)
		return false
	}
	return !x.closing
}

func (k *conn) rejectHeader(x *Exchange, err error) bool {
	var small *fasthttp.ErrSmallBuffer
	var nothing fasthttp.ErrNothingRead
	switch {
	case errors.Is(err, io.EOF), errors.As(err, &nothing):
		return false
	case errors.As(err, &small):
		return k.reject(x, fasthttp.StatusRequestHeaderFieldsTooLarge, core.ReasonTooLarge)
	}
	return k.rejectUnread(x, err)
}

func (k *conn) rejectBody(x *Exchange, err error) bool {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return k.reject(x, fasthttp.StatusRequestEntityTooLarge, core.ReasonTooLarge)
	}
	return k.rejectUnread(x, err)
}

// rejectUnread refuses a request of which a part could not be read.
func (k *conn) rejectUnread(x *Exchange, err error) bool {
	switch {
	case isTimeout(err):
		return k.reject(x, fasthttp.StatusRequestTimeout, core.ReasonRequestTimeout)
	case probe.Closed(k.c):
		return false
	}
	return k.reject(x, fasthttp.StatusBadRequest, core.ReasonBadRequest)
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout() || errors.Is(err, fasthttp.ErrTimeout)
}

// reject refuses a request that was not read whole, and ends the connection
// once the caller has had time to read the refusal.
func (k *conn) reject(x *Exchange, status int, reason core.Reason) bool {
	x.closing = true
	k.server.Handler.Reject(x, status, reason)
	if !x.done {
		return false
	}
	_ = k.c.CloseWrite()
	_ = k.c.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, k.br)
	return false
}
