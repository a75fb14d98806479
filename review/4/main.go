// Command case4 lets workers leave while the store cuts off waiting watches.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"parsleyroute.example/review/stand"
)

const (
	host  = "desk.example"
	key   = "n2ctnfzs989anu6wsjnb"
	drain = 2000 * time.Millisecond
	// linger is how much longer than drain a worker that has left goes on serving.
	linger = 600 * time.Millisecond
	// stable is the stable window.
	stable = 3 * time.Second
	work   = 120 * time.Millisecond
	// cutShare is the part of the waiting watches that are cut off.
	cutShare = 1.0 / 3
	leaves   = 10
	leaveGap = 5 * time.Second
	interval = 20 * time.Millisecond
)

type run struct {
	rec     *stand.Record
	store   *stand.Store
	mu      sync.Mutex
	workers []*stand.Worker
	// leftAt holds the time at which the store had removed the entry of a worker.
	leftAt map[string]time.Time
	// late counts the arrivals after drain, lost the requests without a complete
	// answer that such a worker was running when it ended.
	late, lost, sent, served int
	lateAt                   map[string]bool
	lateAttempts             map[string]bool
	started                  int
}

func main() {
	code, err := play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("the case could not run:", err)
		code = 2
	}
	os.Exit(code)
}

func play(program, folder string, trouble bool) (code int, err error) {
	dir, err := os.MkdirTemp("", "review4")
	if err != nil {
		return 2, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r := &run{leftAt: map[string]time.Time{}, lateAt: map[string]bool{}, lateAttempts: map[string]bool{}}
	if r.rec, err = stand.OpenRecord(filepath.Join(folder, "record.txt")); err != nil {
		return 2, err
	}
	defer r.rec.Close()
	r.store = &stand.Store{}
	if trouble {
		r.store.CutWatch = func(string) (float64, bool) { return rand.Float64(), rand.Float64() < cutShare }
		r.store.OnCut = func(kind, caller string) { r.rec.Log("watch cut off", "kind", kind, "caller", caller) }
	}
	if err := r.store.Start(); err != nil {
		return 2, err
	}
	defer r.store.Close()
	r.store.Put("config", "main", config())
	for range 4 {
		if err := r.startWorker(); err != nil {
			return 2, err
		}
	}
	defer func() {
		for _, w := range r.workers {
			w.Close()
		}
	}()
	gates, err := stand.StartGates(program, dir, r.store.Addr(), "z-a", "z-b", "z-a")
	defer stand.KillGates(gates)
	if err != nil {
		return 2, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { r.load(gates, stop) })
	time.Sleep(stable + time.Second)
	for range leaves {
		if err := r.replaceOne(); err != nil {
			return 2, err
		}
		time.Sleep(leaveGap)
	}
	close(stop)
	wg.Wait()
	for _, g := range gates {
		if g.Ended() {
			return 2, errors.New("a gate has ended")
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Log("result", "trouble", trouble, "sent", r.sent, "served", r.served, "leaves", leaves, "late arrivals", r.late, "workers with late arrivals", len(r.lateAt), "lost at them", r.lost)
	fmt.Printf("%d requests sent, %d served; %d workers left; %d requests reached %d of them more than %v after the store had removed them; %d of these got no complete answer\n",
		r.sent, r.served, leaves, r.late, len(r.lateAt), drain, r.lost)
	if r.late > 0 {
		return 1, nil
	}
	return 0, nil
}

func config() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-order", "hostname": host, "path_prefix": "/order/", "type": "unsafe", "timeout_ms": 3000, "slo_ms": 300,
			"priority": 2, "backend": "desk", "max_attempts": 2, "anonymous": false,
		}},
		"backends": []map[string]any{{"name": "desk", "health_path": "/healthz", "max_connections": 96, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "hule930", "api_keys": []string{key}, "priority": 1}},
	}
}

// startWorker starts one more worker.
func (r *run) startWorker() error {
	r.started++
	w := &stand.Worker{
		ID: fmt.Sprintf("i-%04x", r.started), Backend: "desk", Zone: []string{"z-a", "z-b"}[r.started%2], Slots: 6, Work: work, Store: r.store,
		OnArrival: r.arrived, OnEnd: r.ended,
	}
	if err := w.Start(); err != nil {
		return err
	}
	r.workers = append(r.workers, w)
	r.rec.Log("worker started", "worker", w.ID, "address", w.Addr())
	return nil
}

// replaceOne starts a worker and lets the oldest one leave.
func (r *run) replaceOne() error {
	if err := r.startWorker(); err != nil {
		return err
	}
	time.Sleep(time.Duration(1000+rand.IntN(1000)) * time.Millisecond)
	w := r.workers[0]
	r.workers = r.workers[1:]
	w.Leave()
	r.mu.Lock()
	r.leftAt[w.ID] = time.Now()
	r.mu.Unlock()
	r.rec.Log("worker left the store", "worker", w.ID)
	time.AfterFunc(drain+linger, func() {
		w.Close()
		r.rec.Log("worker ended", "worker", w.ID)
	})
	return nil
}

func (r *run) arrived(w *stand.Worker, attempt string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fields := []any{"worker", w.ID, "attempt", attempt}
	if left, ok := r.leftAt[w.ID]; ok {
		since := at.Sub(left)
		fields = append(fields, "ms after it left", since.Milliseconds())
		if since > drain {
			r.late++
			r.lateAt[w.ID], r.lateAttempts[attempt] = true, true
			fields = append(fields, "late", true)
		}
	}
	r.rec.Log("runs", fields...)
}

func (r *run) ended(w *stand.Worker, attempt string, _ time.Time) {
	r.rec.Log("ran", "worker", w.ID, "attempt", attempt)
}

// load sends requests to all gates in turn until stop is closed.
func (r *run) load(gates []*stand.Gate, stop <-chan struct{}) {
	client := stand.NewClient(host, key)
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		gate := gates[i%len(gates)]
		attempt := fmt.Sprintf("%016x", i+1)
		wg.Go(func() {
			r.rec.Log("sent", "attempt", attempt, "gate", gate.Name)
			a := client.Send(gate.Callers, "POST", "/order/new", attempt, 3*time.Second, strings.NewReader("one plate"))
			r.rec.Log("answered", "attempt", attempt, "status", a.Status, "signed", a.Signed, "error", fmt.Sprint(a.Err), "ms taken", a.Took.Milliseconds())
			r.mu.Lock()
			defer r.mu.Unlock()
			r.sent++
			switch {
			case a.Err == nil && a.Status == 200 && a.Signed:
				r.served++
			case r.lateAttempts[attempt]:
				r.lost++
			}
		})
	}
}
