package system_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
)

const (
	// noNewWorkAfter is the time after which a zone that is out of service, or an
	// upstream that is leaving, gets no new work.
	noNewWorkAfter = 3 * time.Second
	// callerCount callers use 33 of the 48 slots of three zones, 69%.
	callerCount = 33
)

// newLoadedZones starts three zones with two engines each under load and waits
// until they are warm.
func newLoadedZones() (*cluster, *loader) {
	c := newCluster(clusterConfig{
		zones: []string{"a", "b", "c"}, entries: 2, engines: 2, limit: 8, coldLimit: 2, limitStep: 4, seeds: true,
		engineArgs: []string{"--set", `{"cold":2,"max":8,"step":4}`},
	})
	var n atomic.Int64
	l := c.startLoad(callerCount, func(e *node, id string) result {
		if n.Add(1)%5 < 3 {
			return c.requestDocument(e, id, 16)
		}
		return c.requestStream(e, id, 32)
	})
	c.waitWarm(c.agents)
	return c, l
}

// restartCold makes the engines cold, as newly started processes are.
func (c *cluster) restartCold(agents []*node) {
	for _, a := range agents {
		Eventually(func() int { return c.upstreamStats(a).Inflight }, "10s", "20ms").Should(BeZero(), a.name)
		c.control(a.backend, http.MethodPost, "/control/restart", struct{}{})
	}
}

// waitServing waits until each of the upstreams has started some more requests.
func (c *cluster) waitServing(upstreams []*node) {
	GinkgoHelper()
	for _, a := range upstreams {
		before := c.upstreamStats(a).Started
		Eventually(func() int { return c.upstreamStats(a).Started }, "30s", "50ms").Should(BeNumerically(">", before+20), a.name)
	}
}

// expectNoFailures checks that no request failed and that no upstream exceeded its
// capacity.
func (c *cluster) expectNoFailures(l *loader) {
	GinkgoHelper()
	samples := l.end()
	Expect(failures(samples)).To(BeEmpty(), "of %d requests", len(samples))
	Expect(c.violations(c.agents)).To(BeZero(), "requests above the capacity of an upstream")
}

var _ = Describe("a zone that is taken out and put back under load", func() {
	// Guards against new work for a zone that is out of service, against requests
	// that fail during either change, and against excess load on the cold upstreams
	// of a zone that is back in service.
	It("gets no new work while it is out and is warmed up when it is back", func() {
		c, l := newLoadedZones()
		zoneAgents, otherEntries := c.upstreams("model", "a"), c.entriesIn("b")
		c.takeZoneOut(otherEntries[0], "a")
		time.Sleep(noNewWorkAfter)
		startedBefore := c.startedRequests(zoneAgents)
		c.restartCold(zoneAgents)
		c.expectNoNewWork(zoneAgents, 2*time.Second)
		Expect(c.startedRequests(zoneAgents)).To(Equal(startedBefore))
		c.waitServing(append(c.upstreams("model", "b"), c.upstreams("model", "c")...))
		c.returnZone(otherEntries[1], "a")
		c.waitServing(zoneAgents)
		c.waitWarm(zoneAgents)
		c.expectNoFailures(l)
	})

	// Guards against instances that depend on the platform to learn that a zone is
	// back in service: a newly started one gets the change from its peers.
	It("can be put back while the platform is down", func() {
		c, l := newLoadedZones()
		zoneAgents, otherEntries := c.upstreams("model", "a"), c.entriesIn("b")
		c.takeZoneOut(otherEntries[0], "a")
		time.Sleep(noNewWorkAfter)
		c.restartCold(zoneAgents)
		for _, a := range zoneAgents {
			a.kill()
		}
		change := c.returnZone(otherEntries[0], "a")
		Eventually(func() bool {
			for _, in := range c.queryStatus(otherEntries[0], change).Instances {
				if versionInEffect(in, change.Kind, change.Name) >= change.Version {
					return true
				}
			}
			return false
		}, "10s", "5ms").Should(BeTrue(), "no instance has the change")
		c.platform.signal(syscall.SIGSTOP)
		for _, a := range zoneAgents {
			a.start(c.dir)
		}
		Eventually(func() []string {
			s := c.queryStatus(otherEntries[0], change)
			return append(s.Behind, s.Unreachable...)
		}, "10s", "100ms").Should(BeEmpty(), "instances without the change")
		c.waitServing(zoneAgents)
		c.waitWarm(zoneAgents)
		c.platform.signal(syscall.SIGCONT)
		c.expectNoFailures(l)
	})

	// Guards against entries that act on an old configuration after they were
	// suspended: the agents refuse their requests, and the entries soon receive the
	// change. Also guards against responses that are interrupted because the entry,
	// not the agent, was silent.
	It("gets no new work from entries that were suspended during the change", func() {
		c, l := newLoadedZones()
		zoneAgents, suspended := c.upstreams("model", "a"), c.entriesIn("a")
		long := make([]result, 8)
		var wg sync.WaitGroup
		for i := range long {
			wg.Go(func() {
				defer GinkgoRecover()
				long[i] = c.requestStream(suspended[i%len(suspended)], fmt.Sprintf("long-%d", i), 250)
			})
		}
		time.Sleep(500 * time.Millisecond)
		for _, e := range suspended {
			e.outOfRotation.Store(true)
			e.signal(syscall.SIGSTOP)
		}
		change := c.takeZoneOut(c.entriesIn("b")[0], "a")
		time.Sleep(noNewWorkAfter)
		startedBefore := c.startedRequests(zoneAgents)
		status := c.queryStatus(c.entriesIn("b")[0], change)
		for _, in := range status.Instances {
			if in.Role == core.RoleAgent {
				Expect(versionInEffect(in, change.Kind, change.Name)).To(Equal(change.Version), "%s after 3 s", in.Name)
			}
		}
		for _, e := range suspended {
			e.signal(syscall.SIGCONT)
			e.outOfRotation.Store(false)
		}
		wg.Wait()
		for _, r := range long {
			Expect(r.err).NotTo(HaveOccurred(), "%s", r.body[max(0, len(r.body)-200):])
			Expect(r.status).To(Equal(200), string(r.body))
		}
		time.Sleep(noNewWorkAfter)
		refused := c.refusals(zoneAgents, "upstream_out")
		c.expectNoNewWork(zoneAgents, 2*time.Second)
		Expect(c.startedRequests(zoneAgents)).To(Equal(startedBefore), "requests started after the entries resumed")
		Expect(c.refusals(zoneAgents, "upstream_out")).To(Equal(refused), "dispatches later than 3 s after the entries resumed")
		c.returnZone(suspended[0], "a")
		c.waitServing(zoneAgents)
		c.expectNoFailures(l)
	})
})
