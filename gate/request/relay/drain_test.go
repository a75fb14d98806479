package relay_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/fakes/process/worker"
)

// Guards against requests that a shutdown cuts off without a final response.
func TestShutdownAnswersAllRequests(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := startLimitSystem(t, "")
	s.workers[0].SetScript(func(c *worker.Conn, req *worker.ReceivedRequest) { c.AwaitDisconnect(req, 3*time.Second) })
	time.AfterFunc(100*time.Millisecond, func() { s.relay.Drain(time.Now().Add(400 * time.Millisecond)) })
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
