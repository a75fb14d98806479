// Package worker is a stand-in for the platform's workers, the upstreams of a
// gate. A script decides how it answers each request, so that a test can have
// it break off, stay silent, refuse, or answer twice.
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

// The names of the platform that scripts and tests need.
const (
	HeaderAttemptID      = "X-Parsleyroute-Attempt-Id"
	HeaderSignature      = "X-Parsleyroute-Response-Signature"
	HeaderNotExecuted    = "X-Parsleyroute-Not-Executed"
	HeaderDeadlineMs     = "X-Parsleyroute-Deadline-Ms"
	HeaderExpectInstance = "X-Parsleyroute-Expect-Instance"
	HeaderTeam           = "X-Parsleyroute-Tenant"
	HeaderFailedUpstream = "At-Server"
	HeaderLastEventID    = "Last-Event-Id"
)

// Script answers one request.
type Script func(c *Conn, a *ReceivedRequest)

// Worker serves scripts. The fields are set before Start.
type Worker struct {
	ID string
	// Script answers requests; SetScript changes it.
	Script Script

	ln       net.Listener
	mu       sync.Mutex
	requests []*ReceivedRequest
	conns    map[net.Conn]bool
	wg       sync.WaitGroup
}

// ReceivedRequest is one request that reached the worker.
type ReceivedRequest struct {
	*http.Request
	AttemptID  string
	Payload    []byte
	ReceivedAt time.Time
	// DisconnectedAt is when the caller closed the connection while the script waited for
	// that; zero if it did not.
	DisconnectedAt time.Time
}

// Conn is the connection of a request.
type Conn struct {
	net.Conn
	r      *bufio.Reader
	worker *Worker
	closed bool
}

// Start opens a listener on the loopback address and serves in the background.
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

// Close ends all connections and waits for the scripts.
func (w *Worker) Close() {
	_ = w.ln.Close()
	w.mu.Lock()
	for c := range w.conns {
		_ = c.Close()
	}
	w.mu.Unlock()
	w.wg.Wait()
}

// SetScript changes how further requests are answered.
func (w *Worker) SetScript(s Script) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Script = s
}

// Requests returns the requests that have reached the worker.
func (w *Worker) Requests() []ReceivedRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]ReceivedRequest, len(w.requests))
	for i, a := range w.requests {
		list[i] = *a
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
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		a := &ReceivedRequest{Request: r, AttemptID: r.Header.Get(HeaderAttemptID), Payload: body, ReceivedAt: time.Now()}
		w.mu.Lock()
		w.requests = append(w.requests, a)
		script := w.Script
		w.mu.Unlock()
		script(c, a)
	}
}

// Printf writes raw bytes of an answer.
func (c *Conn) Printf(format string, args ...any) { _, _ = fmt.Fprintf(c.Conn, format, args...) }

// WriteResponse writes a complete answer with the worker's signature.
func (c *Conn) WriteResponse(a *ReceivedRequest, status int, body string) {
	c.Printf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: sig-%s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), HeaderAttemptID, a.AttemptID, HeaderSignature, c.worker.ID, len(body), body)
}

// WriteNotExecuted states that the request was not run. culprit may be empty.
func (c *Conn) WriteNotExecuted(a *ReceivedRequest, status int, failedUpstream string) {
	extra := ""
	if failedUpstream != "" {
		extra = HeaderFailedUpstream + ": " + failedUpstream + "\r\n"
	}
	c.Printf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: 1\r\n%sContent-Length: 0\r\n\r\n",
		status, http.StatusText(status), HeaderAttemptID, a.AttemptID, HeaderNotExecuted, extra)
}

// WriteStreamHeader writes the head of a stream in chunks.
func (c *Conn) WriteStreamHeader(a *ReceivedRequest) {
	c.Printf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		HeaderAttemptID, a.AttemptID, HeaderSignature, c.worker.ID)
}

// WriteEvent writes one event of a stream.
func (c *Conn) WriteEvent(id int) { c.WriteChunk(fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id)) }

// WriteChunk writes one chunk.
func (c *Conn) WriteChunk(s string) { c.Printf("%x\r\n%s\r\n", len(s), s) }

// EndStream ends a stream.
func (c *Conn) EndStream() { c.Printf("0\r\n\r\n") }

// Disconnect closes the connection.
func (c *Conn) Disconnect() {
	c.closed = true
	_ = c.Close()
}

// Reset resets the connection.
func (c *Conn) Reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Disconnect()
}

// AwaitDisconnect waits until the caller closes the connection, at most for d, and
// takes note of when it did.
func (c *Conn) AwaitDisconnect(a *ReceivedRequest, d time.Duration) {
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := c.r.Peek(1)
	var timeout net.Error
	if err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
		c.worker.mu.Lock()
		a.DisconnectedAt = time.Now()
		c.worker.mu.Unlock()
	}
	c.Disconnect()
}
