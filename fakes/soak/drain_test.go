package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"parsleyroute.example/fakes/process/worker"
)

// Guards against requests that arrive late in a planned stop and are cut without an answer.
func TestRequestsLateInPlannedStop(t *testing.T) {
	t.Parallel()
	s := startSystem(t, rand.New(rand.NewPCG(2, 7)))
	defer s.copyLogs(t, 0)
	s.waitServing(t, recoveryTimeout)
	// The requests would end half a second after the gate has closed all connections.
	const work = 2800 * time.Millisecond
	for _, w := range s.workers {
		w.SetScript(func(c *worker.Conn, req *worker.ReceivedRequest) {
			time.Sleep(work)
			s.checks.recordRun(req.AttemptID)
			c.WriteResponse(req, http.StatusOK, "ran "+req.AttemptID)
		})
	}
	g := s.gates[0]
	g.signal(syscall.SIGTERM)
	time.Sleep(1200 * time.Millisecond)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			attempt := fmt.Sprintf("late-%d", i)
			status, _, err := s.send(g, []string{"unsafe", "safe"}[i%2], "/a/", attempt)
			switch {
			case err != nil:
				t.Errorf("%s got no answer: %v", attempt, err)
			case status == http.StatusServiceUnavailable && s.checks.runCount(attempt) > 0:
				t.Errorf("%s was refused but has run", attempt)
			}
		})
	}
	wg.Wait()
	select {
	case <-g.done:
	case <-time.After(grace):
		t.Error("the gate has not exited within its grace")
	}
}

// Guards against streams that a gate takes after SIGTERM, passes on and cuts off at the end
// of its grace, and against refusals that leave the caller on the connection.
func TestStreamsInPlannedStop(t *testing.T) {
	t.Parallel()
	s := startSystem(t, rand.New(rand.NewPCG(3, 7)))
	defer s.copyLogs(t, 0)
	s.waitServing(t, recoveryTimeout)
	// A stream takes 2.4 s, and the gate cuts off what is left 3.25 s after SIGTERM.
	const events, interval = 25, 100 * time.Millisecond
	for _, w := range s.workers {
		w.SetScript(func(c *worker.Conn, req *worker.ReceivedRequest) {
			c.WriteStreamHeader(req)
			for i := range events {
				if i > 0 {
					time.Sleep(interval)
				}
				c.WriteEvent(i + 1)
			}
			s.checks.recordRun(req.AttemptID)
			c.EndStream()
		})
	}
	g := s.gates[0]
	var wg sync.WaitGroup
	var mu sync.Mutex
	served, refused := 0, 0
	for i := range 30 {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * interval)
			status, _, err := s.send(g, "streaming", "/a/", fmt.Sprintf("stream-%d", i))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				t.Errorf("the stream sent %s after the start has been cut off: %v", time.Duration(i)*interval, err)
			case status == http.StatusOK:
				served++
			case status == http.StatusServiceUnavailable:
				refused++
			}
		})
	}
	time.Sleep(1400 * time.Millisecond)
	g.signal(syscall.SIGTERM)
	wg.Wait()
	if served < 10 || refused < 5 {
		t.Errorf("%d streams were served and %d refused of those before and after SIGTERM", served, refused)
	}
	<-g.done
}
