package soak_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// limitSeconds is the duration of the load, and limitRate its requests per second.
	limitSeconds = 14
	limitRate    = 40
	// namedLimit is the limit that one worker names, and maxOfLimit the number of requests
	// that it may get in limitSpan.
	namedLimit = 1
	limitSpan  = 4 * time.Second
	maxOfLimit = 1.5*namedLimit*4 + 5
)

// Guards against gates that each keep the limit of a worker and break it together.
func TestLimitOfAllGates(t *testing.T) {
	t.Parallel()
	s := startSystem(t, rand.New(rand.NewPCG(1, 7)))
	defer s.copyLogs(t, 0)
	s.waitServing(t, recoveryTimeout)
	limited := s.workers[0] // of the plain pool, as the third
	limited.SetLimit(fmt.Sprint(namedLimit))
	started := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	restarting := map[*gate]bool{}
	failed := 0
	for n := range limitSeconds * limitRate {
		wg.Go(func() {
			time.Sleep(time.Duration(n) * time.Second / limitRate)
			g := s.gates[n%len(s.gates)]
			status, _, err := s.send(g, "unsafe", "/a/", fmt.Sprintf("limit-%d", n))
			mu.Lock()
			defer mu.Unlock()
			if (err != nil || status != 200) && !restarting[g] {
				failed++
			}
		})
	}
	setRestarting := func(g *gate, v bool) {
		mu.Lock()
		defer mu.Unlock()
		restarting[g] = v
	}
	time.Sleep(5 * time.Second)
	setRestarting(s.gates[0], true)
	s.gates[0].kill()
	s.gates[0].start(t, s.dir)
	setRestarting(s.gates[1], true)
	s.restartGate(s.gates[1], syscall.SIGTERM, false)
	wg.Wait()
	if failed > 0 {
		t.Errorf("%d requests failed although another worker has no limit", failed)
	}
	requests := limited.Requests()
	for i, first := range requests {
		if first.ReceivedAt.Sub(started) < limitSpan {
			continue
		}
		n := 0
		for _, r := range requests[i:] {
			if r.ReceivedAt.Sub(first.ReceivedAt) < limitSpan {
				n++
			}
		}
		if n > maxOfLimit {
			t.Fatalf("the worker got %d requests in %s at %s; %v allowed", n, limitSpan, first.ReceivedAt.Sub(started), maxOfLimit)
		}
	}
	if n := len(requests); n < limitSeconds*namedLimit/2 {
		t.Errorf("the worker got only %d requests in %d s", n, limitSeconds)
	}
}
