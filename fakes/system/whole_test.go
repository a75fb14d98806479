package system_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"parsleyroute.example/core/suite/answer"
	"parsleyroute.example/fakes/process/engsrv"
	"parsleyroute.example/fakes/process/proxy"
)

// closeConnections closes the connections of a link; new ones can be made at once.
func (f *proxiedCluster) closeConnections(name string) {
	f.setLink(name, proxy.Fault{Cut: true})
	f.setLink(name, proxy.Fault{})
}

// counters are a program's counters of one kind, summed over nodes.
func (c *cluster) counters(kind string, nodes ...*node) map[string]int {
	sum := map[string]int{}
	for _, n := range nodes {
		vars := map[string]json.RawMessage{}
		c.getJSON(n.peer, "/debug/vars", &vars)
		counts := map[string]int{}
		Expect(json.Unmarshal(vars[kind], &counts)).To(Succeed())
		for k, v := range counts {
			sum[k] += v
		}
	}
	return sum
}

// streamResult is a stream that was asked for, to check what came of it.
type streamResult struct {
	result
	id     string
	tokens int
}

// requestUncheckedStream calls for a stream without checking it.
func (c *cluster) requestUncheckedStream(e *node, id string, tokens int) streamResult {
	r := c.do(call{
		entry: e, team: "small", method: http.MethodPost, path: "model/generate", body: streamBody(id, tokens),
		headers: map[string]string{"X-Request-Id": id, "Accept": "text/event-stream"},
	})
	return streamResult{result: r, id: id, tokens: tokens}
}

func streamBody(id string, tokens int) string {
	return fmt.Sprintf(`{"tokens":%d,"stream":true,"id":%q}`, tokens, id)
}

// complete reports whether the stream came to its end.
func (s streamResult) complete() bool { return s.err == nil && s.status == 200 }

// problem describes what is wrong with the outcome, or is empty. A whole answer
// has each byte of the request's own answer. Any other outcome is an error
// answer, or a beginning of the own answer followed by an error event, on a
// connection that ends without the final chunk. silent allows the error event
// to be missing, as it is when the entry itself dies.
func (s streamResult) problem(entryKilled bool) string {
	want := answer.Of([]byte(streamBody(s.id, s.tokens)), "", s.id).Whole(s.tokens)
	got, event, found := bytes.Cut(s.body, []byte("event: error\ndata: {"))
	switch {
	case s.complete() && bytes.Equal(s.body, want):
		return ""
	case s.complete():
		return fmt.Sprintf("%s: %d bytes look whole, the answer has %d", s.id, len(s.body), len(want))
	case s.status == 0 && entryKilled:
		return ""
	case s.status != 200 && s.reason != "" && s.run != "":
		return ""
	case s.status != 200:
		return fmt.Sprintf("%s: status %d without a reason: %v", s.id, s.status, s.err)
	case !bytes.HasPrefix(want, got):
		return fmt.Sprintf("%s: %d bytes that are not the beginning of its answer", s.id, len(got))
	case !found && !entryKilled:
		return fmt.Sprintf("%s: broken off after %d of %d bytes without an error event: %v", s.id, len(got), len(want), s.err)
	case found && !bytes.Contains(event, []byte(`"run":"yes"`)):
		return fmt.Sprintf("%s: the error event does not say that the request was run: %s", s.id, event)
	}
	return ""
}

// newStreamCluster starts two warm engines behind fault proxies.
func newStreamCluster(resumable bool) *proxiedCluster {
	return newProxiedCluster(clusterConfig{
		zones: []string{"a", "b"}, entries: 1, engines: 1, limit: 16, coldLimit: 16, seeds: true,
		engineArgs: []string{"--set", fmt.Sprintf(`{"cold":16,"max":16,"resumable":%t}`, resumable)},
	})
}

// requestStreams asks for n streams at once, through all entries in turn, and runs
// during once all of them have begun at the engines.
func (f *proxiedCluster) requestStreams(n, tokens int, during func()) []streamResult {
	out := make([]streamResult, n)
	before := f.startedRequests(f.agents)
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer GinkgoRecover()
			defer wg.Done()
			out[i] = f.requestUncheckedStream(f.entries[i%len(f.entries)], fmt.Sprintf("s-%d-%d", before, i), tokens)
		}()
	}
	Eventually(func() int { return f.startedRequests(f.agents) }, "10s", "5ms").Should(BeNumerically(">=", before+n))
	// Past the first tokens, so that the answers have begun.
	time.Sleep(200 * time.Millisecond)
	during()
	wg.Wait()
	return out
}

// checkStreams returns what is checkStreams with the outcomes, and the number of whole ones.
func checkStreams(all []streamResult, entryKilled bool) (problems []string, complete int) {
	for _, s := range all {
		if text := s.problem(entryKilled); text != "" {
			problems = append(problems, text)
		}
		if s.complete() {
			complete++
		}
	}
	return problems, complete
}

func (f *proxiedCluster) resumedStreams() int {
	n := 0
	for _, a := range f.agents {
		var s engsrv.Stats
		f.getJSON(a.backend, "/control/stats", &s)
		n += s.Resumed
	}
	return n
}

var _ = Describe("answers under failure", func() {
	// Guards against streams that are given up although the engine can resume
	// them, and against bytes that a resumed stream repeats or leaves out.
	It("resumes streams that are cut between entry and agent or between agent and engine", func() {
		f := newStreamCluster(true)
		for _, link := range []func(*node) string{agentLink, backendLink} {
			resumed := f.resumedStreams()
			all := f.requestStreams(8, 150, func() {
				for _, a := range f.agents {
					f.closeConnections(link(a))
				}
			})
			bad, whole := checkStreams(all, false)
			Expect(bad).To(BeEmpty())
			Expect(whole).To(Equal(len(all)), "streams that were not resumed")
			Expect(f.resumedStreams()).To(BeNumerically(">", resumed), "streams resumed at the engines")
		}
		Expect(f.counters("retries", f.entries...)["stream_broken"]).NotTo(BeZero())
	})

	// Guards against broken answers that look whole: where nothing can be
	// resumed, the caller gets an error event and no final chunk.
	DescribeTable("end in an explicit error where they cannot be resumed",
		func(resumable, entryKilled bool, fail func(f *proxiedCluster)) {
			f := newStreamCluster(resumable)
			bad, whole := checkStreams(f.requestStreams(8, 300, func() { fail(f) }), entryKilled)
			Expect(bad).To(BeEmpty())
			Expect(whole).To(BeNumerically("<", 8), "the fault cut no stream")
		},
		Entry("an engine that cannot resume", false, false, func(f *proxiedCluster) { f.closeConnections(backendLink(f.agents[0])); f.closeConnections(agentLink(f.agents[1])) }),
		Entry("an agent that is killed", true, false, func(f *proxiedCluster) { f.agents[0].kill() }),
		Entry("an entry that is killed", true, true, func(f *proxiedCluster) { f.entries[0].kill() }),
		Entry("an engine that is killed", true, false, func(f *proxiedCluster) { f.agents[0].backendProcess.kill() }),
		Entry("an agent that falls silent", false, false, func(f *proxiedCluster) {
			f.setLink(agentLink(f.agents[0]), proxy.Fault{Freeze: proxy.FreezeToClient})
			time.Sleep(3 * time.Second)
			f.setLink(agentLink(f.agents[0]), proxy.Fault{})
		}),
	)

	// Guards against answers that reach another request than their own when
	// they come late, crossed or in parts, and connections are reused.
	It("reach their own request only, whole or with an explicit error", func() {
		seed := uint64(GinkgoRandomSeed())
		GinkgoWriter.Printf("seed of the faults: -ginkgo.seed=%d\n", seed)
		rng := rand.New(rand.NewPCG(seed, 0))
		f := newStreamCluster(true)
		var mu sync.Mutex
		var all []streamResult
		l := f.startLoad(16, func(e *node, id string) result {
			if len(id)%2 == 0 {
				return f.requestDocument(e, id, 20)
			}
			s := f.requestUncheckedStream(e, id, 30)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, s)
			return s.result
		})
		for begin := time.Now(); time.Since(begin) < 12*time.Second; {
			a := f.agents[rng.IntN(len(f.agents))]
			link := agentLink(a)
			if rng.IntN(2) == 0 {
				link = backendLink(a)
			}
			faults := []proxy.Fault{{Cut: true}, {Freeze: proxy.FreezeToClient}, {Freeze: proxy.FreezeBoth}, {DelayMs: 60}, {HalfOpen: true}}
			f.setLink(link, faults[rng.IntN(len(faults))])
			time.Sleep(time.Duration(30+rng.IntN(300)) * time.Millisecond)
			f.setLink(link, proxy.Fault{})
			time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
			if rng.IntN(8) == 0 {
				f.control(a.backend, http.MethodPost, "/control/restart", struct{}{})
			}
		}
		samples := l.end()
		for _, s := range samples {
			if s.took > 5*time.Second {
				GinkgoWriter.Printf("slow: %s at %s took %s: %d %s %s %v\n", s.id, s.start.Format("05.000"), s.took, s.status, s.reason, s.run, s.err)
			}
		}
		bad, whole := checkStreams(all, false)
		for _, s := range samples {
			// document reports an answer that is not its own as an error.
			if s.status == 200 && s.err != nil && len(s.id)%2 == 0 {
				bad = append(bad, fmt.Sprintf("%s: %v", s.id, s.err))
			}
		}
		Expect(bad).To(BeEmpty(), "of %d, seed %d", len(samples), seed)
		Expect(whole).To(BeNumerically(">", 20))
		GinkgoWriter.Printf("%d requests, %d of %d streams whole, %d failed, resumed %d\n",
			len(samples), whole, len(all), len(failures(samples)), f.resumedStreams())
	})
})
