// Command case2 stops gates with SIGTERM while clients have streams of some seconds.
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
	grace  = 8 * time.Second
	// excused is the time after SIGTERM up to which the rule excuses requests that
	// are cut off in the last sixth of the grace.
	excused  = 3 * time.Second
	deadline = 8 * time.Second
	workers  = 10
	slots    = 30
	// A stream has so many events, with the given time between two.
	events = 50
	gap    = 100 * time.Millisecond
	users  = 400
	// think is the longest time that a user's connection is idle. Clients reuse
	// connections that have been idle for up to four fifths of the limit of 15 s.
	think = 8 * time.Second
)

type run struct {
	rec *stand.Record
	mu  sync.Mutex
	// termAt holds the time of the last SIGTERM of each gate.
	termAt map[*stand.Gate]time.Time
	// ran holds the requests that reached a worker.
	ran                            map[string]bool
	sent, served, broken, excluded int
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
	dir, err := os.MkdirTemp("", "review2")
	if err != nil {
		return 2, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r := &run{termAt: map[*stand.Gate]time.Time{}, ran: map[string]bool{}}
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
			Read: 60 * time.Millisecond, Gap: gap, Events: events, Store: store,
			OnArrival: r.arrived, OnCrash: func(*stand.Model, string, time.Time) {}, OnEnd: r.ended,
		}
		if err := m.Start(); err != nil {
			return 2, err
		}
		defer m.Close()
	}
	gates, err := stand.StartGates(program, dir, store.Addr(), "z-a", "z-b", "z-a", "z-b")
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
	time.Sleep(think + stable)
	for _, g := range gates {
		if trouble {
			if err = r.restart(g); err != nil {
				break
			}
		} else {
			time.Sleep(grace)
		}
		time.Sleep(stable + 2*time.Second)
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
	r.rec.Log("result", "trouble", trouble, "sent", r.sent, "served", r.served, "cut off", r.broken, "cut off and excused", r.excluded)
	fmt.Printf("%d requests sent, %d served; %d that were sent later than %v after SIGTERM were passed on to a worker and cut off; %d earlier ones were cut off too, which the rule excuses\n",
		r.sent, r.served, r.broken, excused, r.excluded)
	if r.broken > 0 {
		return 1
	}
	return 0
}

// restart stops a gate with SIGTERM, and starts it again as the platform does.
func (r *run) restart(g *stand.Gate) error {
	r.mu.Lock()
	r.termAt[g] = time.Now()
	r.mu.Unlock()
	r.rec.Log("gate gets SIGTERM", "gate", g.Name)
	g.Signal(syscall.SIGTERM)
	for end := time.Now().Add(grace); !g.Ended() && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	r.rec.Log("gate has ended", "gate", g.Name, "by itself", g.Ended())
	g.Kill()
	if err := g.Start(); err != nil {
		return err
	}
	if !g.AwaitReady(grace) {
		return fmt.Errorf("%s is not ready", g.Name)
	}
	return nil
}

func config() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-draft", "hostname": host, "path_prefix": "/draft/", "type": "streaming", "timeout_ms": deadline.Milliseconds(), "slo_ms": 500,
			"priority": 1, "backend": "model", "max_attempts": 2, "anonymous": false, "session_affinity": true, "stream_resume": true, "gap_aim_ms": 120,
		}},
		"backends": []map[string]any{{"name": "model", "health_path": "/healthz", "max_connections": 408, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0}},
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
	since := a.SentAt.Sub(r.termAt[g])
	if term := r.termAt[g]; !term.IsZero() && since < grace {
		fields = append(fields, "sent ms after SIGTERM", since.Milliseconds())
		// The connection has ended without a complete answer before the deadline.
		if a.Err != nil && a.Took < deadline && r.ran[attempt] {
			if since > excused {
				r.broken++
				fields = append(fields, "broken", true)
			} else {
				r.excluded++
			}
		}
	}
	r.rec.Log("answered", fields...)
}
