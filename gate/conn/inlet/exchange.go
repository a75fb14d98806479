package inlet

import (
	"bufio"
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Exchange is one request and its answer. It is used by one goroutine.
type Exchange struct {
	// Header and Body are valid until the handler returns.
	Header *fasthttp.RequestHeader
	Body   []byte
	// Received is when the request had been read whole.
	Received time.Time

	conn    *conn
	ctx     context.Context
	cancel  context.CancelFunc
	watched chan struct{}
	// began is set once the head of an answer was written, done once the
	// answer is complete, and broken if it never will be.
	began, done, broken bool
	chunked             bool
	// closing is set if the connection ends with this answer.
	closing bool
}

// Context ends when the caller closes the connection or the handler returns.
// The connection is watched from the first call on.
func (x *Exchange) Context() context.Context {
	if x.watched == nil {
		x.watched = make(chan struct{})
		_ = x.conn.c.SetReadDeadline(time.Time{})
		go func() {
			defer close(x.watched)
			// A byte that comes now belongs to the next request and stays in the
			// buffer; an error means that the caller has gone or that unwatch has
			// woken this goroutine.
			if _, err := x.conn.br.Peek(1); err != nil {
				x.cancel()
			}
		}()
	}
	return x.ctx
}

// unwatch ends the watch of the connection.
func (x *Exchange) unwatch() {
	if x.watched != nil {
		_ = x.conn.c.SetReadDeadline(time.Unix(1, 0))
		<-x.watched
		_ = x.conn.c.SetReadDeadline(time.Time{})
	}
	x.cancel()
}

// HeaderWritten reports whether the head of an answer was written.
func (x *Exchange) HeaderWritten() bool { return x.began }

// Respond writes a complete answer. lines holds further header lines, each with
// its line end.
func (x *Exchange) Respond(status int, lines, body []byte) error {
	x.began = true
	w := x.conn.bw
	x.writeHead(w, status, lines)
	if mayHaveBody(status) {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
	if mayHaveBody(status) && !x.Header.IsHead() {
		_, _ = w.Write(body)
	}
	if err := x.Flush(); err != nil {
		return err
	}
	x.done = true
	return nil
}

// WriteHeader writes the head of an answer whose body follows in parts.
func (x *Exchange) WriteHeader(status int, lines []byte) error {
	x.began = true
	x.chunked = x.Header.IsHTTP11()
	if !x.chunked {
		x.closing = true
	}
	w := x.conn.bw
	x.writeHead(w, status, lines)
	if x.chunked {
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	}
	_, _ = w.WriteString("\r\n")
	return nil
}

// Write writes one part of the body. It goes out with the next Flush.
func (x *Exchange) Write(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	w := x.conn.bw
	if x.chunked {
		_, _ = w.WriteString(strconv.FormatInt(int64(len(p)), 16) + "\r\n")
	}
	_, err := w.Write(p)
	if x.chunked {
		_, err = w.WriteString("\r\n")
	}
	return err
}

// End completes an answer that Begin has begun.
func (x *Exchange) End() error {
	if x.chunked {
		_, _ = x.conn.bw.WriteString("0\r\n\r\n")
	}
	if err := x.Flush(); err != nil {
		return err
	}
	x.done = true
	return nil
}

// Abort ends the connection in a way that the caller does not take for the end
// of the answer.
func (x *Exchange) Abort() { x.broken = true }

// Flush sends what was written.
func (x *Exchange) Flush() error {
	_ = x.conn.c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := x.conn.bw.Flush(); err != nil {
		x.broken = true
		x.cancel()
		return err
	}
	return nil
}

func (x *Exchange) writeHead(w *bufio.Writer, status int, lines []byte) {
	if x.Header.ConnectionClose() || x.conn.server.drained.Load() {
		x.closing = true
	}
	_, _ = w.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + fasthttp.StatusMessage(status) + "\r\n")
	_, _ = w.Write(lines)
	if x.closing {
		_, _ = w.WriteString("Connection: close\r\n")
	} else if !x.Header.IsHTTP11() {
		_, _ = w.WriteString("Connection: keep-alive\r\n")
	}
}

func mayHaveBody(status int) bool {
	return status >= 200 && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}
