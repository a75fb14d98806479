package outlet

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
)

// inlineBody is the size up to which a body is written before the answer is
// read. Larger ones are written beside it, because an upstream may answer
// before it has read them.
const inlineBody = 16 << 10

// Conn is one connection to an upstream. It carries one request at a time.
type Conn struct {
	pool *Pool
	c    *net.TCPConn
	br   *bufio.Reader
	once sync.Once
	// since is when the connection became idle, until when it is given up.
	since, until time.Time
	// writing ends when the request has been written; it yields the failure.
	writing chan error
	// sent counts the bytes of the request that were handed to the system.
	sent atomic.Int64
}

// Close closes the connection. The upstream then drops its request.
func (c *Conn) Close() {
	c.once.Do(func() {
		_ = c.c.Close()
		c.pool.forget()
	})
}

// SetDeadline bounds all reads and writes.
func (c *Conn) SetDeadline(t time.Time) { _ = c.c.SetDeadline(t) }

// Send writes a request. After an error the upstream may have got a part of
// it; Sent tells.
func (c *Conn) Send(head, body []byte) error {
	c.sent.Store(0)
	if len(body) <= inlineBody {
		n, err := c.c.Write(append(head, body...))
		c.sent.Add(int64(n))
		return err
	}
	n, err := c.c.Write(head)
	c.sent.Add(int64(n))
	if err != nil {
		return err
	}
	c.writing = make(chan error, 1)
	go func(done chan<- error) {
		_, err := c.c.Write(body)
		done <- err
	}(c.writing)
	return nil
}

// Sent reports whether any byte of the last request was sent.
func (c *Conn) Sent() bool { return c.sent.Load() > 0 }

// ReadHeader reads the head of an answer, past those of status 1xx.
func (c *Conn) ReadHeader(h *fasthttp.ResponseHeader) error {
	for {
		h.Reset()
		h.SetNoDefaultContentType(true)
		if err := h.Read(c.br); err != nil {
			return err
		}
		if h.StatusCode() >= 200 {
			return nil
		}
	}
}

// Body returns the body of the answer with head h to a request with the given
// method.
func (c *Conn) Body(h *fasthttp.ResponseHeader, method []byte) io.Reader {
	switch n := h.ContentLength(); {
	case bytes.Equal(method, []byte(fasthttp.MethodHead)), h.StatusCode() == fasthttp.StatusNoContent, h.StatusCode() == fasthttp.StatusNotModified:
		return bytes.NewReader(nil)
	case n >= 0:
		return &fixed{r: c.br, left: n}
	case n == -1:
		return &chunks{r: httputil.NewChunkedReader(c.br), br: c.br}
	}
	// The body ends with the connection; a reset is an error, not its end.
	return c.br
}

// Reusable reports whether an answer with head h leaves the connection open.
func Reusable(h *fasthttp.ResponseHeader) bool {
	return !h.ConnectionClose() && h.ContentLength() != -2
}

// Release gives the connection back after an answer that was read to its end.
// keep is the time for which the upstream keeps it, zero if unknown.
func (c *Conn) Release(reusable bool, keep time.Duration) {
	if c.writing != nil {
		select {
		case err := <-c.writing:
			c.writing = nil
			reusable = reusable && err == nil
		default:
			// The upstream still expects the rest of the body.
			reusable = false
		}
	}
	if !reusable || c.br.Buffered() > 0 {
		c.Close()
		return
	}
	idle := defaultIdle
	if keep > 0 {
		idle = keep - idleMargin
	}
	if idle <= 0 {
		c.Close()
		return
	}
	c.SetDeadline(time.Time{})
	c.since = time.Now()
	c.until = c.since.Add(idle)
	c.pool.put(c)
}

// fixed reads a body of known length.
type fixed struct {
	r    io.Reader
	left int
}

// Read implements io.Reader.
func (f *fixed) Read(p []byte) (int, error) {
	if f.left == 0 {
		return 0, io.EOF
	}
	n, err := f.r.Read(p[:min(len(p), f.left)])
	f.left -= n
	if errors.Is(err, io.EOF) {
		if f.left > 0 {
			return n, io.ErrUnexpectedEOF
		}
		err = nil
	}
	return n, err
}

// chunks reads a body in chunks and the lines after the last one.
type chunks struct {
	r   io.Reader
	br  *bufio.Reader
	end error
}

// trailerLines bounds the lines after the last chunk.
const trailerLines = 32

// Read implements io.Reader.
func (c *chunks) Read(p []byte) (int, error) {
	if c.end != nil {
		return 0, c.end
	}
	n, err := c.r.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.trailer()
		c.end = err
	}
	return n, err
}

// trailer reads up to the blank line that ends the message.
func (c *chunks) trailer() error {
	for range trailerLines {
		line, err := c.br.ReadSlice('\n')
		switch {
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return io.EOF
		}
	}
	return trace.LimitExceeded("the answer has more than %d lines after its body", trailerLines)
}
