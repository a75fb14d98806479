package system_test

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// maxMemory is the limit on the resident memory of a node in bytes.
	maxMemory = 128 << 20
	// deadlineMs is the deadline of each request in milliseconds.
	deadlineMs = 2000
)

// overloadDuration is the length of the overload: 10 s, or one minute if
// PARSLEY_LONG is 1.
func overloadDuration() time.Duration {
	if os.Getenv("PARSLEY_LONG") == "1" {
		return time.Minute
	}
	return 10 * time.Second
}

// offerLoad sends rate requests per second for a team during d, without waiting
// for responses (an open loop), and returns the outcomes.
func (c *cluster) offerLoad(team string, rate float64, d time.Duration) []sample {
	var mu sync.Mutex
	var out []sample
	var wg sync.WaitGroup
	n := int(rate * d.Seconds())
	begin := time.Now()
	for i := range n {
		time.Sleep(time.Until(begin.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
		wg.Add(1)
		go func() {
			defer GinkgoRecover()
			defer wg.Done()
			s := sample{start: time.Now(), id: fmt.Sprintf("%s-%d", team, i)}
			s.result = c.requestShortDocument(c.entries[i%len(c.entries)], team, s.id)
			s.end = time.Now()
			mu.Lock()
			defer mu.Unlock()
			out = append(out, s)
		}()
	}
	wg.Wait()
	return out
}

// requestShortDocument requests a short document with the deadline deadlineMs.
func (c *cluster) requestShortDocument(e *node, team, id string) result {
	return c.do(call{
		entry: e, team: team, method: http.MethodPost, path: "model/generate", body: `{"tokens":8,"stream":false}`,
		headers: map[string]string{"X-Request-Id": id, "X-Deadline-Ms": strconv.Itoa(deadlineMs)},
	})
}

// countTimely counts the successful responses that met their deadline and ended
// before end.
func countTimely(all []sample, end time.Time) float64 {
	n := 0.0
	for _, s := range all {
		if s.ok() && s.took <= deadlineMs*time.Millisecond && s.end.Before(end) {
			n++
		}
	}
	return n
}

// goodputAtCapacity returns the goodput in responses per second with as many
// callers as the upstreams have slots.
func (c *cluster) goodputAtCapacity(d time.Duration) float64 {
	begin := time.Now()
	l := c.startLoad(c.config.limit*len(c.agents), func(e *node, id string) result { return c.requestShortDocument(e, "large", id) })
	time.Sleep(d)
	return countTimely(l.end(), begin.Add(d)) / d.Seconds()
}

func newOverloadCluster() *cluster {
	c := newCluster(clusterConfig{
		zones: []string{"a", "b"}, entries: 1, engines: 1, limit: 8, coldLimit: 8, seeds: true,
		engineArgs: []string{"--set", `{"cold":8,"max":8,"base_ms":25}`},
	})
	c.client = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}
	return c
}

// residentMemory returns the resident set size of a process in bytes.
func residentMemory(p *process) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	_, rest, ok := strings.Cut(string(text), "VmRSS:")
	Expect(ok).To(BeTrue())
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	Expect(err).NotTo(HaveOccurred())
	return kb << 10
}

var _ = Describe("overload", func() {
	// Guards against goodput that collapses above the capacity, against a small
	// team that is starved by a large one, and against memory that grows with the
	// offered load.
	It("maintains goodput and fair shares within the memory limit at three times the capacity", func() {
		c := newOverloadCluster()
		c.goodputAtCapacity(time.Second)
		peak := c.goodputAtCapacity(4 * time.Second)
		d := overloadDuration()
		// The small team offers 30% of the capacity. Its fair share is a half.
		var small, large []sample
		var wg sync.WaitGroup
		begin := time.Now()
		wg.Go(func() { defer GinkgoRecover(); small = c.offerLoad("small", 0.3*peak, d) })
		wg.Go(func() { defer GinkgoRecover(); large = c.offerLoad("large", 2.7*peak, d) })
		wg.Wait()
		end := begin.Add(d)
		rate := (countTimely(small, end) + countTimely(large, end)) / d.Seconds()
		GinkgoWriter.Printf("peak %.1f/s, overload %.1f/s, small team %.0f of %d, large team %.0f of %d\n",
			peak, rate, countTimely(small, end), len(small), countTimely(large, end), len(large))
		for _, a := range c.agents {
			GinkgoWriter.Printf("%s: %+v\n", a.name, c.upstreamStats(a))
		}
		Expect(rate).To(BeNumerically(">=", 0.9*peak), "goodput under overload")
		Expect(countTimely(small, time.Now())).To(BeNumerically(">=", 0.9*float64(len(small))), "timely responses of the small team")
		for _, r := range append(small, large...) {
			if r.status != 200 {
				Expect(r.reason).NotTo(BeEmpty(), "%s: status %d after %s: %v", r.id, r.status, r.took, r.err)
			}
		}
		for _, n := range append(append([]*node{}, c.entries...), c.agents...) {
			GinkgoWriter.Printf("%s has %d MB\n", n.name, residentMemory(n.process)>>20)
			Expect(residentMemory(n.process)).To(BeNumerically("<", maxMemory), n.name)
		}
		c.expectWithinCapacity()
	})

	// Guards against retries that multiply the load when upstreams fail: each
	// first attempt adds a fifth of a retry to the budget, and up to ten are saved.
	It("keeps retries within their budget while engines interrupt their responses", func() {
		c := newOverloadCluster()
		l := c.startLoad(32, func(e *node, id string) result { return c.requestShortDocument(e, "large", id) })
		for range 30 {
			for _, a := range c.agents {
				c.control(a.backend, http.MethodPost, "/control/restart", struct{}{})
			}
			time.Sleep(100 * time.Millisecond)
		}
		first := len(l.end())
		retries := c.counters("retries", c.entries...)
		budgeted := retries["upstream_error"] + retries["upstream_lost"] + retries["corrupt_answer"]
		GinkgoWriter.Printf("%d requests, retries %v, events %v\n", first, retries, c.counters("events", c.entries...))
		Expect(budgeted).To(BeNumerically(">", 0))
		Expect(float64(budgeted)).To(BeNumerically("<=", 0.2*float64(first)+10*float64(len(c.entries))))
		Expect(c.counters("events", c.entries...)["retry_budget_spent"]).NotTo(BeZero(), "the budget was never used up")
	})
})
