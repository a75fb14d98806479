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
	// noNewWorkAfter is the time after which a zone that is out, or an upstream
	// that leaves, gets no new work.
	noNewWorkAfter = 3 * time.Second
	// callerCount fill 33 of the 48 places of three zones, 69%.
	callerCount = 33
)

// newLoadedZones starts three zones of two warm engines under load.
func newLoadedZones() (*cluster, *loader) {
	c := newCluster(clusterConfig{
		zones: []string{"a", "b", "c"}, entries: 2, engines: 2, limit: 8, coldLimit: 2, step: 4, seeds: true,
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

// restartCold makes the engines cold, as new processes are.
func (c *cluster) restartCold(agents []*node) {
	for _, a := range agents {
		Eventually(func() int { return c.upstreamStats(a).Inflight }, "10s", "20ms").Should(BeZero(), a.name)
		c.control(a.backend, http.MethodPost, "/control/restart", struct{}{})
	}
}

// waitServing waits until each of the upstreams has begun some more requests.
func (c *cluster) waitServing(upstreams []*node) {
	GinkgoHelper()
	for _, a := range upstreams {
		before := c.upstreamStats(a).Started
		Eventually(func() int { return c.upstreamStats(a).Started }, "30s", "50ms").Should(BeNumerically(">", before+20), a.name)
	}
}

// expectNoFailures checks that no request failed and no upstream got too much.
func (c *cluster) expectNoFailures(l *loader) {
	GinkgoHelper()
	samples := l.end()
	Expect(failures(samples)).To(BeEmpty(), "of %d requests", len(samples))
	Expect(c.violations(c.agents)).To(BeZero(), "requests above what an upstream bears")
}

var _ = Describe("a zone that leaves and returns under load", func() {
	// Guards against new work for a zone that is out, against requests that
	// fail in either move, and against a flood of work for the cold upstreams
	// of a zone that returns.
	It("gets no new work while it is out and is warmed up when it is in again", func() {
		c, l := newLoadedZones()
		away, others := c.upstreams("model", "a"), c.entriesIn("b")
		c.takeZoneOut(others[0], "a")
		time.Sleep(noNewWorkAfter)
		quiet := c.startedRequests(away)
		c.restartCold(away)
		c.expectNoNewWork(away, 2*time.Second)
		Expect(c.startedRequests(away)).To(Equal(quiet))
		c.waitServing(append(c.upstreams("model", "b"), c.upstreams("model", "c")...))
		c.returnZone(others[1], "a")
		c.waitServing(away)
		c.waitWarm(away)
		c.expectNoFailures(l)
	})

	// Guards against instances that need the platform to learn that a zone is
	// in again: one that has just started gets the change from its peers.
	It("returns while the platform is down", func() {
		c, l := newLoadedZones()
		away, others := c.upstreams("model", "a"), c.entriesIn("b")
		c.takeZoneOut(others[0], "a")
		time.Sleep(noNewWorkAfter)
		c.restartCold(away)
		for _, a := range away {
			a.kill()
		}
		change := c.returnZone(others[0], "a")
		Eventually(func() bool {
			for _, in := range c.queryStatus(others[0], change).Instances {
				if versionInEffect(in, change.Kind, change.Name) >= change.Version {
					return true
				}
			}
			return false
		}, "10s", "5ms").Should(BeTrue(), "no instance has the change")
		c.platform.signal(syscall.SIGSTOP)
		for _, a := range away {
			a.start(c.dir)
		}
		Eventually(func() []string {
			s := c.queryStatus(others[0], change)
			return append(s.Behind, s.Unreachable...)
		}, "10s", "100ms").Should(BeEmpty(), "instances without the change")
		c.waitServing(away)
		c.waitWarm(away)
		c.platform.signal(syscall.SIGCONT)
		c.expectNoFailures(l)
	})

	// Guards against entries that act on an old configuration after a freeze:
	// the agents refuse what they send, and they learn of the change soon. Also
	// guards against answers that break off because the entry, not the agent,
	// was silent.
	It("gets no new work from entries that were frozen during the order", func() {
		c, l := newLoadedZones()
		away, frozen := c.upstreams("model", "a"), c.entriesIn("a")
		long := make([]result, 8)
		var wg sync.WaitGroup
		for i := range long {
			wg.Go(func() {
				defer GinkgoRecover()
				long[i] = c.requestStream(frozen[i%len(frozen)], fmt.Sprintf("long-%d", i), 250)
			})
		}
		time.Sleep(500 * time.Millisecond)
		for _, e := range frozen {
			e.outOfRotation.Store(true)
			e.signal(syscall.SIGSTOP)
		}
		change := c.takeZoneOut(c.entriesIn("b")[0], "a")
		time.Sleep(noNewWorkAfter)
		quiet := c.startedRequests(away)
		status := c.queryStatus(c.entriesIn("b")[0], change)
		for _, in := range status.Instances {
			if in.Role == core.RoleAgent {
				Expect(versionInEffect(in, change.Kind, change.Name)).To(Equal(change.Version), "%s after 3 s", in.Name)
			}
		}
		for _, e := range frozen {
			e.signal(syscall.SIGCONT)
			e.outOfRotation.Store(false)
		}
		wg.Wait()
		for _, r := range long {
			Expect(r.err).NotTo(HaveOccurred(), "%s", r.body[max(0, len(r.body)-200):])
			Expect(r.status).To(Equal(200), string(r.body))
		}
		time.Sleep(noNewWorkAfter)
		refused := c.refusals(away, "upstream_out")
		c.expectNoNewWork(away, 2*time.Second)
		Expect(c.startedRequests(away)).To(Equal(quiet), "work begun after the continuation")
		Expect(c.refusals(away, "upstream_out")).To(Equal(refused), "dispatches sent after 3 s")
		c.returnZone(frozen[0], "a")
		c.waitServing(away)
		c.expectNoFailures(l)
	})
})
