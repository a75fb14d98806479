package system_test

import (
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// startColdUnderLoad starts two cold engines under more load than their capacity
// when warm.
func startColdUnderLoad() (*cluster, *loader) {
	c := newCluster(clusterConfig{
		zones: []string{"a", "b"}, entries: 2, engines: 1, limit: 8, coldLimit: 2, limitStep: 4, seeds: true,
		engineArgs: []string{"--set", `{"cold":2,"max":8,"step":4}`},
	})
	return c, c.startLoad(32, func(e *node, id string) result { return c.requestDocument(e, id, 12) })
}

// expectWithinCapacity checks that no upstream got more requests than its capacity.
func (c *cluster) expectWithinCapacity() {
	GinkgoHelper()
	for _, a := range c.agents {
		s := c.upstreamStats(a)
		Expect(s.Violations).To(BeZero(), "%s: requests above its capacity: %+v", a.name, s)
	}
}

var _ = Describe("a newly started or cold upstream under full load", func() {
	// Guards against excess load on a new upstream, and on an upstream whose agent
	// or entries have restarted.
	It("stays within its capacity while engines, agents and entries restart", func() {
		c, l := startColdUnderLoad()
		c.waitWarm(c.agents)
		c.expectWithinCapacity()

		By("restarting an engine")
		c.control(c.agents[0].backend, http.MethodPost, "/control/restart", struct{}{})
		c.waitWarm(c.agents)
		c.expectWithinCapacity()

		By("restarting an agent")
		c.restart(c.agents[0])
		c.waitReady()
		c.waitServing(c.agents)
		c.expectWithinCapacity()

		By("restarting all entries at once")
		c.restart(c.entries...)
		c.waitReady()
		c.waitServing(c.agents)
		c.expectWithinCapacity()

		By("suspending all entries but one")
		others := c.entries[1:]
		for _, e := range others {
			e.outOfRotation.Store(true)
			e.signal(syscall.SIGSTOP)
		}
		time.Sleep(time.Second)
		c.waitServing(c.agents)
		for _, e := range others {
			e.signal(syscall.SIGCONT)
			e.outOfRotation.Store(false)
		}
		c.waitServing(c.agents)
		l.end()
		c.expectWithinCapacity()
	})

	// Guards against an agent that continues at the warm limit after the upstream
	// has become cold without reporting it. The agent can't detect this before a
	// response is late: until then, each request in flight at the change can be
	// followed by one more.
	It("gets at most one more request for each one in flight when it becomes cold unnoticed", func() {
		c, l := startColdUnderLoad()
		c.waitWarm(c.agents)
		c.waitServing(c.agents)
		c.control(c.agents[0].backend, http.MethodPost, "/control/cold", struct{}{})
		c.waitServing(c.agents)
		c.waitWarm(c.agents)
		l.end()
		s := c.upstreamStats(c.agents[0])
		GinkgoWriter.Printf("after becoming cold: %+v\n", s)
		Expect(s.GraceViolations).To(BeNumerically("<=", c.config.limit), "%+v", s)
		c.expectWithinCapacity()
	})

	// Guards against an agent that reuses the slot of a canceled request while
	// the upstream, which detects a closed connection late, still runs it.
	It("stays within its capacity when callers disconnect", func() {
		c, l := startColdUnderLoad()
		c.waitWarm(c.agents)
		impatient := &cluster{entries: c.entries, client: &http.Client{Timeout: 120 * time.Millisecond}}
		disconnecting := c.startLoad(16, func(e *node, id string) result { return impatient.requestDocument(e, "away-"+id, 60) })
		time.Sleep(3 * time.Second)
		disconnected := len(failures(disconnecting.end()))
		l.end()
		Expect(disconnected).To(BeNumerically(">", 20), "disconnected callers")
		Expect(c.upstreamStats(c.agents[0]).Canceled + c.upstreamStats(c.agents[1]).Canceled).NotTo(BeZero())
		c.expectWithinCapacity()
	})
})
