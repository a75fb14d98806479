// Command case3 sends SIGHUP to gates while workers preempt some streams.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"parsleyroute.example/review/stand"
)

const (
	host   = "draft.example"
	key    = "n2ctnfzs989anu6wsjnb"
	stable = 3 * time.Second
	// applied is config_apply_ms.
	applied  = 2 * time.Second
	deadline = 8 * time.Second
	workers  = 4
	slots    = 15
	// A stream has so many events, with the given time between two.
	events = 24
	gap    = 45 * time.Millisecond
	users  = 58
	think  = 20 * time.Millisecond
	// preempted is the share of the streams that the worker preempts once, for the given
	// time. Clients wait two seconds for an event.
	preempted  = 0.03
	preemption = 1300 * time.Millisecond
	// hups is the number of times that one of the gates, in turn, gets SIGHUP.
	hups   = 20
	hupGap = 2500 * time.Millisecond
)

type run struct {
	rec *stand.Record
	mu  sync.Mutex
	// hupAt holds the times of SIGHUP of each gate.
	hupAt map[*stand.Gate][]time.Time
	// ran holds the requests that reached a worker, paused those that it preempted.
	ran, paused          map[string]bool
	sent, served, broken int
	cut, refused         int
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
	dir, err := os.MkdirTemp("", "review3")
	if err != nil {
		return 2, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r := &run{hupAt: map[*stand.Gate][]time.Time{}, ran: map[string]bool{}, paused: map[string]bool{}}
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
			ID: fmt.Sprintf("i-%04x", i+1), Backend: "model", Zone: []string{"z-a", "z-b"}[i%2], Slots: slots,
			Read: 60 * time.Millisecond, Gap: gap, Events: events, Store: store, Preempts: func(attempt string, event int) time.Duration { return r.preempts(trouble, attempt, event) },
			OnArrival: r.arrived, OnCrash: func(*stand.Model, string, time.Time) {}, OnEnd: r.ended,
		}
		if err := m.Start(); err != nil {
			return 2, err
		}
		defer m.Close()
	}
	gates, err := stand.StartGates(program, dir, store.Addr(), "z-a", "z-b")
	defer stand.KillGates(gates)
	if err != nil {
		return 2, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	ingress := &stand.Ingress{Gates: gates, OnChange: func(g *stand.Gate, in bool) { r.rec.Log("rotation", "gate", g.Name, "in", in) }}
	wg.Go(func() { ingress.Run(ctx) })
	for i := range users {
		wg.Go(func() { r.use(ctx, ingress, i) })
	}
	time.Sleep(stable + time.Second)
	for i := range hups {
		g := gates[i%len(gates)]
		r.mu.Lock()
		r.hupAt[g] = append(r.hupAt[g], time.Now())
		r.mu.Unlock()
		r.rec.Log("gate gets SIGHUP", "gate", g.Name)
		g.Signal(syscall.SIGHUP)
		time.Sleep(hupGap)
	}
	cancel()
	wg.Wait()
	if err != nil {
		return 2, err
	}
	return r.judge(trouble), nil
}

// judge returns the exit code.
func (r *run) judge(trouble bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Log("result", "trouble", trouble, "sent", r.sent, "served", r.served, "refused", r.refused, "cut off", r.cut, "cut off after SIGHUP", r.broken, "preempted", len(r.paused))
	fmt.Printf("%d requests sent, %d served, %d refused; %d streams preempted by their workers; %d cut off in the middle, %d of them sent up to %v after SIGHUP\n",
		r.sent, r.served, r.refused, len(r.paused), r.cut, r.broken, applied)
	if r.broken > 0 {
		return 1
	}
	return 0
}

// preempts decides whether a request is preempted before an event.
func (r *run) preempts(trouble bool, attempt string, event int) time.Duration {
	if !trouble || event != events/2 || rand.Float64() >= preempted {
		return 0
	}
	r.rec.Log("preempted", "attempt", attempt)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paused[attempt] = true
	return preemption
}

func config() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-draft", "hostname": host, "path_prefix": "/draft/", "type": "streaming", "timeout_ms": deadline.Milliseconds(), "slo_ms": 500,
			"priority": 1, "backend": "model", "max_attempts": 2, "anonymous": false, "session_affinity": true, "stream_resume": true, "gap_aim_ms": 120,
		}},
		"backends": []map[string]any{{"name": "model", "health_path": "/healthz", "max_connections": 408, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0, "engine": map[string]any{"slots": 12}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "hule930", "api_keys": []string{key}, "priority": 1}},
	}
}

func (r *run) arrived(m *stand.Model, req *http.Request, _ time.Time) {
	attempt := req.Header.Get(stand.HeaderAttempt)
	r.rec.Log("runs", "worker", m.ID, "attempt", attempt)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran[attempt] = true
}

func (r *run) ended(m *stand.Model, attempt string) {
	r.rec.Log("ran", "worker", m.ID, "attempt", attempt)
}

// use sends requests on one connection, with pauses, until ctx ends.
func (r *run) use(ctx context.Context, ingress *stand.Ingress, number int) {
	user := stand.NewUser(ingress, host, key)
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rand.Float64() * float64(think))):
		}
		attempt := fmt.Sprintf("%08x%08x", number, i)
		r.rec.Log("sent", "attempt", attempt)
		a := user.Ask("/draft/new", attempt, deadline,
			"X-Parsleyroute-Model", "m", "X-Parsleyroute-Token-Usage", "1460,200", "X-Parsleyroute-Prefix-Hash", fmt.Sprintf("5c1e07a2:800,%08x:250", number))
		r.judgeAnswer(user.Gate(), attempt, a)
		if a.RetryAfter > 0 {
			time.Sleep(a.RetryAfter)
		}
	}
}

func (r *run) judgeAnswer(g *stand.Gate, attempt string, a stand.Answer) {
	whole := a.Err == nil && a.Status == 200 && strings.Count(a.Body, "id: ") == events
	name := ""
	if g != nil {
		name = g.Name
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	fields := []any{"attempt", attempt, "gate", name, "status", a.Status, "whole", whole, "error", fmt.Sprint(a.Err), "ms taken", a.Took.Milliseconds()}
	if whole {
		r.served++
	}
	switch {
	case a.Status == 503:
		r.refused++
	case a.Status == 200 && a.Err != nil && a.Took < deadline:
		r.cut++
		fields = append(fields, "cut", true, "preempted", r.paused[attempt])
		for _, at := range r.hupAt[g] {
			if since := a.SentAt.Sub(at); since > 0 && since <= applied {
				r.broken++
				fields = append(fields, "sent ms after SIGHUP", since.Milliseconds())
			}
		}
	}
	r.rec.Log("answered", fields...)
}
