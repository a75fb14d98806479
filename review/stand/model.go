package stand

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Model is a stand-in for a model worker that answers with streams of events. A part
// of a prompt may crash it.
type Model struct {
	ID, Backend, Zone string
	Slots             int
	// Read is the time until the first token, Gap the time between two events, and
	// Events their number.
	Read, Gap time.Duration
	Events    int
	// Preempts, if set, returns how long the request is preempted before an event, zero
	// for most.
	Preempts func(attempt string, event int) time.Duration
	// Deadly is the id of the part of a prompt on which the worker crashes as it begins
	// to write an answer. It is back after Down.
	Deadly string
	Down   time.Duration
	// Written is how much of the answer has left when the worker crashes: nothing, the
	// header or the first event.
	Written Written
	Store   *Store
	// OnArrival is called for each request that the worker runs, OnCrash for each
	// crash, and OnEnd for each request that it has answered.
	OnArrival func(m *Model, r *http.Request, at time.Time)
	OnCrash   func(m *Model, attempt string, at time.Time)
	OnEnd     func(m *Model, attempt string)

	mu     sync.Mutex
	addr   string
	ln     net.Listener
	conns  map[net.Conn]bool
	active int
	life   chan struct{}
	closed bool
	wg     sync.WaitGroup
}

// Written is a part of an answer.
type Written string

// Parts of an answer.
const (
	WrittenNothing Written = "nothing"
	WrittenHeader  Written = "header"
	WrittenEvent   Written = "event"
)

// Start serves on a loopback address that belongs to the worker, and registers it.
func (m *Model) Start() error {
	m.addr = FreeAddr()
	return m.begin()
}

// begin starts the worker's process.
func (m *Model) begin() error {
	ln, err := net.Listen("tcp", m.addr)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.ln, m.conns, m.active, m.life = ln, map[net.Conn]bool{}, 0, make(chan struct{})
	life := m.life
	m.mu.Unlock()
	m.wg.Go(func() { m.accept(ln, life) })
	m.wg.Go(func() { m.heartbeat(time.Now().UnixMilli(), life) })
	return nil
}

func (m *Model) heartbeat(born int64, life chan struct{}) {
	tick := time.NewTicker(HeartbeatInterval)
	defer tick.Stop()
	for sequence := 1; ; sequence++ {
		m.Store.Put("servers", m.ID, map[string]any{
			"backend": m.Backend, "address": m.addr, "zone": m.Zone, "version": "v1", "slots": m.Slots, "state": "ready",
			"cold_remaining_ms": 0, "sequence": sequence, "born": born,
		})
		select {
		case <-life:
			return
		case <-tick.C:
		}
	}
}

// end ends the process: its connections are reset, and nothing is sent to the store.
func (m *Model) end(life chan struct{}) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-life:
		return false
	default:
	}
	close(life)
	_ = m.ln.Close()
	for c := range m.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	return true
}

// Close ends the worker for good.
func (m *Model) Close() {
	m.mu.Lock()
	m.closed = true
	life := m.life
	m.mu.Unlock()
	m.end(life)
	m.wg.Wait()
}

// crash ends the process and starts it again after Down.
func (m *Model) crash(attempt string, life chan struct{}) {
	if !m.end(life) {
		return
	}
	m.OnCrash(m, attempt, time.Now())
	time.AfterFunc(m.Down, func() {
		m.mu.Lock()
		closed := m.closed
		m.mu.Unlock()
		if !closed {
			_ = m.begin()
		}
	})
}

func (m *Model) accept(ln net.Listener, life chan struct{}) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		m.mu.Lock()
		select {
		case <-life:
			_ = c.Close()
		default:
			m.conns[c] = true
			m.wg.Go(func() { m.serve(c, life) })
		}
		m.mu.Unlock()
	}
}

func (m *Model) serve(c net.Conn, life chan struct{}) {
	defer func() {
		_ = c.Close()
		m.mu.Lock()
		delete(m.conns, c)
		m.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if r.ContentLength > 0 {
			if _, err := br.Discard(int(r.ContentLength)); err != nil {
				return
			}
		}
		if !m.answer(c, r, life) {
			return
		}
	}
}

// answer answers one request and reports whether the connection goes on.
func (m *Model) answer(c net.Conn, r *http.Request, life chan struct{}) bool {
	at, attempt := time.Now(), r.Header.Get(HeaderAttempt)
	if want := r.Header.Get(HeaderExpect); want != "" && want != m.ID {
		return write(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", HeaderAttempt, attempt)
	}
	m.mu.Lock()
	full := m.active >= m.Slots
	if !full {
		m.active++
	}
	m.mu.Unlock()
	if full {
		return write(c, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", HeaderAttempt, attempt, HeaderNotRun)
	}
	defer func() { m.mu.Lock(); m.active--; m.mu.Unlock() }()
	m.OnArrival(m, r, at)
	if !m.sleep(m.Read, life) {
		return false
	}
	isDeadly := m.Deadly != "" && HasPart(r, m.Deadly)
	if isDeadly && m.Written == WrittenNothing {
		m.crash(attempt, life)
		return false
	}
	// The header leaves together with the first event, as from a usual HTTP server.
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &first)
		first++
	}
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", HeaderAttempt, attempt, HeaderSigned, m.ID, attempt)
	if isDeadly && m.Written == WrittenHeader {
		_ = write(c, "%s", text)
		m.crash(attempt, life)
		return false
	}
	for id := first; id <= m.Events; id++ {
		if m.Preempts != nil && !m.sleep(m.Preempts(attempt, id), life) {
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id)
		if !write(c, "%s%x\r\n%s\r\n", text, len(event), event) {
			return false
		}
		text = ""
		if isDeadly {
			m.crash(attempt, life)
			return false
		}
		if id < m.Events && !m.sleep(m.Gap, life) {
			return false
		}
	}
	if !write(c, "%s0\r\n\r\n", text) {
		return false
	}
	m.OnEnd(m, attempt)
	return true
}

// sleep waits for d and reports whether the process still runs.
func (m *Model) sleep(d time.Duration, life chan struct{}) bool {
	select {
	case <-time.After(d):
		return true
	case <-life:
		return false
	}
}

func write(c net.Conn, format string, args ...any) bool {
	_, err := fmt.Fprintf(c, format, args...)
	return err == nil
}

// HasPart reports whether a part of the request's prompt other than the last has the id.
func HasPart(r *http.Request, id string) bool {
	parts := strings.Split(r.Header.Get("X-Parsleyroute-Prefix-Hash"), ",")
	for _, part := range parts[:len(parts)-1] {
		if name, _, _ := strings.Cut(part, ":"); name == id {
			return true
		}
	}
	return false
}
