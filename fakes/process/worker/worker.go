// Package worker is a stand-in for the platform's workers, the upstreams of a
// gate. A script decides how it responds to each request, so that a test can make
// it interrupt a response, send none, refuse, or respond twice.
package worker

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Headers of the platform that scripts and tests use.
const (
	HeaderAttemptID      = "X-Parsleyroute-Attempt-Id"
	HeaderSignature      = "X-Parsleyroute-Response-Signature"
	HeaderNotExecuted    = "X-Parsleyroute-Not-Executed"
	HeaderDeadlineMs     = "X-Parsleyroute-Deadline-Ms"
	HeaderExpectInstance = "X-Parsleyroute-Expect-Instance"
	HeaderTeam           = "X-Parsleyroute-Tenant"
	HeaderFailedUpstream = "At-Server"
	HeaderLastEventID    = "Last-Event-Id"
	HeaderServerLimit    = "Server-Limit"
	HeaderServerLeaving  = "Server-Leaving"
	HeaderRetryAfter     = "Retry-After"
)

// Script responds to one request.
type Script func(c *Conn, req *ReceivedRequest)

// Worker is an HTTP server that runs scripts. The fields are set before Start.
type Worker struct {
	ID string
	// Script responds to requests; SetScript changes it.
	Script Script
	// Early, if set, responds to a request instead of Script once its header has been read,
	// before its body. The connection is closed afterwards.
	Early Script

	ln    net.Listener
	mu    sync.Mutex
	limit string
	// leaving is named in all responses, retryAfter in refusals.
	leaving    bool
	retryAfter string
	requests   []*ReceivedRequest
	conns      map[net.Conn]bool
	wg         sync.WaitGroup
}

// ReceivedRequest is one request that the worker has received.
type ReceivedRequest struct {
	*http.Request
	AttemptID  string
	Payload    []byte
	ReceivedAt time.Time
	// DisconnectedAt is when the caller disconnected while the script ran
	// AwaitDisconnect; zero if it did not.
	DisconnectedAt time.Time
}

// Conn is the connection of a request.
type Conn struct {
	net.Conn
	r      *bufio.Reader
	worker *Worker
	closed bool
}

// Start listens on a free port of the loopback address and serves in the
// background.
func (w *Worker) Start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.ln, w.conns = ln, map[net.Conn]bool{}
	w.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[c] = true
			w.mu.Unlock()
			w.wg.Go(func() { w.serve(&Conn{Conn: c, r: bufio.NewReader(c), worker: w}) })
		}
	})
	return nil
}

// Addr returns the worker's address.
func (w *Worker) Addr() netip.AddrPort { return netip.MustParseAddrPort(w.ln.Addr().String()) }

// Close closes all connections and waits for the scripts to return.
func (w *Worker) Close() {
	_ = w.ln.Close()
	w.mu.Lock()
	for c := range w.conns {
		_ = c.Close()
	}
	w.mu.Unlock()
	w.wg.Wait()
}

// SetScript changes how later requests are responded to.
func (w *Worker) SetScript(s Script) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Script = s
}

// SetLimit changes the limit that later responses name; an empty one is not named.
func (w *Worker) SetLimit(limit string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = limit
}

// SetLeaving makes later responses say that the worker leaves.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
}

// SetRetryAfter changes the Retry-After field of later refusals with status 503; an empty
// one is left out.
func (w *Worker) SetRetryAfter(value string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retryAfter = value
}

// noticeFields returns the header field lines that say what the worker wants.
func (w *Worker) noticeFields(status int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	fields := ""
	if w.limit != "" {
		fields += HeaderServerLimit + ": " + w.limit + "\r\n"
	}
	if w.leaving {
		fields += HeaderServerLeaving + ": 1\r\n"
	}
	if w.retryAfter != "" && status == http.StatusServiceUnavailable {
		fields += HeaderRetryAfter + ": " + w.retryAfter + "\r\n"
	}
	return fields
}

// Requests returns copies of the requests received so far.
func (w *Worker) Requests() []ReceivedRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]ReceivedRequest, len(w.requests))
	for i, req := range w.requests {
		list[i] = *req
	}
	return list
}

func (w *Worker) serve(c *Conn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.conns, c.Conn)
		w.mu.Unlock()
	}()
	for !c.closed {
		r, err := http.ReadRequest(c.r)
		if err != nil {
			return
		}
		if w.Early != nil {
			w.Early(c, &ReceivedRequest{Request: r, AttemptID: r.Header.Get(HeaderAttemptID), ReceivedAt: time.Now()})
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		req := &ReceivedRequest{Request: r, AttemptID: r.Header.Get(HeaderAttemptID), Payload: body, ReceivedAt: time.Now()}
		w.mu.Lock()
		w.requests = append(w.requests, req)
		script := w.Script
		w.mu.Unlock()
		script(c, req)
	}
}

// Printf writes formatted raw bytes to the connection.
func (c *Conn) Printf(format string, args ...any) { _, _ = fmt.Fprintf(c.Conn, format, args...) }

// WriteResponse writes a complete response with the worker's signature.
func (c *Conn) WriteResponse(req *ReceivedRequest, status int, body string) {
	c.Printf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: sig-%s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), HeaderAttemptID, req.AttemptID, HeaderSignature, c.worker.ID, c.worker.noticeFields(status), len(body), body)
}

// WriteNotExecuted writes a response that states that the request was not
// executed. failedUpstream may be empty.
func (c *Conn) WriteNotExecuted(req *ReceivedRequest, status int, failedUpstream string) {
	extraHeader := c.worker.noticeFields(status)
	if failedUpstream != "" {
		extraHeader += HeaderFailedUpstream + ": " + failedUpstream + "\r\n"
	}
	c.Printf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: 1\r\n%sContent-Length: 0\r\n\r\n",
		status, http.StatusText(status), HeaderAttemptID, req.AttemptID, HeaderNotExecuted, extraHeader)
}

// WriteStreamHeader writes the header of a chunked event stream.
func (c *Conn) WriteStreamHeader(req *ReceivedRequest) {
	c.Printf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig-%s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		HeaderAttemptID, req.AttemptID, HeaderSignature, c.worker.ID, c.worker.noticeFields(http.StatusOK))
}

// WriteEvent writes one event of a stream as a chunk.
func (c *Conn) WriteEvent(id int) { c.WriteChunk(fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id)) }

// WriteChunk writes one chunk.
func (c *Conn) WriteChunk(s string) { c.Printf("%x\r\n%s\r\n", len(s), s) }

// EndStream writes the last chunk.
func (c *Conn) EndStream() { c.Printf("0\r\n\r\n") }

// Disconnect closes the connection.
func (c *Conn) Disconnect() {
	c.closed = true
	_ = c.Close()
}

// Reset closes the connection with a TCP reset.
func (c *Conn) Reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Disconnect()
}

// AwaitDisconnect waits up to d for the caller to close the connection, records
// when it did, and closes the connection.
func (c *Conn) AwaitDisconnect(req *ReceivedRequest, d time.Duration) {
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := c.r.Peek(1)
	var netErr net.Error
	if err != nil && !(errors.As(err, &netErr) && netErr.Timeout()) {
		c.worker.mu.Lock()
		req.DisconnectedAt = time.Now()
		c.worker.mu.Unlock()
	}
	c.Disconnect()
}
