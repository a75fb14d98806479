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

// mixedRequests sends documents, streams and orders in turn. Their number, five, differs
// from that of the entries, so that each entry gets all of them.
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

// expectOrdersRunOnce checks that no order ran twice, at one service or at several.
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

// instanceStatus returns what the instance reports of itself.
func (c *cluster) instanceStatus(via, n *node) admin.InstanceStatus {
	GinkgoHelper()
	for _, in := range c.queryStatus(via).Instances {
		if in.Name == n.name {
			return in
		}
	}
	return admin.InstanceStatus{}
}

// terminate ends the instances as the platform does: with SIGTERM, and a while
// later the balancer sends the entries among them no more callers.
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
		Expect(n.endsWithin(20*time.Second)).To(BeTrue(), "%s does not end", n.name)
	}
}

var _ = Describe("instances that end under load", func() {
	// Guards against new work for an upstream that the platform has announced
	// to end, and against a shutdown that cuts its work in flight.
	It("gives an upstream that is leaving no new work and lets its streams end", func() {
		const lag = time.Second
		c := newWarmCluster()
		c.control(c.platAddr, http.MethodPut, "/control/faults", map[string]any{"list_lag_ms": lag.Milliseconds()})
		leaving := c.upstreams("model", "a")[0]
		short := c.startLoad(8, func(e *node, id string) result { return c.requestDocument(e, id, 16) })
		long := c.startLoad(12, func(e *node, id string) result { return c.requestStream(e, "long-"+id, 600) })
		Eventually(func() int { return c.upstreamStats(leaving).Inflight }, "10s", "10ms").Should(BeNumerically(">", 2))
		c.listInstance(leaving, core.RoleAgent, true)
		time.Sleep(lag + noNewWorkAfter)
		Expect(c.instanceStatus(c.entries[0], leaving).Draining).To(BeTrue(), "the agent drains")
		refused := c.refusals([]*node{leaving}, "draining")
		c.expectNoNewWork([]*node{leaving}, 2*time.Second)
		Expect(c.refusals([]*node{leaving}, "draining")).To(Equal(refused), "dispatches sent after 3 s")
		leaving.signal(syscall.SIGTERM)
		Expect(leaving.endsWithin(20 * time.Second)).To(BeTrue())
		Expect(failures(append(short.end(), long.end()...))).To(BeEmpty())
	})

	// Guards against requests that a graceful shutdown cuts off or refuses.
	It("cuts off no request when entries and agents get SIGTERM", func() {
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

	// Guards against failures that spread beyond the requests in flight at an
	// entry that dies, and against work that goes on for nobody.
	It("loses only the requests in flight at an entry that is killed", func() {
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
				n += c.upstreamStats(a).Cancelled
			}
			return n
		}, "5s", "50ms").Should(BeNumerically(">", 0), "the agents cancel the work of the entry")
		time.Sleep(time.Second)
		samples := l.end()
		expectNoWrongBodies(samples)
		for _, s := range samples {
			Expect(s.ok() || s.entry == victim && s.inFlightAt(killed)).To(BeTrue(), "%v", failures([]sample{samples[0], s}))
		}
		c.expectOrdersRunOnce()
	})

	// Guards against requests that fail although they may be repeated and no
	// byte was sent, and against cut answers that look whole.
	It("retries what an agent that is killed had not begun to answer", func() {
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
			Expect(s.status).To(Equal(200), "only an answer that had begun may break off: %v", failures([]sample{samples[0], s}))
			Expect(c.lastUpstream(s)).To(Equal(victim.upstream))
			Expect(strings.Contains(string(s.body), "event: error")).To(BeTrue(), "the caller is told")
		}
		Expect(interrupted).To(BeNumerically("<=", c.config.limit))
		c.expectOrdersRunOnce()
	})
})

// lastUpstream asks the entry where it sent the request.
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
