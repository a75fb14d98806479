package inlet

import (
	"bufio"
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"parsleyroute.example/gate/conn/body"
)

// Exchange is one request and its response. It is used by one goroutine.
type Exchange struct {
	// Header and Body are valid until the handler returns. Body is nil if the request has
	// none.
	Header *fasthttp.RequestHeader
	Body   *body.Body
	// Received is the time at which the request had been read completely.
	Received time.Time

	conn      *conn
	ctx       context.Context
	cancel    context.CancelFunc
	watchDone chan struct{}
	// headerWritten is set once the response header was written, complete once
	// the response is complete, and aborted if it never will be.
	headerWritten, complete, aborted bool
	chunked                          bool
	// closeAfter is set if the connection is closed after this response.
	closeAfter bool
}

// Context returns a context that ends when the caller closes the connection or
// the handler returns. The first call starts the watch of the connection.
func (x *Exchange) Context() context.Context {
	if x.watchDone == nil {
		x.watchDone = make(chan struct{})
		_ = x.conn.tcp.SetReadDeadline(time.Time{})
		go func() {
			defer close(x.watchDone)
			// A byte that arrives now belongs to the next request and stays in
			// the buffer. An error means that the caller has disconnected or
			// that stopWatch has set a deadline in the past.
			if _, err := x.conn.br.Peek(1); err != nil {
				x.cancel()
			}
		}()
	}
	return x.ctx
}

// stopWatch stops the watch of the connection and cancels the context.
func (x *Exchange) stopWatch() {
	if x.watchDone != nil {
		_ = x.conn.tcp.SetReadDeadline(time.Unix(1, 0))
		<-x.watchDone
		_ = x.conn.tcp.SetReadDeadline(time.Time{})
	}
	x.cancel()
}

// HeaderWritten reports whether a response header was written.
func (x *Exchange) HeaderWritten() bool { return x.headerWritten }

// Respond writes a complete response. fields holds further header fields, each
// ending in CRLF.
func (x *Exchange) Respond(status int, fields, body []byte) error {
	x.headerWritten = true
	w := x.conn.bw
	x.writeHeaderStart(w, status, fields)
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
	x.complete = true
	return nil
}

// WriteHeader writes the header of a response whose body follows in parts.
func (x *Exchange) WriteHeader(status int, fields []byte) error {
	x.headerWritten = true
	x.chunked = x.Header.IsHTTP11()
	if !x.chunked {
		x.closeAfter = true
	}
	w := x.conn.bw
	x.writeHeaderStart(w, status, fields)
	if x.chunked {
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	}
	_, _ = w.WriteString("\r\n")
	return nil
}

// Write writes one part of the body to the buffer, which the next Flush sends.
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

// End completes a response that WriteHeader has started.
func (x *Exchange) End() error {
	if x.chunked {
		_, _ = x.conn.bw.WriteString("0\r\n\r\n")
	}
	if err := x.Flush(); err != nil {
		return err
	}
	x.complete = true
	return nil
}

// Abort marks the response as incomplete, so that the connection ends without the last
// chunk, or in a reset, which the caller cannot mistake for the end of the response.
func (x *Exchange) Abort() { x.aborted = true }

// Flush sends the buffered part of the response.
func (x *Exchange) Flush() error {
	if err := x.conn.bw.Flush(); err != nil {
		x.aborted = true
		x.cancel()
		return err
	}
	return nil
}

// writeHeaderStart writes the status line, the given fields and the Connection
// field. The caller adds the framing fields and the blank line.
func (x *Exchange) writeHeaderStart(w *bufio.Writer, status int, fields []byte) {
	if x.Header.ConnectionClose() || x.conn.server.draining.Load() {
		x.closeAfter = true
	}
	_, _ = w.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + fasthttp.StatusMessage(status) + "\r\n")
	_, _ = w.Write(fields)
	if x.closeAfter {
		_, _ = w.WriteString("Connection: close\r\n")
	} else if !x.Header.IsHTTP11() {
		_, _ = w.WriteString("Connection: keep-alive\r\n")
	}
}

func mayHaveBody(status int) bool {
	return status >= 200 && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}
