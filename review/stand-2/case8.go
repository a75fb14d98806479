package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// shortEvents and longEvents are the lengths of streams, with shutdownGap between two
	// events, which is within the sheet's 120 ms.
	shortEvents  = 24
	longEvents   = 45
	shutdownGap  = 100 * time.Millisecond
	shortStreams = 40
	// grace is the time from SIGTERM to SIGKILL. A request that is sent later than
	// lateAfter after SIGTERM has no excuse in the rule.
	grace     = 8 * time.Second
	lateAfter = 3 * time.Second
)

// lateSends are the times after SIGTERM at which clients send requests on connections that
// they have kept.
var lateSends = []time.Duration{3050 * time.Millisecond, 3100 * time.Millisecond, 3150 * time.Millisecond}

// shutdown shows requests that a gate reads and passes on more than 3 s after its SIGTERM
// and whose connection ends without a complete answer.
func shutdown(r *record, trouble bool) (int, error) {
	s, err := newSite()
	if err != nil {
		return couldNot, err
	}
	defer s.stop()
	for i := range 3 {
		id := fmt.Sprintf("i-model-%d", i)
		w, err := startWorker(id, 12, func(w *worker, c net.Conn, q *request) bool {
			n := shortEvents
			if strings.HasSuffix(q.URL.Path, "/long") {
				n = longEvents
			}
			r.printf("worker %s runs %s, %d events", w.id, q.id, n)
			whole := writeEvents(w, c, q, shutdownGap, n)
			r.printf("worker %s ends %s, whole: %t", w.id, q.id, whole)
			return whole
		})
		if err != nil {
			return couldNot, err
		}
		s.putWorker(id, "models", w.addr(), 12, 1)
	}
	s.putConfig([]any{draftRoute()}, []any{map[string]any{"name": "models", "health_path": "/healthz", "max_connections": 408}})
	g := s.addGate("edge-1")
	if err := s.start(); err != nil {
		return couldNot, err
	}
	if err := sendShortStreams(r, g); err != nil {
		return couldNot, err
	}
	// Each of these clients has had an answer on its connection and keeps it.
	kept := make([]*keptConn, len(lateSends))
	for i := range kept {
		if kept[i], err = keepConn(g.callers); err != nil {
			return couldNot, err
		}
		if a := kept[i].ask("/draft/short", newAttempt(), 8*time.Second); a.err != nil || a.status != 200 {
			return couldNot, fmt.Errorf("a first request got status %d, error %w", a.status, a.err)
		}
	}
	start := time.Now()
	if trouble {
		g.terminate()
		r.printf("SIGTERM")
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	for i, at := range lateSends {
		wg.Go(func() {
			time.Sleep(time.Until(start.Add(at)))
			id := newAttempt()
			r.printf("client sends %s, %.3f s after the start", id, time.Since(start).Seconds())
			a := kept[i].ask("/draft/long", id, 8*time.Second)
			pieces := strings.Count(a.body, "data: ")
			verdict := "complete"
			switch {
			case errors.Is(a.err, os.ErrDeadlineExceeded):
				verdict = "ended by the client's deadline"
			case a.err != nil && a.status == 0:
				verdict = "not read, or closed without an answer"
			case a.err != nil:
				verdict = "passed on, and cut"
			case a.status != 200:
				verdict = fmt.Sprintf("a whole answer, %d", a.status)
			}
			r.printf("client of %s has status %d, %d of %d pieces, error %v, %.3f s after the start: %s", id, a.status, pieces, longEvents, a.err, time.Since(start).Seconds(), verdict)
			mu.Lock()
			counts[verdict]++
			mu.Unlock()
		})
	}
	wg.Wait()
	r.summary("of %d requests that were sent %s to %s after the start: %v", len(lateSends), lateSends[0], lateSends[len(lateSends)-1], counts)
	if lateSends[0] > lateAfter && counts["passed on, and cut"] > 0 {
		return broken, nil
	}
	return held, nil
}

// sendShortStreams sends streams of the usual length.
func sendShortStreams(r *record, g *gate) error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	whole := 0
	for i := range shortStreams {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			id := newAttempt()
			a := ask(g.callers, "POST", "/draft/short", id, 8*time.Second, "a brass plate")
			r.printf("client of %s has status %d, %d pieces, error %v", id, a.status, strings.Count(a.body, "data: "), a.err)
			mu.Lock()
			defer mu.Unlock()
			if a.err == nil && a.status == 200 {
				whole++
			}
		})
	}
	wg.Wait()
	if whole < shortStreams {
		return fmt.Errorf("only %d of %d streams were whole before SIGTERM", whole, shortStreams)
	}
	return nil
}
