package outlet

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"parsleyroute.example/core/conn/strict"
)

// MaxInlineBody is the size in bytes up to which a body is written before the
// response is read. Larger bodies are written concurrently, because an upstream
// may respond before it has read them.
const MaxInlineBody = 16 << 10

// maxInterimResponses is the number of responses of status 1xx that may precede a
// response. A faulty upstream may send them without end.
const maxInterimResponses = 8

// Conn is one connection to an upstream. It carries one request at a time.
type Conn struct {
	pool *Pool
	tcp  *net.TCPConn
	br   *bufio.Reader
	once sync.Once
	// idleSince is when the connection became idle, idleUntil when it expires.
	idleSince, idleUntil time.Time
	// bodyWrite receives the result of a concurrent write of the body; nil if
	// there is none.
	bodyWrite chan error
	// sendErr is the error of the last write of a request.
	sendErr error
	// sentBytes counts the bytes of the request that the kernel has accepted,
	// without those of a body that is written concurrently.
	sentBytes atomic.Int64
}

// Close closes the connection, which cancels its request at the upstream.
func (c *Conn) Close() {
	c.once.Do(func() {
		_ = c.tcp.Close()
		c.pool.countClosed()
	})
}

// SetDeadline sets the deadline of all reads and writes.
func (c *Conn) SetDeadline(t time.Time) { _ = c.tcp.SetDeadline(t) }

// Send writes a request. It calls release once the body is no longer used, which may be
// after Send has returned. After an error the upstream may have received a part of the
// request, unless Sent returns false.
func (c *Conn) Send(header []byte, body net.Buffers, release func()) error {
	c.sentBytes.Store(0)
	size := 0
	for _, part := range body {
		size += len(part)
	}
	large := size > MaxInlineBody
	if !large {
		for _, part := range body {
			header = append(header, part...)
		}
	}
	var n int
	n, c.sendErr = c.tcp.Write(header)
	c.sentBytes.Add(int64(n))
	if c.sendErr != nil || !large {
		release()
		return c.sendErr
	}
	c.bodyWrite = make(chan error, 1)
	go func(done chan<- error) {
		_, err := body.WriteTo(c.tcp)
		release()
		done <- err
	}(c.bodyWrite)
	return nil
}

// Sent reports whether any byte of the last request was sent.
func (c *Conn) Sent() bool { return c.sentBytes.Load() > 0 }

// ReadHeader reads the header of a response and skips those of status 1xx. Its errors are
// those of package strict. It also fails with trace.LimitExceeded if there are more than
// maxInterimResponses of status 1xx.
func (c *Conn) ReadHeader(h *fasthttp.ResponseHeader) error {
	for range maxInterimResponses + 1 {
		h.Reset()
		h.SetNoDefaultContentType(true)
		if err := strict.ReadResponseHeader(c.br, h); err != nil {
			return err
		}
		if h.StatusCode() >= 200 {
			return nil
		}
	}
	return trace.LimitExceeded("the upstream sent more than %d interim responses", maxInterimResponses)
}

// Body returns the body of the response with header h to a request with the
// given method.
func (c *Conn) Body(h *fasthttp.ResponseHeader, method []byte) io.Reader {
	body := strict.NewBody(c.br, h, method)
	if strict.HasLength(h, method) {
		return body
	}
	return &closeReader{conn: c, r: body}
}

// closeReader reads a body that ends with its connection.
type closeReader struct {
	conn *Conn
	r    io.Reader
}

// Read implements io.Reader. A socket reports its error only once: if the upstream resets
// the connection while the request is being written, the write may get the error, and a
// read the end of the stream. The end is therefore the end of the body only if the whole
// request was written without an error.
func (r *closeReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if errors.Is(err, io.EOF) {
		if sendErr := r.conn.awaitSend(); sendErr != nil {
			return n, trace.ConnectionProblem(sendErr, "the connection was lost while the request was sent")
		}
	}
	return n, err
}

// awaitSend waits until the request has been written and returns the error of the write.
// The deadline of the connection bounds the wait.
func (c *Conn) awaitSend() error {
	if c.bodyWrite != nil {
		c.sendErr, c.bodyWrite = <-c.bodyWrite, nil
	}
	return c.sendErr
}

// Reusable reports whether the connection stays open after a response with
// header h.
func Reusable(h *fasthttp.ResponseHeader) bool {
	return !h.ConnectionClose() && h.ContentLength() != -2
}

// Release returns the connection to the pool after a response that was read to
// its end. keepAlive is the time for which the upstream keeps an idle connection
// open, zero if unknown.
func (c *Conn) Release(reusable bool, keepAlive time.Duration) {
	if c.bodyWrite != nil {
		select {
		case c.sendErr = <-c.bodyWrite:
			c.bodyWrite = nil
			reusable = reusable && c.sendErr == nil
		default:
			// The upstream still expects the rest of the body.
			reusable = false
		}
	}
	if !reusable || c.br.Buffered() > 0 {
		c.Close()
		return
	}
	idle := defaultIdleTimeout
	if keepAlive > 0 {
		idle = keepAlive - idleMargin
	}
	if idle <= 0 {
		c.Close()
		return
	}
	c.SetDeadline(time.Time{})
	c.idleSince = time.Now()
	c.idleUntil = c.idleSince.Add(idle)
	c.pool.putIdle(c)
}
