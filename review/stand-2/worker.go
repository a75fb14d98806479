package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	headerAttempt  = "X-Parsleyroute-Attempt-Id"
	headerSigned   = "X-Parsleyroute-Response-Signature"
	headerNotRun   = "X-Parsleyroute-Not-Executed"
	headerExpect   = "X-Parsleyroute-Expect-Instance"
	headerDeadline = "X-Parsleyroute-Deadline-Ms"
)

// request is a request that a worker has read.
type request struct {
	*http.Request
	id   string
	body []byte
}

// worker serves a service. handle writes the response and reports whether the
// connection stays open. A worker runs slots requests at once and queues as many.
type worker struct {
	id       string
	listener net.Listener
	handle   func(c net.Conn, r *request) bool
	slots    chan struct{}

	mu   sync.Mutex
	runs map[string]int
}

func startWorker(id string, slots int, handle func(w *worker, c net.Conn, r *request) bool) (*worker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, listener: ln, slots: make(chan struct{}, slots), runs: map[string]int{}}
	w.handle = func(c net.Conn, r *request) bool { return handle(w, c, r) }
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go w.serve(c)
		}
	}()
	return w, nil
}

func (w *worker) addr() string { return w.listener.Addr().String() }

func (w *worker) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReaderSize(c, 64<<10)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		req := &request{Request: r, id: r.Header.Get(headerAttempt), body: body}
		if r.Header.Get(headerExpect) != w.id {
			writeResponse(c, req.id, "", 421, nil)
			continue
		}
		if !w.handle(c, req) {
			return
		}
	}
}

// run counts a run of a request.
func (w *worker) run(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id]++
}

// work occupies a slot for the time that a run takes. It returns false if the request's
// deadline passes in the queue.
func (w *worker) work(r *request, d time.Duration) bool {
	left := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get(headerDeadline)); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	select {
	case w.slots <- struct{}{}:
	case <-time.After(left):
		return false
	}
	defer func() { <-w.slots }()
	w.run(r.id)
	time.Sleep(d)
	return true
}

// writeResponse writes a response with a length. Without a signature it states that the
// request was not run.
func writeResponse(c net.Conn, id, signature string, status int, body []byte) {
	field := headerNotRun + ": 1"
	if signature != "" {
		field = headerSigned + ": " + signature
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), headerAttempt, id, field, len(body), body)
}
