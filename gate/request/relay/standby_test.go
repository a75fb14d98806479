package relay_test

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/fakes/process/worker"
	"parsleyroute.example/gate/request/relay"
)

// pausedPart is the part of the request that its first worker pauses.
const pausedPart = "paused"

// pauseSystem is a system in which the first worker of a request with pausedPart pauses.
type pauseSystem struct {
	*crashSystem
	arrivals atomic.Int32
}

// startPauseSystem starts workers that respond to the first request with pausedPart by
// script first and to the next one by script second. Other streams go on all the time. No
// retry limits mean those of startCrashSystem.
func startPauseSystem(t *testing.T, workers int, retries relay.RetryLimits, first, second worker.Script) *pauseSystem {
	s := &pauseSystem{crashSystem: startCrashSystem(t, workers)}
	if retries.Window > 0 {
		s.relay.RetryLimits = retries
	}
	s.setScript(func(c *worker.Conn, req *worker.ReceivedRequest) {
		switch {
		case !strings.Contains(req.Header.Get(prefixField), pausedPart):
			sendEvents(1, 3)(c, req)
		case s.arrivals.Add(1) == 1:
			first(c, req)
		default:
			second(c, req)
		}
	})
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				s.send("f:40,1:500")
			}
		}
	})
	t.Cleanup(func() { close(stop); wg.Wait() })
	time.Sleep(200 * time.Millisecond)
	return s
}

// pauseFor returns a script that pauses a stream after its first event.
func pauseFor(d time.Duration) worker.Script {
	return func(c *worker.Conn, req *worker.ReceivedRequest) {
		c.WriteStreamHeader(req)
		c.WriteEvent(1)
		time.Sleep(d)
		for i := 2; i <= 4; i++ {
			c.WriteEvent(i)
		}
		c.EndStream()
	}
}

// pauseFirst is pauseFor before the header.
func pauseFirst(d time.Duration) worker.Script {
	return func(c *worker.Conn, req *worker.ReceivedRequest) {
		time.Sleep(d)
		sendEvents(1, 4)(c, req)
	}
}

func refuseRequest(c *worker.Conn, req *worker.ReceivedRequest) {
	c.WriteNotExecuted(req, http.StatusServiceUnavailable, "")
}

// Guards against the end of a stream whose worker pauses, when no other upstream takes the
// request.
func TestPausedStreamIsNotCut(t *testing.T) {
	const pause = 1300 * time.Millisecond
	for name, c := range map[string]struct {
		workers int
		retries relay.RetryLimits
		first   worker.Script
		second  worker.Script
	}{
		"no other upstream":                     {workers: 1, first: pauseFor(pause)},
		"no other upstream, before the header":  {workers: 1, first: pauseFirst(pause)},
		"the other upstream refuses":            {workers: 2, first: pauseFor(pause), second: refuseRequest},
		"the other one refuses, without header": {workers: 2, first: pauseFirst(pause), second: refuseRequest},
		"the other upstream resets": {workers: 2, first: pauseFor(pause), second: func(c *worker.Conn, _ *worker.ReceivedRequest) {
			c.Reset()
		}},
		"retries are used up": {workers: 2, retries: relay.RetryLimits{Ratio: 1e-9, Window: 10 * time.Second}, first: pauseFor(pause)},
		"the other upstream is slower": {workers: 2, first: pauseFor(pause), second: func(c *worker.Conn, req *worker.ReceivedRequest) {
			c.AwaitDisconnect(req, 3*time.Second)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := startPauseSystem(t, c.workers, c.retries, c.first, c.second)
			body, err := s.read("/stream/", pausedPart+":40,2:500")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal(eventStream(1, 2, 3, 4)))
			g.Expect(int(s.arrivals.Load())).To(BeNumerically("<=", 2))
		})
	}
}

// Guards against a worker that hangs with a stream in it and is not left, and against events
// that come twice when another worker goes on.
func TestHungStreamIsMoved(t *testing.T) {
	for name, first := range map[string]worker.Script{
		"after an event": func(c *worker.Conn, req *worker.ReceivedRequest) {
			c.WriteStreamHeader(req)
			c.WriteEvent(1)
			c.AwaitDisconnect(req, 4*time.Second)
		},
		"before the header": func(c *worker.Conn, req *worker.ReceivedRequest) { c.AwaitDisconnect(req, 4*time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := startPauseSystem(t, 2, relay.RetryLimits{}, first, sendEvents(1, 4))
			start := time.Now()
			body, err := s.read("/stream/", pausedPart+":40,2:500")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal(eventStream(1, 2, 3, 4)))
			g.Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second), "callers wait 2 s for an event")
		})
	}
}

// Guards against the end of a slow response that is no stream, when no other upstream takes
// the request, and against a hung worker that is not left.
func TestSlowResponseIsNotCut(t *testing.T) {
	respondAfter := func(d time.Duration) worker.Script {
		return func(c *worker.Conn, req *worker.ReceivedRequest) {
			time.Sleep(d)
			c.WriteResponse(req, http.StatusOK, "done")
		}
	}
	for name, c := range map[string]struct {
		workers       int
		first, second worker.Script
		limit         time.Duration
	}{
		"no other upstream":          {workers: 1, first: respondAfter(time.Second), limit: 2 * time.Second},
		"the other upstream refuses": {workers: 2, first: respondAfter(time.Second), second: refuseRequest, limit: 2 * time.Second},
		"the other upstream responds": {workers: 2, first: func(c *worker.Conn, req *worker.ReceivedRequest) {
			c.AwaitDisconnect(req, 3*time.Second)
		}, second: respondAfter(0), limit: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := startPauseSystem(t, c.workers, relay.RetryLimits{}, c.first, c.second)
			start := time.Now()
			g.Expect(s.sendTo("/safe/", pausedPart+":40,2:500")).To(Equal(http.StatusOK))
			g.Expect(time.Since(start)).To(BeNumerically("<", c.limit))
		})
	}
}
