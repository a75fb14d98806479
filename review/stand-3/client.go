package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// Answer is what a client has received.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// Err is set if no answer or no complete answer came.
	Err error
}

// Client is one connection of a client to a gate.
type Client struct {
	net.Conn
	R *bufio.Reader
}

// Dial connects to a gate.
func Dial(addr string) (*Client, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{Conn: c, R: bufio.NewReader(c)}, nil
}

// Head returns the head of a request.
func Head(method, host, path, id string, deadline time.Duration, extra ...string) string {
	s := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, host, HeaderID, id, HeaderDeadline, deadline.Milliseconds())
	return s + strings.Join(extra, "")
}

// Read reads one answer.
func (c *Client) Read(method string, wait time.Duration) Answer {
	_ = c.SetReadDeadline(time.Now().Add(wait))
	resp, err := http.ReadResponse(c.R, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Err: err}
}

// Do sends one request on a new connection.
func Do(addr, method, host, path, id string, deadline time.Duration, body string, extra ...string) Answer {
	c, err := Dial(addr)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = c.Close() }()
	head := Head(method, host, path, id, deadline, extra...)
	if body != "" || method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c, head+"\r\n"+body); err != nil {
		return Answer{Err: err}
	}
	return c.Read(method, deadline+time.Second)
}

// Record writes lines with the time since its start to a file.
type Record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) *Record {
	f, err := os.Create(path)
	check(err)
	return &Record{f: f, start: time.Now()}
}

// Log writes one line.
func (r *Record) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// ExitSkipped is the exit code of a case that could not run.
const ExitSkipped = 2

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		KillAll()
		os.Exit(ExitSkipped)
	}
}

// Map is a JSON object.
type Map = map[string]any

// Route returns a route of the configuration.
func Route(name, host, prefix, kind, backend string, timeoutMS, sloMS, attempts int, extra Map) Map {
	m := Map{"name": name, "hostname": host, "path_prefix": prefix, "type": kind, "backend": backend, "timeout_ms": timeoutMS, "slo_ms": sloMS, "priority": 1, "max_attempts": attempts}
	for k, v := range extra {
		m[k] = v
	}
	return m
}

// Limits are the limits of the configuration of the smallest sites.
var Limits = Map{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}

// Entry returns the entry of a worker.
func Entry(w *Worker, backend, zone string, slots int, born int64, sequence int, extra Map) Map {
	m := Map{"backend": backend, "address": w.Addr, "zone": zone, "version": "v1", "slots": slots, "state": "ready", "cold_remaining_ms": 0, "sequence": sequence, "born": born}
	for k, v := range extra {
		m[k] = v
	}
	return m
}
