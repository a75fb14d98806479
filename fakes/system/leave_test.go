package system_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/admin"
	"parsleyroute.example/fakes/process/load"
)

// newWarmCluster starts two zones whose upstreams are warm from the start.
func newWarmCluster() *cluster {
	return newCluster(clusterConfig{
		zones: []string{"a", "b"}, entries: 2, engines: 2, plainServers: 1, limit: 8, coldLimit: 8,
		engineArgs: []string{"--set", `{"cold":8,"max":8}`}, plainArgs: []string{"--set", `{"cold":8,"max":8}`},
	})
}

// mixedRequests sends documents, streams and orders in turn. The cycle has five
// requests, a number that differs from that of the entries, so that each entry
// gets all kinds.
func (c *cluster) mixedRequests() func(e *node, id string) result {
	var n atomic.Int64
	return func(e *node, id string) result {
		switch n.Add(1) % 5 {
		case 0:
			return c.placeOrder(e, id, "brass plate")
		case 1, 2:
			return c.requestDocument(e, id, 32)
		}
		return c.requestStream(e, id, 64)
	}
}

// expectOrdersRunOnce checks that no order ran twice, on one upstream or on several.
func (c *cluster) expectOrdersRunOnce() {
	GinkgoHelper()
	total := map[string]int{}
	for _, a := range c.upstreams("desk", "") {
		var got load.Runs
		c.getJSON(a.backend, "/control/runs", &got)
		for k, n := range got.Keys {
			total[k] += n
		}
	}
	Expect(total).NotTo(BeEmpty(), "no order ran")
	for k, n := range total {
		Expect(n).To(Equal(1), k)
	}
}

// instanceStatus returns the status that the instance n reports.
func (c *cluster) instanceStatus(via, n *node) admin.InstanceStatus {
	GinkgoHelper()
	for _, in := range c.queryStatus(via).Instances {
		if in.Name == n.name {
			return in
		}
	}
	return admin.InstanceStatus{}
}

// terminate shuts instances down as the platform does: it sends SIGTERM, and
// shortly afterwards the load balancer sends the entries no more callers.
func terminate(nodes ...*node) {
	GinkgoHelper()
	for _, n := range nodes {
		n.signal(syscall.SIGTERM)
	}
	time.Sleep(200 * time.Millisecond)
	for _, n := range nodes {
		n.outOfRotation.Store(true)
	}
	for _, n := range nodes {
		Expect(n.endsWithin(20*time.Second)).To(BeTrue(), "%s does not exit", n.name)
	}
}

var _ = Describe("instances that shut down under load", func() {
	// Guards against new work for an upstream that the platform has listed as
	// leaving, and against a shutdown that interrupts its requests in flight.
	It("gives a leaving upstream no new work and completes its streams", func() {
		const lag = time.Second
		c := newWarmCluster()
		c.control(c.platformAddr, http.MethodPut, "/control/faults", map[string]any{"list_lag_ms": lag.Milliseconds()})
		leaving := c.upstreams("model", "a")[0]
		short := c.startLoad(8, func(e *node, id string) result { return c.requestDocument(e, id, 16) })
		long := c.startLoad(12, func(e *node, id string) result { return c.requestStream(e, "long-"+id, 600) })
		Eventually(func() int { return c.upstreamStats(leaving).Inflight }, "10s", "10ms").Should(BeNumerically(">", 2))
		c.listInstance(leaving, core.RoleAgent, true)
		time.Sleep(lag + noNewWorkAfter)
		Expect(c.instanceStatus(c.entries[0], leaving).Draining).To(BeTrue(), "the agent does not drain")
		refused := c.refusals([]*node{leaving}, "draining")
		c.expectNoNewWork([]*node{leaving}, 2*time.Second)
		Expect(c.refusals([]*node{leaving}, "draining")).To(Equal(refused), "dispatches later than 3 s after the listing")
		leaving.signal(syscall.SIGTERM)
		Expect(leaving.endsWithin(20 * time.Second)).To(BeTrue())
		Expect(failures(append(short.end(), long.end()...))).To(BeEmpty())
	})

	// Guards against requests that a graceful shutdown interrupts or refuses.
	It("interrupts no request when entries and agents get SIGTERM", func() {
		c := newWarmCluster()
		l := c.startLoad(24, c.mixedRequests())
		time.Sleep(500 * time.Millisecond)
		terminate(c.entriesIn("a")[0])
		terminate(c.upstreams("model", "a")[0])
		terminate(c.upstreams("desk", "a")[0])
		terminate(c.entriesIn("a")[1], c.upstreams("model", "b")[0])
		samples := l.end()
		Expect(failures(samples)).To(BeEmpty(), "of %d requests", len(samples))
		c.expectOrdersRunOnce()
	})

	// Guards against failures of requests that were not in flight at the killed
	// entry, and against work that continues after its caller's connection is lost.
	It("loses only the requests in flight at a killed entry", func() {
		c := newWarmCluster()
		l := c.startLoad(24, c.mixedRequests())
		time.Sleep(time.Second)
		victim := c.entries[0]
		victim.outOfRotation.Store(true)
		killed := time.Now()
		victim.kill()
		Eventually(func() int {
			n := 0
			for _, a := range c.upstreams("model", "") {
				n += c.upstreamStats(a).Canceled
			}
			return n
		}, "5s", "50ms").Should(BeNumerically(">", 0), "the agents did not cancel the requests of the entry")
		time.Sleep(time.Second)
		samples := l.end()
		expectNoWrongBodies(samples)
		for _, s := range samples {
			Expect(s.ok() || s.entry == victim && s.inFlightAt(killed)).To(BeTrue(), "%v", failures([]sample{samples[0], s}))
		}
		c.expectOrdersRunOnce()
	})

	// Guards against failures of repeatable requests for which no response byte was
	// sent, and against interrupted responses that appear complete.
	It("retries requests whose response a killed agent had not started", func() {
		c := newWarmCluster()
		l := c.startLoad(24, c.mixedRequests())
		time.Sleep(time.Second)
		victim := c.upstreams("model", "a")[0]
		killed := time.Now()
		victim.kill()
		time.Sleep(2 * time.Second)
		samples := l.end()
		expectNoWrongBodies(samples)
		interrupted := 0
		for _, s := range samples {
			if s.ok() {
				continue
			}
			interrupted++
			Expect(s.inFlightAt(killed)).To(BeTrue(), "%v", failures([]sample{samples[0], s}))
			Expect(s.status).To(Equal(200), "only a response that had started may be interrupted: %v", failures([]sample{samples[0], s}))
			Expect(c.lastUpstream(s)).To(Equal(victim.upstream))
			Expect(strings.Contains(string(s.body), "event: error")).To(BeTrue(), "the caller got no error event")
		}
		Expect(interrupted).To(BeNumerically("<=", c.config.limit))
		c.expectOrdersRunOnce()
	})
})

// lastUpstream queries the entry for the upstream of the request's last attempt.
func (c *cluster) lastUpstream(s sample) string {
	GinkgoHelper()
	req, err := http.NewRequest(http.MethodGet, "http://"+s.entry.listen.String()+"/v1/requests/"+s.id, nil)
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer small")
	resp, err := c.client.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	var rec struct {
		Attempts []struct {
			Upstream string `json:"upstream"`
		} `json:"attempts"`
	}
	Expect(json.NewDecoder(resp.Body).Decode(&rec)).To(Succeed())
	Expect(rec.Attempts).NotTo(BeEmpty())
	return rec.Attempts[len(rec.Attempts)-1].Upstream
}
