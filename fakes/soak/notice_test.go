package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"parsleyroute.example/fakes/process/worker"
)

const (
	// noticeRate is the number of requests per second to each gate.
	noticeRate = 20
	// drainTime is the time after a response that says that a worker leaves, from which it
	// gets no more requests.
	drainTime = 2 * time.Second
	// A worker that refuses a request with Retry-After gets no more than maxInPause
	// requests from the gate between pauseNotice later and the end of that time.
	pauseNotice = 500 * time.Millisecond
	maxInPause  = 2
)

// sendToGates sends unsafe requests to all gates for some time. The ids of the requests
// begin with the name of the gate. It returns the number of those that were not served.
func (s *system) sendToGates(d time.Duration) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	for _, g := range s.gates {
		for n := range int(d.Seconds() * noticeRate) {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * time.Second / noticeRate)
				status, _, err := s.send(g, "unsafe", "/a/", fmt.Sprintf("%s/%d", g.name, n))
				mu.Lock()
				defer mu.Unlock()
				if err != nil || status != http.StatusOK {
					failed++
				}
			})
		}
	}
	wg.Wait()
	return failed
}

// Guards against gates that send requests to a worker which has said that it leaves, while
// its entry goes on saying that it is ready.
func TestLeavingWorkerOfAllGates(t *testing.T) {
	t.Parallel()
	s := startSystem(t, rand.New(rand.NewPCG(4, 7)))
	defer s.copyLogs(t, 0)
	s.waitServing(t, recoveryTimeout)
	leaving := s.workers[0] // of the plain pool, as the third
	leaving.SetLeaving(true)
	start := time.Now()
	if failed := s.sendToGates(5 * time.Second); failed > 0 {
		t.Errorf("%d requests failed although another worker stays", failed)
	}
	late := 0
	for _, r := range leaving.Requests() {
		if r.ReceivedAt.Sub(start) > drainTime {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d requests reached the worker later than %s after it had said that it leaves", late, drainTime)
	}
}

// Guards against gates that send requests to a worker which has asked each of them for none
// for some time.
func TestPausedWorkerOfAllGates(t *testing.T) {
	t.Parallel()
	s := startSystem(t, rand.New(rand.NewPCG(5, 7)))
	defer s.copyLogs(t, 0)
	s.waitServing(t, recoveryTimeout)
	const pause = 2 * time.Second
	// Retries take a share of the requests, so some must have been sent.
	s.sendToGates(time.Second)
	start := time.Now()
	w := s.workers[0] // of the plain pool, as the third
	w.SetRetryAfter(fmt.Sprint(pause.Seconds()))
	w.SetScript(func(c *worker.Conn, req *worker.ReceivedRequest) {
		c.WriteNotExecuted(req, http.StatusServiceUnavailable, "")
	})
	if failed := s.sendToGates(6 * time.Second); failed > 0 {
		t.Errorf("%d requests failed although another worker takes them", failed)
	}
	byGate := map[string][]time.Time{}
	for _, r := range w.Requests() {
		if gate, _, _ := strings.Cut(r.AttemptID, "/"); r.ReceivedAt.After(start) {
			byGate[gate] = append(byGate[gate], r.ReceivedAt)
		}
	}
	for _, g := range s.gates {
		if len(byGate[g.name]) < 2 {
			t.Errorf("%s does not use the worker again after its pause", g.name)
		}
	}
	for gate, times := range byGate {
		for i, refused := range times {
			n := 0
			for _, at := range times[i+1:] {
				if since := at.Sub(refused); since > pauseNotice && since < pause {
					n++
				}
			}
			if n > maxInPause {
				t.Errorf("%s sent %d requests to the worker in the pause that it had asked for; %d are allowed", gate, n, maxInPause)
				break
			}
		}
	}
}
