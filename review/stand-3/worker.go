package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Names of header fields in PROTOCOL.md.
const (
	HeaderID          = "X-Parsleyroute-Attempt-Id"
	HeaderSignature   = "X-Parsleyroute-Response-Signature"
	HeaderNotExecuted = "X-Parsleyroute-Not-Executed"
	HeaderDeadline    = "X-Parsleyroute-Deadline-Ms"
	HeaderExpect      = "X-Parsleyroute-Expect-Instance"
	HeaderPrefix      = "X-Parsleyroute-Prefix-Hash"
	HeaderUsage       = "X-Parsleyroute-Token-Usage"
	HeaderModel       = "X-Parsleyroute-Model"
)

// Request is a request that a worker has read.
type Request struct {
	*http.Request
	ID   string
	Body string
	At   time.Time
}

// Conn is a connection to a worker.
type Conn struct {
	*net.TCPConn
	R      *bufio.Reader
	W      *Worker
	closed bool
}

// Worker is a stand-in for a worker. Serve answers each request; requests for another
// instance get 421.
type Worker struct {
	ID    string
	Addr  string
	Serve func(c *Conn, r *Request)
	// Early, if set, answers when the header of a request has been read, before its body. It
	// returns false if Serve is to answer.
	Early func(c *Conn, r *Request) bool

	ln    net.Listener
	mu    sync.Mutex
	conns map[*Conn]bool
	dead  bool
}

// StartWorker starts a worker at the address, which may have the port 0.
func StartWorker(id, addr string, serve func(c *Conn, r *Request)) *Worker {
	w := &Worker{ID: id, Serve: serve, conns: map[*Conn]bool{}}
	w.Listen(addr)
	return w
}

// Listen accepts connections.
func (w *Worker) Listen(addr string) {
	ln, err := net.Listen("tcp", addr)
	check(err)
	w.ln, w.Addr = ln, ln.Addr().String()
	go func() {
		for {
			n, err := ln.Accept()
			if err != nil {
				return
			}
			c := &Conn{TCPConn: n.(*net.TCPConn), R: bufio.NewReader(n), W: w}
			w.mu.Lock()
			w.conns[c] = true
			w.mu.Unlock()
			go w.serve(c)
		}
	}()
}

// Crash ends the worker as the kernel does when its process dies: the port is closed and each
// connection is reset.
func (w *Worker) Crash() {
	_ = w.ln.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
	for c := range w.conns {
		_ = c.SetLinger(0)
		_ = c.TCPConn.Close()
	}
}

func (w *Worker) serve(c *Conn) {
	defer func() {
		_ = c.TCPConn.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	for !c.closed {
		hr, err := http.ReadRequest(c.R)
		if err != nil {
			return
		}
		r := &Request{Request: hr, ID: hr.Header.Get(HeaderID), At: time.Now()}
		if w.Early != nil && w.Early(c, r) {
			continue
		}
		body, err := io.ReadAll(hr.Body)
		if err != nil {
			return
		}
		r.Body = string(body)
		if want := hr.Header.Get(HeaderExpect); want != "" && want != w.ID {
			c.NotExecuted(r, http.StatusMisdirectedRequest, "")
			continue
		}
		w.Serve(c, r)
	}
}

// Printf writes raw bytes.
func (c *Conn) Printf(format string, args ...any) error {
	_, err := fmt.Fprintf(c.TCPConn, format, args...)
	return err
}

// Answer writes a complete signed answer.
func (c *Conn) Answer(r *Request, status int, extra, body string) error {
	return c.Printf("HTTP/1.1 %d x\r\n%s: %s\r\n%s: sig.%s.%s\r\n%sContent-Length: %d\r\n\r\n%s", status, HeaderID, r.ID, HeaderSignature, c.W.ID, r.ID, extra, len(body), body)
}

// NotExecuted writes an answer that states that the request has not run.
func (c *Conn) NotExecuted(r *Request, status int, extra string) {
	_ = c.Printf("HTTP/1.1 %d x\r\n%s: %s\r\n%s: 1\r\n%sContent-Length: 0\r\n\r\n", status, HeaderID, r.ID, HeaderNotExecuted, extra)
}

// StreamHead writes the header of a chunked stream of events.
func (c *Conn) StreamHead(r *Request) {
	_ = c.Printf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig.%s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", HeaderID, r.ID, HeaderSignature, c.W.ID, r.ID)
}

// Event writes one event as a chunk.
func (c *Conn) Event(id int, data string) error {
	s := fmt.Sprintf("id: %d\ndata: %s\n\n", id, data)
	return c.Printf("%x\r\n%s\r\n", len(s), s)
}

// Finish closes the connection after the answer.
func (c *Conn) Finish() {
	c.closed = true
}
