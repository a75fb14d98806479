package relay_test

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"parsleyroute.example/fakes/process/worker"
	"parsleyroute.example/gate/process/policy"
	"parsleyroute.example/gate/request/relay"
)

var _ = Describe("a gate that is short of memory", func() {
	// Guards against a large response that fails, or is cut, for want of memory to buffer it.
	It("passes on a response without buffering it", func() {
		want := strings.Repeat("0123456789", 60000)
		s := startSystem(func(c *worker.Conn, a *worker.ReceivedRequest) { c.WriteResponse(a, 200, want) })
		responses := &policy.ByteBudget{Limit: 20 << 10}
		s.server.Handler.(*relay.Relay).Responses = responses
		for _, path := range []string{"/unsafe/", "/safe/"} {
			resp, got, err := s.call(path, "")
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
			Expect(got == want).To(BeTrue(), "%d bytes", len(got))
		}
		Eventually(responses.Used, "2s").Should(BeZero())
	})

	// Guards against an event that is kept beyond the memory for responses.
	It("breaks off an event that it cannot hold", func() {
		s := startSystem(func(c *worker.Conn, a *worker.ReceivedRequest) {
			c.WriteStreamHeader(a)
			c.WriteEvent(1)
			c.WriteChunk("id: 2\ndata: " + strings.Repeat("x", 100<<10) + "\n\n")
			c.EndStream()
		})
		s.config.Routes[3].MaxAttempts = 1
		responses := &policy.ByteBudget{Limit: 20 << 10}
		s.server.Handler.(*relay.Relay).Responses = responses
		_, got, err := s.call("/stream/", "")
		Expect(err).To(HaveOccurred())
		Expect(got).To(Equal(eventStream(1)))
		Eventually(responses.Used, "2s").Should(BeZero())
	})
})
