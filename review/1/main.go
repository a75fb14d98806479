// Command case1 sends prompts with a part that crashes workers as they begin to write.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"parsleyroute.example/review/stand"
)

const (
	host = "draft.example"
	key  = "n2ctnfzs989anu6wsjnb"
	// deadly is the part that crashes workers.
	deadly = "dead0bad"
	stable = 3 * time.Second
	// calm is the time without the part, trouble the time with it.
	calm     = 10 * time.Second
	trouble  = 22 * time.Second
	interval = 50 * time.Millisecond
	// deadlyEvery is the share of the requests that have the part: one in so many.
	deadlyEvery = 20
	workers     = 6
	events      = 12
	// allowed is the number of requests with the part that the rule allows.
	allowed = 3
	// fifth is the crash from which the rule counts.
	fifth = 5
)

type run struct {
	rec     *stand.Record
	mu      sync.Mutex
	crashes []time.Time
	// arrivals holds the times at which requests with the part reached workers.
	arrivals           []time.Time
	sound, soundServed int
	deadlySent         int
}

func main() {
	written := stand.WrittenNothing
	if len(os.Args) > 3 {
		written = stand.Written(os.Args[3])
	}
	code, err := play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0", written)
	if err != nil {
		fmt.Println("the case could not run:", err)
		code = 2
	}
	os.Exit(code)
}

func play(program, folder string, troubled bool, written stand.Written) (code int, err error) {
	dir, err := os.MkdirTemp("", "review1")
	if err != nil {
		return 2, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r := &run{}
	if r.rec, err = stand.OpenRecord(filepath.Join(folder, "record.txt")); err != nil {
		return 2, err
	}
	defer r.rec.Close()
	store := &stand.Store{}
	if err := store.Start(); err != nil {
		return 2, err
	}
	defer store.Close()
	store.Put("config", "main", config())
	for i := range workers {
		m := &stand.Model{
			ID: fmt.Sprintf("i-%04x", i+1), Backend: "model", Zone: []string{"z-a", "z-b"}[i%2], Slots: 12,
			Read: 60 * time.Millisecond, Gap: 25 * time.Millisecond, Events: events, Deadly: deadly, Down: 3 * time.Second, Written: written, Store: store,
			OnArrival: r.arrived, OnCrash: r.crashed, OnEnd: r.ended,
		}
		if err := m.Start(); err != nil {
			return 2, err
		}
		defer m.Close()
	}
	gates, err := stand.StartGates(program, dir, store.Addr(), "z-a", "z-b", "z-a")
	defer stand.KillGates(gates)
	if err != nil {
		return 2, err
	}
	time.Sleep(stable)
	r.load(gates, troubled)
	for _, g := range gates {
		if g.Ended() {
			return 2, errors.New("a gate has ended")
		}
	}
	return r.judge(troubled), nil
}

// judge returns the exit code.
func (r *run) judge(troubled bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortFunc(r.crashes, time.Time.Compare)
	late := 0
	if len(r.crashes) >= fifth {
		from := r.crashes[fifth-1].Add(stable)
		for _, at := range r.arrivals {
			if at.After(from) {
				late++
			}
		}
	}
	r.rec.Log("result", "trouble", troubled, "deadly sent", r.deadlySent, "deadly arrivals", len(r.arrivals), "crashes", len(r.crashes), "arrivals from 3 s after the fifth crash", late,
		"sound sent", r.sound, "sound served", r.soundServed)
	fmt.Printf("%d requests with the part sent, %d arrivals of them at workers, %d crashes; %d arrivals later than %v after the fifth crash (allowed: %d); sound: %d of %d served\n",
		r.deadlySent, len(r.arrivals), len(r.crashes), late, stable, allowed, r.soundServed, r.sound)
	if late > allowed {
		return 1
	}
	return 0
}

func config() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-draft", "hostname": host, "path_prefix": "/draft/", "type": "streaming", "timeout_ms": 8000, "slo_ms": 500,
			"priority": 1, "backend": "model", "max_attempts": 2, "anonymous": false, "session_affinity": true, "stream_resume": true, "gap_aim_ms": 120,
		}},
		"backends": []map[string]any{{"name": "model", "health_path": "/healthz", "max_connections": 408, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "hule930", "api_keys": []string{key}, "priority": 1}},
	}
}

func (r *run) arrived(m *stand.Model, req *http.Request, at time.Time) {
	isDeadly := stand.HasPart(req, deadly)
	r.rec.Log("runs", "worker", m.ID, "attempt", req.Header.Get(stand.HeaderAttempt), "deadly", isDeadly)
	if isDeadly {
		r.mu.Lock()
		r.arrivals = append(r.arrivals, at)
		r.mu.Unlock()
	}
}

func (r *run) crashed(m *stand.Model, attempt string, at time.Time) {
	r.rec.Log("crashes", "worker", m.ID, "attempt", attempt)
	r.mu.Lock()
	r.crashes = append(r.crashes, at)
	r.mu.Unlock()
}

func (r *run) ended(m *stand.Model, attempt string) {
	r.rec.Log("ran", "worker", m.ID, "attempt", attempt)
}

// load sends requests to all gates in turn.
func (r *run) load(gates []*stand.Gate, troubled bool) {
	client := stand.NewClient(host, key)
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(interval)
	defer tick.Stop()
	start := time.Now()
	for i := 1; time.Since(start) < calm+trouble; i++ {
		<-tick.C
		isDeadly := troubled && time.Since(start) > calm && i%deadlyEvery == 0
		gate, attempt := gates[i%len(gates)], fmt.Sprintf("%016x", i)
		// All requests share their first parts, and the last part is the request's own.
		prompt := fmt.Sprintf("5c1e07a2:800,%04x:410,%08x:250", 0x91b0+i%4, 0xa0000000+i)
		if isDeadly {
			prompt = fmt.Sprintf("5c1e07a2:800,%04x:410,%s:60,%08x:250", 0x91b0+i%4, deadly, 0xa0000000+i)
		}
		wg.Go(func() { r.send(client, gate, attempt, prompt, isDeadly) })
	}
}

func (r *run) send(client *stand.Client, gate *stand.Gate, attempt, prompt string, isDeadly bool) {
	r.rec.Log("sent", "attempt", attempt, "gate", gate.Name, "deadly", isDeadly)
	a := client.Send(gate.Callers, "POST", "/draft/new", attempt, 8*time.Second, strings.NewReader("a plate"),
		"X-Parsleyroute-Model", "m", "X-Parsleyroute-Token-Usage", "1460,48", "X-Parsleyroute-Prefix-Hash", prompt)
	served := a.Err == nil && a.Status == 200 && strings.Count(a.Body, "id: ") == events
	r.rec.Log("answered", "attempt", attempt, "status", a.Status, "whole", served, "error", fmt.Sprint(a.Err), "ms taken", a.Took.Milliseconds())
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case isDeadly:
		r.deadlySent++
	default:
		r.sound++
		if served {
			r.soundServed++
		}
	}
}
