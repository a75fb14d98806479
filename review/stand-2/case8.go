package main

import (
	"fmt"
	"os/exec"
	"strings"
	"sync"
	"time"
)

const (
	streamWorkers = 6
	streamCalls   = 24
	// crashAfter is the time from the first request to the crash of one worker, in the
	// middle of the streams.
	crashAfter = 800 * time.Millisecond
	// crashTime is how long the worker is down.
	crashTime = 4500 * time.Millisecond
	heartbeat = 1200 * time.Millisecond
)

// streamEnd shows streams that end as complete before their last piece, after the process
// of their worker has crashed. It first runs the same with workers that send chunks.
func streamEnd(r *record, trouble bool) (int, error) {
	chunked, err := crashStreams(r, "chunks", false, trouble)
	if err != nil {
		return couldNot, err
	}
	unframed, err := crashStreams(r, "unframed", true, trouble)
	if err != nil {
		return couldNot, err
	}
	if chunked+unframed > 0 {
		return broken, nil
	}
	return held, nil
}

// crashStreams runs streams, crashes one of the workers and returns the number of streams
// that ended as complete before their last piece.
func crashStreams(r *record, name string, unframed, trouble bool) (int, error) {
	s, err := newSite()
	if err != nil {
		return 0, err
	}
	defer s.stop()
	var workers []*exec.Cmd
	defer func() {
		for _, w := range workers {
			_ = w.Process.Kill()
			_ = awaitChild(w)
		}
	}()
	startOne := func(id string) error {
		w, addr, err := startWorkerProcess(r, workerSettings{ID: id, Unframed: unframed})
		if err != nil {
			return err
		}
		workers = append(workers, w)
		s.putWorker(id, "models", addr, 12, 1)
		r.printf("%s: worker %s started at %s", name, id, addr)
		return nil
	}
	for i := range streamWorkers {
		if err := startOne(fmt.Sprintf("i-%s-%d", name, i)); err != nil {
			return 0, err
		}
	}
	s.putConfig([]any{draftRoute()}, []any{map[string]any{"name": "models", "health_path": "/healthz", "max_connections": 408}})
	g := s.addGate("edge-1")
	if err := s.start(); err != nil {
		return 0, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	for i := range streamCalls {
		wg.Go(func() {
			// Callers come one after the other, so that their streams are not in step.
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			id := newAttempt()
			r.printf("%s: client sends %s", name, id)
			a := ask(g.callers, "POST", "/draft/plate", id, 8*time.Second, "a brass plate")
			pieces := strings.Count(a.body, "data: ")
			verdict := "complete"
			switch {
			case a.err != nil || a.status != 200:
				verdict = "failed"
			case pieces < eventCount || !strings.HasSuffix(a.body, fmt.Sprintf("piece %d of %d\n\n", eventCount, eventCount)):
				verdict = "cut, but ends as complete"
			}
			r.printf("%s: client of %s has status %d, signature %q, %d of %d pieces, error %v: %s", name, id, a.status, a.signed, pieces, eventCount, a.err, verdict)
			mu.Lock()
			counts[verdict]++
			mu.Unlock()
		})
	}
	if trouble {
		time.Sleep(crashAfter)
		_ = workers[0].Process.Kill()
		_ = awaitChild(workers[0])
		r.printf("%s: worker 0 of %d has crashed (SIGKILL)", name, streamWorkers)
		time.Sleep(3 * heartbeat)
		s.store.remove("servers", fmt.Sprintf("i-%s-0", name))
		r.printf("%s: its entry has lapsed", name)
		time.Sleep(crashTime - 3*heartbeat)
		if err := startOne(fmt.Sprintf("i-%s-again", name)); err != nil {
			return 0, err
		}
	}
	wg.Wait()
	r.summary("%s: of %d streams: %v", name, streamCalls, counts)
	return counts["cut, but ends as complete"], nil
}
