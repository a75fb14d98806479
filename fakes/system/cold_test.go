package system_test

import (
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// startColdUnderLoad starts two cold engines under more load than they bear when warm.
func startColdUnderLoad() (*cluster, *loader) {
	c := newCluster(clusterConfig{
		zones: []string{"a", "b"}, entries: 2, engines: 1, limit: 8, coldLimit: 2, step: 4, seeds: true,
		engineArgs: []string{"--set", `{"cold":2,"max":8,"step":4}`},
	})
	return c, c.startLoad(32, func(e *node, id string) result { return c.requestDocument(e, id, 12) })
}

// expectWithinCapacity checks that no upstream got more than it bears.
func (c *cluster) expectWithinCapacity() {
	GinkgoHelper()
	for _, a := range c.agents {
		s := c.upstreamStats(a)
		Expect(s.Violations).To(BeZero(), "%s: requests above what it bears: %+v", a.name, s)
	}
}

var _ = Describe("an upstream that has just started or turned cold under full load", func() {
	// Guards against a flood for a new upstream, and against one for an
	// upstream whose agent or whose entries have restarted.
	It("gets no more than it bears while engines, agents and entries restart", func() {
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

		By("leaving one entry alone")
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

	// Guards against an agent that goes on at the warm limit while the upstream
	// has turned cold without a sign. Nobody can know of the turn before an
	// answer is late: each request in flight at the turn can have one successor
	// until then.
	It("gets no more than one successor for each request in flight when it turns cold without a sign", func() {
		c, l := startColdUnderLoad()
		c.waitWarm(c.agents)
		c.waitServing(c.agents)
		c.control(c.agents[0].backend, http.MethodPost, "/control/cold", struct{}{})
		c.waitServing(c.agents)
		c.waitWarm(c.agents)
		l.end()
		s := c.upstreamStats(c.agents[0])
		GinkgoWriter.Printf("after the turn: %+v\n", s)
		Expect(s.GraceViolations).To(BeNumerically("<=", c.config.limit), "%+v", s)
		c.expectWithinCapacity()
	})

	// Guards against an agent that gives the place of a cancelled request away
	// while the upstream, which notices a closed connection late, still runs it.
	It("gets no more than it bears when callers go away", func() {
		c, l := startColdUnderLoad()
		c.waitWarm(c.agents)
		impatient := &cluster{entries: c.entries, client: &http.Client{Timeout: 120 * time.Millisecond}}
		disconnecting := c.startLoad(16, func(e *node, id string) result { return impatient.requestDocument(e, "away-"+id, 60) })
		time.Sleep(3 * time.Second)
		disconnected := len(failures(disconnecting.end()))
		l.end()
		Expect(disconnected).To(BeNumerically(">", 20), "callers that went away")
		Expect(c.upstreamStats(c.agents[0]).Cancelled + c.upstreamStats(c.agents[1]).Cancelled).NotTo(BeZero())
		c.expectWithinCapacity()
	})
})
