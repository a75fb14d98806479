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

// closeConnections closes the connections of a link. New ones can be made at once.
func (f *proxiedCluster) closeConnections(name string) {
	f.setLink(name, proxy.Fault{Down: true})
	f.setLink(name, proxy.Fault{})
}

// counters returns the expvar counters of one kind, summed over the nodes.
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

// streamResult is the result of a stream request with what is needed to check it.
type streamResult struct {
	result
	id     string
	tokens int
}

// requestUncheckedStream requests a stream without checking the response.
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

// complete reports whether the stream was received to its end.
func (s streamResult) complete() bool { return s.err == nil && s.status == 200 }

// problem describes what is wrong with the result, or returns "". A complete
// response must have exactly the bytes that belong to the request. Any other
// result must be an error response, or a prefix of the right response followed by
// an error event, on a connection that ends without the final chunk. With
// entryKilled the error event may be missing, because the entry itself died.
func (s streamResult) problem(entryKilled bool) string {
	want := answer.NewSeed([]byte(streamBody(s.id, s.tokens)), "", s.id).CompleteStream(s.tokens)
	got, event, hasErrorEvent := bytes.Cut(s.body, []byte("event: error\ndata: {"))
	switch {
	case s.complete() && bytes.Equal(s.body, want):
		return ""
	case s.complete():
		return fmt.Sprintf("%s: response of %d bytes appears complete but is not the expected one of %d bytes", s.id, len(s.body), len(want))
	case s.status == 0 && entryKilled:
		return ""
	case s.status != 200 && s.reason != "" && s.run != "":
		return ""
	case s.status != 200:
		return fmt.Sprintf("%s: status %d without a reason: %v", s.id, s.status, s.err)
	case !bytes.HasPrefix(want, got):
		return fmt.Sprintf("%s: %d bytes that are not a prefix of the expected response", s.id, len(got))
	case !hasErrorEvent && !entryKilled:
		return fmt.Sprintf("%s: interrupted after %d of %d bytes without an error event: %v", s.id, len(got), len(want), s.err)
	case hasErrorEvent && !bytes.Contains(event, []byte(`"run":"yes"`)):
		return fmt.Sprintf("%s: the error event does not have run \"yes\": %s", s.id, event)
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

// requestStreams requests n streams at once, through all entries in turn, and
// calls during when the engines have started all of them.
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
	// Wait for the first tokens, so that the responses have begun.
	time.Sleep(200 * time.Millisecond)
	during()
	wg.Wait()
	return out
}

// checkStreams returns the problems of the results and the number of complete ones.
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
		n += s.ResumedStreams
	}
	return n
}

var _ = Describe("responses under faults", func() {
	// Guards against streams that fail although the engine can resume them, and
	// against bytes that a resumed stream repeats or omits.
	It("are resumed when the connection between entry and agent or agent and engine is closed", func() {
		f := newStreamCluster(true)
		for _, link := range []func(*node) string{agentLink, backendLink} {
			resumed := f.resumedStreams()
			all := f.requestStreams(8, 150, func() {
				for _, a := range f.agents {
					f.closeConnections(link(a))
				}
			})
			problems, complete := checkStreams(all, false)
			Expect(problems).To(BeEmpty())
			Expect(complete).To(Equal(len(all)), "streams that were not resumed")
			Expect(f.resumedStreams()).To(BeNumerically(">", resumed), "streams resumed at the engines")
		}
		Expect(f.counters("retries", f.entries...)["stream_broken"]).NotTo(BeZero())
	})

	// Guards against interrupted responses that appear complete: where nothing can
	// be resumed, the caller gets an error event and no final chunk.
	DescribeTable("end with an explicit error where they can't be resumed",
		func(resumable, entryKilled bool, fail func(f *proxiedCluster)) {
			f := newStreamCluster(resumable)
			problems, complete := checkStreams(f.requestStreams(8, 300, func() { fail(f) }), entryKilled)
			Expect(problems).To(BeEmpty())
			Expect(complete).To(BeNumerically("<", 8), "the fault interrupted no stream")
		},
		Entry("an engine that can't resume", false, false, func(f *proxiedCluster) {
			f.closeConnections(backendLink(f.agents[0]))
			f.closeConnections(agentLink(f.agents[1]))
		}),
		Entry("an agent that is killed", true, false, func(f *proxiedCluster) { f.agents[0].kill() }),
		Entry("an entry that is killed", true, true, func(f *proxiedCluster) { f.entries[0].kill() }),
		Entry("an engine that is killed", true, false, func(f *proxiedCluster) { f.agents[0].backendProcess.kill() }),
		Entry("an agent that stops responding", false, false, func(f *proxiedCluster) {
			f.setLink(agentLink(f.agents[0]), proxy.Fault{Freeze: proxy.FreezeToClient})
			time.Sleep(3 * time.Second)
			f.setLink(agentLink(f.agents[0]), proxy.Fault{})
		}),
	)

	// Guards against responses that are delivered to the wrong request when they
	// arrive late, swapped or in parts on reused connections.
	It("reach only their own request, complete or with an explicit error", func() {
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
			faults := []proxy.Fault{{Down: true}, {Freeze: proxy.FreezeToClient}, {Freeze: proxy.FreezeBoth}, {DelayMs: 60}, {HalfOpen: true}}
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
		problems, complete := checkStreams(all, false)
		for _, s := range samples {
			// requestDocument reports a response that belongs to another request as an error.
			if s.status == 200 && s.err != nil && len(s.id)%2 == 0 {
				problems = append(problems, fmt.Sprintf("%s: %v", s.id, s.err))
			}
		}
		Expect(problems).To(BeEmpty(), "of %d requests, seed %d", len(samples), seed)
		Expect(complete).To(BeNumerically(">", 20))
		GinkgoWriter.Printf("%d requests, %d of %d streams complete, %d failed, resumed %d\n",
			len(samples), complete, len(all), len(failures(samples)), f.resumedStreams())
	})
})
