package relay_test

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/fakes/process/worker"
	"parsleyroute.example/gate/process/policy"
	"parsleyroute.example/gate/request/relay"
)

// drain begins a shutdown that ends after the given time and accepts requests by their
// estimated durations until then.
func drain(r *relay.Relay, d time.Duration) {
	end := time.Now().Add(d)
	r.Drain(policy.Shutdown{EstimateUntil: end, End: end})
}

// Guards against requests that a shutdown cuts off without a final response.
func TestShutdownAnswersAllRequests(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := startLimitSystem(t, "")
	s.workers[0].SetScript(func(c *worker.Conn, req *worker.ReceivedRequest) { c.AwaitDisconnect(req, 3*time.Second) })
	time.AfterFunc(100*time.Millisecond, func() { drain(s.relay, 400*time.Millisecond) })
	responses := s.send(t, 20, 400*time.Millisecond)
	sent := len(s.workers[0].Requests())
	g.Expect(responses).To(HaveLen(8))
	statuses := map[int]int{}
	for _, r := range responses {
		statuses[r.status]++
		g.Expect(r.took).To(BeNumerically("<", 900*time.Millisecond))
		if r.status == http.StatusServiceUnavailable {
			g.Expect(r.retryAfter).NotTo(BeEmpty())
		}
	}
	g.Expect(statuses).To(Equal(map[int]int{http.StatusGatewayTimeout: sent, http.StatusServiceUnavailable: 8 - sent}))
	g.Expect(sent).To(BeNumerically("<=", 3), "requests that arrived before the shutdown began")
	g.Expect(sent).To(BeNumerically(">", 0))
}

// streamFor returns a script that sends an event, waits and ends the stream.
func streamFor(d time.Duration) worker.Script {
	return func(c *worker.Conn, req *worker.ReceivedRequest) {
		c.WriteStreamHeader(req)
		c.WriteEvent(1)
		time.Sleep(d)
		c.WriteEvent(2)
		c.EndStream()
	}
}

// Guards against streams that a gate which shuts down takes and cuts off, and against the
// refusal of those that end in time.
func TestShutdownRefusesLongStreams(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := startCrashSystem(t, 1)
	s.setScript(streamFor(3400 * time.Millisecond))
	drain(s.relay, 3*time.Second)
	start := time.Now()
	g.Expect(s.send("f:40,1:500")).To(Equal(http.StatusServiceUnavailable), "nothing is known of the streams")
	g.Expect(time.Since(start)).To(BeNumerically("<", 500*time.Millisecond))

	s = startCrashSystem(t, 1)
	s.setScript(streamFor(40 * time.Millisecond))
	for range 24 {
		g.Expect(s.send("f:40,1:500")).To(Equal(http.StatusOK))
	}
	drain(s.relay, time.Second)
	g.Expect(s.send("f:40,1:500")).To(Equal(http.StatusOK), "streams of 40 ms")
	time.Sleep(800 * time.Millisecond)
	g.Expect(s.send("f:40,1:500")).To(Equal(http.StatusServiceUnavailable), "shortly before the end")
}

// Guards against a request that is sent after it has waited, or sent once more, when the gate
// has begun to shut down and would cut it off.
func TestShutdownEndsWaitingRequests(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := startCrashSystem(t, 1)
	s.setScript(streamFor(120 * time.Millisecond))
	var wg sync.WaitGroup
	for range 4 + 3 { // the slots of the worker and the requests that it may queue
		wg.Go(func() { s.send("f:40,1:500") })
	}
	time.Sleep(30 * time.Millisecond)
	s.setScript(streamFor(1500 * time.Millisecond))
	time.AfterFunc(20*time.Millisecond, func() { drain(s.relay, time.Second) })
	g.Expect(s.send("f:40,1:500")).To(Equal(http.StatusServiceUnavailable), "a request that waits")
	wg.Wait()

	s = startCrashSystem(t, 2)
	for range 24 {
		g.Expect(s.send("f:40,1:500")).To(Equal(http.StatusOK))
	}
	s.setScript(func(c *worker.Conn, _ *worker.ReceivedRequest) {
		time.Sleep(100 * time.Millisecond)
		c.Reset()
	})
	before := s.received()
	time.AfterFunc(50*time.Millisecond, func() { drain(s.relay, 200*time.Millisecond) })
	g.Expect(s.send("f:40,1:500")).To(Equal(http.StatusBadGateway), "a request that is lost")
	g.Expect(s.received() - before).To(Equal(1))
}

// Guards against a stream that is resumed on another upstream only to be cut off by the
// shutdown, and against a caller that does not get the events that have arrived.
func TestShutdownDoesNotResume(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := startCrashSystem(t, 2)
	s.setScript(func(c *worker.Conn, req *worker.ReceivedRequest) {
		c.WriteStreamHeader(req)
		c.WriteEvent(1)
		time.Sleep(100 * time.Millisecond)
		c.Reset()
	})
	time.AfterFunc(50*time.Millisecond, func() { drain(s.relay, 2*time.Second) })
	start := time.Now()
	body, err := s.read("/stream/", "f:40,1:500")
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF), "a chunked response without its last chunk")
	g.Expect(body).To(Equal(eventStream(1)))
	g.Expect(time.Since(start)).To(BeNumerically("<", time.Second))
	g.Expect(s.received()).To(Equal(1))
}

// Guards against an upstream's error response that the gate replaces by its own because it
// has begun to shut down and does not retry.
func TestShutdownForwardsErrorResponse(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := startCrashSystem(t, 2)
	s.setScript(func(c *worker.Conn, req *worker.ReceivedRequest) {
		time.Sleep(100 * time.Millisecond)
		c.WriteResponse(req, http.StatusInternalServerError, "failed")
	})
	time.AfterFunc(50*time.Millisecond, func() { drain(s.relay, 200*time.Millisecond) })
	g.Expect(s.sendTo("/safe/", "f:40,1:500")).To(Equal(http.StatusInternalServerError))
	g.Expect(s.received()).To(Equal(1))
}

// Guards against a stream that is received late in a shutdown, although the caller could
// still go elsewhere, and cut off because it takes longer than any before.
func TestShutdownRefusesLateStreams(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := startCrashSystem(t, 1)
	s.setScript(streamFor(40 * time.Millisecond))
	for range 24 {
		g.Expect(s.send("f:40,1:500")).To(Equal(http.StatusOK))
	}
	now := time.Now()
	s.relay.Drain(policy.Shutdown{EstimateUntil: now.Add(200 * time.Millisecond), End: now.Add(1200 * time.Millisecond)})
	g.Expect(s.send("f:40,1:500")).To(Equal(http.StatusOK), "early in the shutdown")
	time.Sleep(250 * time.Millisecond)
	s.setScript(streamFor(time.Second))
	before := s.received()
	g.Expect(s.send("f:40,1:500")).To(Equal(http.StatusServiceUnavailable), "late in the shutdown")
	g.Expect(s.received()).To(Equal(before))
}
