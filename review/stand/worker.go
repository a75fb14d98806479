package stand

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Header fields of the platform.
const (
	HeaderAttempt  = "X-Parsleyroute-Attempt-Id"
	HeaderDeadline = "X-Parsleyroute-Deadline-Ms"
	HeaderExpect   = "X-Parsleyroute-Expect-Instance"
	HeaderSigned   = "X-Parsleyroute-Response-Signature"
	HeaderNotRun   = "X-Parsleyroute-Not-Executed"
)

// HeartbeatInterval is the time between two writes of a worker's entry.
const HeartbeatInterval = 1200 * time.Millisecond

// Worker is a stand-in for a worker of a plain service.
type Worker struct {
	ID, Backend, Zone string
	Slots             int
	// Work is the time that a request takes.
	Work  time.Duration
	Store *Store
	// OnArrival is called for each request that the worker runs, OnEnd with the
	// result of the run.
	OnArrival func(w *Worker, attempt string, at time.Time)
	OnEnd     func(w *Worker, attempt string, at time.Time)

	ln     net.Listener
	server *http.Server
	slots  chan struct{}
	born   int64
	stop   chan struct{}
	once   sync.Once
}

// Start serves on a free loopback port and registers the worker.
func (w *Worker) Start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.ln, w.slots, w.born, w.stop = ln, make(chan struct{}, w.Slots), time.Now().UnixMilli(), make(chan struct{})
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(ln) }()
	go w.heartbeat()
	return nil
}

// Addr returns the address of the worker.
func (w *Worker) Addr() string { return w.ln.Addr().String() }

func (w *Worker) heartbeat() {
	tick := time.NewTicker(HeartbeatInterval)
	defer tick.Stop()
	for sequence := 1; ; sequence++ {
		w.Store.Put("servers", w.ID, map[string]any{
			"backend": w.Backend, "address": w.Addr(), "zone": w.Zone, "version": "v1", "slots": w.Slots, "state": "ready",
			"cold_remaining_ms": 0, "sequence": sequence, "born": w.born,
		})
		select {
		case <-w.stop:
			return
		case <-tick.C:
		}
	}
}

// Leave removes the entry, as a worker does that never reports draining. The worker
// goes on serving until Close.
func (w *Worker) Leave() {
	w.once.Do(func() { close(w.stop) })
	time.Sleep(20 * time.Millisecond)
	w.Store.Remove("servers", w.ID)
}

// Close ends the worker with the requests that it runs.
func (w *Worker) Close() {
	w.once.Do(func() { close(w.stop) })
	_ = w.server.Close()
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	at := time.Now()
	attempt := r.Header.Get(HeaderAttempt)
	rw.Header().Set(HeaderAttempt, attempt)
	if want := r.Header.Get(HeaderExpect); want != "" && want != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Method == http.MethodGet && r.URL.Path == "/healthz" {
		rw.Header().Set("X-Parsleyroute-Instance-Id", w.ID)
		rw.Header().Set("X-Parsleyroute-Instance-Load", fmt.Sprintf("%d,0,%d", len(w.slots), w.Slots))
		return
	}
	select {
	case w.slots <- struct{}{}:
	default:
		rw.Header().Set(HeaderNotRun, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-w.slots }()
	w.OnArrival(w, attempt, at)
	time.Sleep(w.Work)
	rw.Header().Set(HeaderSigned, fmt.Sprintf("%s.%s", w.ID, attempt))
	rw.Header().Set("X-Parsleyroute-Instance-Load", fmt.Sprintf("%d,0,%d", len(w.slots), w.Slots))
	body := "done by " + w.ID + "\n"
	rw.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(rw, body)
	w.OnEnd(w, attempt, time.Now())
}
