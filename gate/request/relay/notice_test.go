package relay_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/fakes/process/worker"
)

// Guards against requests to a worker that has said in a response of any kind that it
// leaves, while its entry says that it is ready.
func TestLeavingWorkerGetsNoRequests(t *testing.T) {
	respond := func(status int) worker.Script {
		return func(c *worker.Conn, req *worker.ReceivedRequest) { c.WriteResponse(req, status, "done") }
	}
	stale := func(c *worker.Conn, req *worker.ReceivedRequest) {
		// A second response to an earlier request, and then one that does not say so.
		c.WriteResponse(&worker.ReceivedRequest{AttemptID: "other"}, http.StatusOK, "late")
		c.Printf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: 2\r\n\r\nok", worker.HeaderAttemptID, req.AttemptID, worker.HeaderSignature)
	}
	for name, script := range map[string]worker.Script{
		"a response":         respond(http.StatusOK),
		"an error":           respond(http.StatusInternalServerError),
		"a refusal":          refuseRequest,
		"a refusal with 429": func(c *worker.Conn, req *worker.ReceivedRequest) { c.WriteNotExecuted(req, 429, "") },
		"a late response":    stale,
		"the head of a response that is lost": func(c *worker.Conn, req *worker.ReceivedRequest) {
			c.WriteStreamHeader(req)
			c.Disconnect()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := startLimitSystem(t, "", "")
			s.workers[0].SetScript(script)
			s.workers[0].SetLeaving(true)
			for range 30 {
				s.send(t, 100, 10*time.Millisecond)
			}
			g.Expect(len(s.workers[0].Requests())).To(Equal(1))
			g.Expect(len(s.workers[1].Requests())).To(BeNumerically(">=", 29))
		})
	}
}

// Guards against streams that go to a worker whose head of a stream has said that it leaves.
func TestLeavingWorkerGetsNoStreams(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := startCrashSystem(t, 2)
	leaving := s.anyWorker()
	leaving.SetLeaving(true)
	for range 20 {
		g.Expect(s.send("f:40,1:500")).To(Equal(http.StatusOK))
	}
	g.Expect(len(leaving.Requests())).To(Equal(1))
}

// Guards against a worker that is used again after its entry has lapsed and come back, and
// against a later process with the same id that is not used.
func TestLeavingWorkerComesBack(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := startLimitSystem(t, "", "")
	w := s.workers[0]
	list := func(born int64) {
		entries := map[string]*core.ListedUpstream{}
		if born > 0 {
			entries[w.ID] = &core.ListedUpstream{ID: w.ID, Pool: "p", Addr: w.Addr(), Zone: "z", MaxSequences: 8, StartTime: born}
		}
		s.fleet.Update(time.Now(), entries, nil, s.config)
	}
	list(5)
	w.SetLeaving(true)
	s.send(t, 100, 10*time.Millisecond)
	list(0)
	list(5)
	responses := s.send(t, 20, 100*time.Millisecond)
	g.Expect(len(w.Requests())).To(Equal(1))
	for _, r := range responses {
		g.Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(r.took).To(BeNumerically("<", 50*time.Millisecond), "all upstreams leave")
	}
	w.SetLeaving(false)
	list(6)
	s.send(t, 100, 10*time.Millisecond)
	g.Expect(len(w.Requests())).To(Equal(2))
}

// Guards against requests to a worker that has asked for none for some time, and against a
// refusal while another one takes requests.
func TestPausedWorkerGetsNoRequests(t *testing.T) {
	for retryAfter, wanted := range map[string]struct {
		min, max int
	}{
		"0.4":  {1, 12},
		"1e9":  {1, 1},
		"1e99": {1, 1},
		// These ask for nothing.
		"0":    {10, 100},
		"-3":   {10, 100},
		"soon": {10, 100},
		"NaN":  {10, 100},
		"Sat, 05 Dec 2026 10:00:03 GMT\r\nDate: Sat, 05 Dec 2026 10:00:00 GMT": {1, 1},
		"Sat, 05 Dec 2026 10:00:03 GMT":                                        {10, 100},
	} {
		t.Run(retryAfter, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := startLimitSystem(t, "", "")
			w := s.workers[0]
			w.SetScript(refuseRequest)
			w.SetRetryAfter(retryAfter)
			for _, r := range s.send(t, 50, time.Second) {
				g.Expect(r.status).To(Equal(http.StatusOK))
			}
			requests := w.Requests()
			g.Expect(len(requests)).To(And(BeNumerically(">=", wanted.min), BeNumerically("<=", wanted.max)))
			if pause, err := strconv.ParseFloat(retryAfter, 64); err == nil && pause > 0 && pause < 1 {
				for i := range requests[1:] {
					since := requests[i+1].ReceivedAt.Sub(requests[i].ReceivedAt)
					g.Expect(since < 20*time.Millisecond || since > time.Duration(pause*float64(time.Second))).To(BeTrue(), "%v after a refusal", since)
				}
			}
		})
	}
}

// Guards against requests that wait for the only worker although it wants none for longer
// than they can wait, and against callers that are asked to come back too early.
func TestOnlyWorkerPauses(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := startLimitSystem(t, "")
	w := s.workers[0]
	w.SetScript(refuseRequest)
	w.SetRetryAfter("0.6")
	start := time.Now()
	responses := s.send(t, 40, 300*time.Millisecond)
	for _, r := range responses {
		g.Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(r.took).To(BeNumerically("<", 80*time.Millisecond))
		after, err := strconv.ParseFloat(r.retryAfter, 64)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(after).To(And(BeNumerically(">", 0.25), BeNumerically("<=", 0.7)))
	}
	g.Expect(len(w.Requests())).To(Equal(1))
	// A request that can wait for the end of the pause does.
	w.SetScript(func(c *worker.Conn, req *worker.ReceivedRequest) { c.WriteResponse(req, http.StatusOK, "done") })
	time.Sleep(time.Until(start.Add(560 * time.Millisecond)))
	g.Expect(s.send(t, 100, 10*time.Millisecond)[0].status).To(Equal(http.StatusOK))
}

// Guards against requests that go on waiting when the only worker asks for none.
func TestPauseEndsWaiting(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := startLimitSystem(t, "")
	w := s.workers[0]
	w.SetRetryAfter("5")
	var mu sync.Mutex
	n := 0
	w.SetScript(func(c *worker.Conn, req *worker.ReceivedRequest) {
		mu.Lock()
		n++
		first := n == 1
		mu.Unlock()
		if first {
			time.Sleep(40 * time.Millisecond)
			refuseRequest(c, req)
			return
		}
		time.Sleep(300 * time.Millisecond)
		c.WriteResponse(req, http.StatusOK, "done")
	})
	refused := 0
	for _, r := range s.send(t, 2000, 20*time.Millisecond) {
		if r.status == http.StatusServiceUnavailable {
			refused++
			g.Expect(r.took).To(BeNumerically("<", 110*time.Millisecond), "the worker has 16 places, and a request waits 130 ms for one")
		}
	}
	g.Expect(refused).To(Equal(40 - 16 + 1))
}
