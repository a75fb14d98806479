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

// cut closes the connections of a link; new ones can be made at once.
func (f *faulty) cut(name string) {
	f.link(name, proxy.Fault{Down: true})
	f.link(name, proxy.Fault{})
}

// counters are a program's counters of one kind, summed over nodes.
func (c *cluster) counters(kind string, nodes ...*node) map[string]int {
	sum := map[string]int{}
	for _, n := range nodes {
		vars := map[string]json.RawMessage{}
		c.stats(n.peer, "/debug/vars", &vars)
		counts := map[string]int{}
		Expect(json.Unmarshal(vars[kind], &counts)).To(Succeed())
		for k, v := range counts {
			sum[k] += v
		}
	}
	return sum
}

// streamed is a stream that was asked for, to check what came of it.
type streamed struct {
	result
	id     string
	tokens int
}

// ask calls for a stream without checking it.
func (c *cluster) ask(e *node, id string, tokens int) streamed {
	r := c.do(call{
		entry: e, team: "small", method: http.MethodPost, path: "model/generate", body: streamBody(id, tokens),
		headers: map[string]string{"X-Request-Id": id, "Accept": "text/event-stream"},
	})
	return streamed{result: r, id: id, tokens: tokens}
}

func streamBody(id string, tokens int) string {
	return fmt.Sprintf(`{"tokens":%d,"stream":true,"id":%q}`, tokens, id)
}

// whole reports whether the stream came to its end.
func (s streamed) whole() bool { return s.err == nil && s.status == 200 }

// fault describes what is wrong with the outcome, or is empty. A whole answer
// has each byte of the request's own answer. Any other outcome is an error
// answer, or a beginning of the own answer followed by an error event, on a
// connection that ends without the final chunk. silent allows the error event
// to be missing, as it is when the entry itself dies.
func (s streamed) fault(silent bool) string {
	want := answer.NewSeed([]byte(streamBody(s.id, s.tokens)), "", s.id).CompleteStream(s.tokens)
	got, event, found := bytes.Cut(s.body, []byte("event: error\ndata: {"))
	switch {
	case s.whole() && bytes.Equal(s.body, want):
		return ""
	case s.whole():
		return fmt.Sprintf("%s: %d bytes look whole, the answer has %d", s.id, len(s.body), len(want))
	case s.status == 0 && silent:
		return ""
	case s.status != 200 && s.reason != "" && s.run != "":
		return ""
	case s.status != 200:
		return fmt.Sprintf("%s: status %d without a reason: %v", s.id, s.status, s.err)
	case !bytes.HasPrefix(want, got):
		return fmt.Sprintf("%s: %d bytes that are not the beginning of its answer", s.id, len(got))
	case !found && !silent:
		return fmt.Sprintf("%s: broken off after %d of %d bytes without an error event: %v", s.id, len(got), len(want), s.err)
	case found && !bytes.Contains(event, []byte(`"run":"yes"`)):
		return fmt.Sprintf("%s: the error event does not say that the request was run: %s", s.id, event)
	}
	return ""
}

// streaming starts two warm engines behind fault proxies.
func streaming(resumable bool) *faulty {
	return newFaulty(shape{
		zones: []string{"a", "b"}, entries: 1, engines: 1, limit: 16, cold: 16, seeds: true,
		engineArgs: []string{"--set", fmt.Sprintf(`{"cold":16,"max":16,"resumable":%t}`, resumable)},
	})
}

// askAll asks for n streams at once, through all entries in turn, and runs
// during once all of them have begun at the engines.
func (f *faulty) askAll(n, tokens int, during func()) []streamed {
	out := make([]streamed, n)
	before := f.started(f.agents)
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer GinkgoRecover()
			defer wg.Done()
			out[i] = f.ask(f.entries[i%len(f.entries)], fmt.Sprintf("s-%d-%d", before, i), tokens)
		}()
	}
	Eventually(func() int { return f.started(f.agents) }, "10s", "5ms").Should(BeNumerically(">=", before+n))
	// Past the first tokens, so that the answers have begun.
	time.Sleep(200 * time.Millisecond)
	during()
	wg.Wait()
	return out
}

// wrong returns what is wrong with the outcomes, and the number of whole ones.
func wrong(all []streamed, silent bool) (bad []string, whole int) {
	for _, s := range all {
		if text := s.fault(silent); text != "" {
			bad = append(bad, text)
		}
		if s.whole() {
			whole++
		}
	}
	return bad, whole
}

func (f *faulty) resumed() int {
	n := 0
	for _, a := range f.agents {
		var s engsrv.Stats
		f.stats(a.backend, "/control/stats", &s)
		n += s.ResumedStreams
	}
	return n
}

var _ = Describe("answers under failure", func() {
	// Guards against streams that are given up although the engine can resume
	// them, and against bytes that a resumed stream repeats or leaves out.
	It("resumes streams that are cut between entry and agent or between agent and engine", func() {
		f := streaming(true)
		for _, link := range []func(*node) string{front, back} {
			resumed := f.resumed()
			all := f.askAll(8, 150, func() {
				for _, a := range f.agents {
					f.cut(link(a))
				}
			})
			bad, whole := wrong(all, false)
			Expect(bad).To(BeEmpty())
			Expect(whole).To(Equal(len(all)), "streams that were not resumed")
			Expect(f.resumed()).To(BeNumerically(">", resumed), "streams resumed at the engines")
		}
		Expect(f.counters("retries", f.entries...)["stream_broken"]).NotTo(BeZero())
	})

	// Guards against broken answers that look whole: where nothing can be
	// resumed, the caller gets an error event and no final chunk.
	DescribeTable("end in an explicit error where they cannot be resumed",
		func(resumable, silent bool, fail func(f *faulty)) {
			f := streaming(resumable)
			bad, whole := wrong(f.askAll(8, 300, func() { fail(f) }), silent)
			Expect(bad).To(BeEmpty())
			Expect(whole).To(BeNumerically("<", 8), "the fault cut no stream")
		},
		Entry("an engine that cannot resume", false, false, func(f *faulty) { f.cut(back(f.agents[0])); f.cut(front(f.agents[1])) }),
		Entry("an agent that is killed", true, false, func(f *faulty) { f.agents[0].kill() }),
		Entry("an entry that is killed", true, true, func(f *faulty) { f.entries[0].kill() }),
		Entry("an engine that is killed", true, false, func(f *faulty) { f.agents[0].engine.kill() }),
		Entry("an agent that falls silent", false, false, func(f *faulty) {
			f.link(front(f.agents[0]), proxy.Fault{Freeze: proxy.FreezeToClient})
			time.Sleep(3 * time.Second)
			f.link(front(f.agents[0]), proxy.Fault{})
		}),
	)

	// Guards against answers that reach another request than their own when
	// they come late, crossed or in parts, and connections are reused.
	It("reach their own request only, whole or with an explicit error", func() {
		seed := uint64(GinkgoRandomSeed())
		GinkgoWriter.Printf("seed of the faults: -ginkgo.seed=%d\n", seed)
		rng := rand.New(rand.NewPCG(seed, 0))
		f := streaming(true)
		var mu sync.Mutex
		var all []streamed
		l := f.load(16, func(e *node, id string) result {
			if len(id)%2 == 0 {
				return f.document(e, id, 20)
			}
			s := f.ask(e, id, 30)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, s)
			return s.result
		})
		for begin := time.Now(); time.Since(begin) < 12*time.Second; {
			a := f.agents[rng.IntN(len(f.agents))]
			link := front(a)
			if rng.IntN(2) == 0 {
				link = back(a)
			}
			faults := []proxy.Fault{{Down: true}, {Freeze: proxy.FreezeToClient}, {Freeze: proxy.FreezeBoth}, {DelayMs: 60}, {HalfOpen: true}}
			f.link(link, faults[rng.IntN(len(faults))])
			time.Sleep(time.Duration(30+rng.IntN(300)) * time.Millisecond)
			f.link(link, proxy.Fault{})
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
		bad, whole := wrong(all, false)
		for _, s := range samples {
			// document reports an answer that is not its own as an error.
			if s.status == 200 && s.err != nil && len(s.id)%2 == 0 {
				bad = append(bad, fmt.Sprintf("%s: %v", s.id, s.err))
			}
		}
		Expect(bad).To(BeEmpty(), "of %d, seed %d", len(samples), seed)
		Expect(whole).To(BeNumerically(">", 20))
		GinkgoWriter.Printf("%d requests, %d of %d streams whole, %d failed, resumed %d\n",
			len(samples), whole, len(all), len(failures(samples)), f.resumed())
	})
})
