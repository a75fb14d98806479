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
