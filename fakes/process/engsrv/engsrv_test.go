package engsrv_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/gravitational/trace"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/engine"
	"parsleyroute.example/core/suite"
	"parsleyroute.example/core/suite/answer"
	"parsleyroute.example/core/suite/seed"
	"parsleyroute.example/fakes/process/engsrv"
)

func TestEngine(t *testing.T) {
	seed.RunSpecs(t, "engine")
}

func start(modify func(*engsrv.Settings)) (*engsrv.Server, *engine.Engine) {
	GinkgoHelper()
	set := engsrv.Defaults
	set.ColdLimit, set.DefaultTokens, set.BaseMs = 16, 16, 2
	modify(&set)
	srv := &engsrv.Server{Settings: &set}
	Expect(srv.Start()).To(Succeed())
	DeferCleanup(srv.Close)
	return srv, &engine.Engine{Addr: srv.Addr(), Timeout: 3 * time.Second}
}

func defaultSettings(*engsrv.Settings) {}

func prompt(id string, tokens int) *core.Call {
	return &core.Call{
		RequestID: id, IdempotencyKey: "k", Method: "POST", Path: "/v1/generate",
		Body: fmt.Appendf(nil, `{"stream":true,"tokens":%d,"prompt":"a"}`, tokens),
	}
}

func wantStream(call *core.Call, tokens int) string {
	return string(answer.NewSeed(call.Body, call.IdempotencyKey, call.RequestID).CompleteStream(tokens))
}

var _ = suite.EngineSpecs("Model engine", func() suite.Upstream {
	srv, e := start(defaultSettings)
	return suite.Upstream{Engine: e, Tokens: 16, Kill: func() { _ = srv.Close() }}
})

var _ = Describe("Model engine", func() {
	ctx := context.Background()
	readAll := func(e core.Engine, call *core.Call) string {
		GinkgoHelper()
		reply, err := e.Do(ctx, call)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Status).To(Equal(200))
		data, err := io.ReadAll(reply.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Body.Close()).To(Succeed())
		return string(data)
	}

	// Guards against streams that are buffered until they are complete.
	It("streams each token when it is generated", func() {
		_, e := start(func(s *engsrv.Settings) { s.BaseMs = 20 })
		c := prompt("r", 10)
		reply, err := e.Do(ctx, c)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Resumable).To(BeTrue())
		Expect(reply.Headers).To(ContainElement(core.Header{Name: "Content-Type", Value: "text/event-stream"}))
		firstEvent := make([]byte, answer.EventSize)
		begin := time.Now()
		_, err = io.ReadFull(reply.Body, firstEvent)
		Expect(err).NotTo(HaveOccurred())
		rest, err := io.ReadAll(reply.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(begin)).To(BeNumerically(">", 100*time.Millisecond))
		Expect(string(firstEvent) + string(rest)).To(Equal(wantStream(c, 10)))
	})

	// Guards against an agent that reuses a slot while the engine, which detects a
	// canceled request late, still runs the request.
	It("calls OnRelease only after the engine has released the request", func() {
		srv, e := start(func(s *engsrv.Settings) { s.BaseMs = 5 })
		inflight := make(chan int, 2)
		call := func(id string) *core.Call {
			c := prompt(id, 10_000)
			c.OnRelease = func() { inflight <- srv.Stats().Inflight }
			return c
		}
		reply, err := e.Do(ctx, call("a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Body.Close()).To(Succeed())
		Eventually(inflight, "2s").Should(Receive(BeZero()))

		cancelCtx, cancel := context.WithCancel(ctx)
		reply, err = e.Do(cancelCtx, call("b"))
		Expect(err).NotTo(HaveOccurred())
		cancel()
		_, err = io.ReadAll(reply.Body)
		Expect(trace.IsConnectionProblem(err)).To(BeTrue(), "%v", err)
		Expect(reply.Body.Close()).To(Succeed())
		Eventually(inflight, "2s").Should(Receive(BeZero()))

		completed := prompt("c", 4)
		completed.OnRelease = func() { inflight <- srv.Stats().Inflight }
		readAll(e, completed)
		Expect(inflight).To(Receive())
		Consistently(inflight, "100ms").ShouldNot(Receive(), "OnRelease called twice")
	})

	// Guards against work that continues for callers that have disconnected, and
	// against interrupted streams that are taken for complete ones.
	It("cancels requests on a closed body, a canceled context and a restart", func() {
		srv, e := start(func(s *engsrv.Settings) { s.BaseMs = 5 })
		reply, err := e.Do(ctx, prompt("a", 10_000))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Body.Close()).To(Succeed())
		Eventually(func() int { return srv.Stats().Canceled }, "2s").Should(Equal(1))

		cancelCtx, cancel := context.WithCancel(ctx)
		reply, err = e.Do(cancelCtx, prompt("b", 10_000))
		Expect(err).NotTo(HaveOccurred())
		time.AfterFunc(20*time.Millisecond, cancel)
		_, err = io.ReadAll(reply.Body)
		Expect(trace.IsConnectionProblem(err)).To(BeTrue(), "%v", err)
		Eventually(func() int { return srv.Stats().Canceled }, "2s").Should(Equal(2))

		reply, err = e.Do(ctx, prompt("c", 10_000))
		Expect(err).NotTo(HaveOccurred())
		before := srv.Stats().Incarnation
		time.AfterFunc(20*time.Millisecond, srv.Restart)
		_, err = io.ReadAll(reply.Body)
		Expect(trace.IsConnectionProblem(err)).To(BeTrue(), "%v", err)
		Expect(srv.Stats().Incarnation).NotTo(Equal(before))
		Expect(srv.Stats().Inflight).To(BeZero())
		Expect(readAll(e, prompt("d", 4))).To(Equal(wantStream(prompt("d", 4), 4)))
	})

	// Guards against a request that arrives while the engine closes and gets
	// neither a response nor a closed connection.
	It("ends all requests when it closes", func() {
		for range 10 {
			srv, e := start(defaultSettings)
			ended := make(chan struct{}, 64)
			for i := range cap(ended) {
				go func() {
					if reply, err := e.Do(ctx, prompt(fmt.Sprint(i), 10_000)); err == nil {
						_, _ = io.ReadAll(reply.Body)
						_ = reply.Body.Close()
					}
					ended <- struct{}{}
				}()
			}
			time.Sleep(time.Millisecond)
			go func() { _ = srv.Close() }()
			for range cap(ended) {
				Eventually(ended, "3s").Should(Receive())
			}
		}
	})

	// Guards against resumed streams that repeat or omit a byte.
	It("resumes a stream at any offset", func() {
		_, e := start(func(s *engsrv.Settings) { s.BaseMs = 0.1 })
		c := prompt("r", 5)
		complete := wantStream(c, 5)
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			c := *c
			c.ResumeOffset = uint64(rapid.IntRange(0, 5*answer.EventSize).Draw(t, "offset"))
			Expect(readAll(e, &c)).To(Equal(complete[c.ResumeOffset:]))
		})
		c.ResumeOffset = 1 << 20
		reply, err := e.Do(ctx, c)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Status).To(Equal(400))
	})

	// Guards against an engine whose limit is the same when cold and when warm.
	It("raises its limit with completed requests and lowers it when cold", func() {
		srv, e := start(func(s *engsrv.Settings) { s.ColdLimit, s.MaxLimit, s.CompletionsPerSlot = 1, 3, 2 })
		for i := range 6 {
			readAll(e, prompt(fmt.Sprint(i), 1))
		}
		Expect(srv.Stats().Limit).To(Equal(3))
		Expect(srv.Stats().Violations).To(BeZero())
		srv.ResetToCold()
		Expect(srv.Stats().Limit).To(Equal(1))
		first, err := e.Do(ctx, prompt("a", 10_000))
		Expect(err).NotTo(HaveOccurred())
		second, err := e.Do(ctx, prompt("b", 10_000))
		Expect(err).NotTo(HaveOccurred())
		Expect(srv.Stats().GraceViolations).To(Equal(1))
		srv.Restart()
		for _, r := range []*core.Reply{first, second} {
			_, err := io.ReadAll(r.Body)
			Expect(err).To(HaveOccurred())
		}
		_, err = e.Do(ctx, prompt("c", 10_000))
		Expect(err).NotTo(HaveOccurred())
		_, err = e.Do(ctx, prompt("d", 10_000))
		Expect(err).NotTo(HaveOccurred())
		_, err = e.Do(ctx, prompt("e", 10_000))
		r, ok := core.AsRefusal(err)
		Expect(ok).To(BeTrue(), "%v", err)
		Expect(r.Reason).To(Equal(core.ReasonUpstreamBusy))
		Expect(r.Execution).To(Equal(core.NotExecuted))
	})

	// Guards against load reports that are more recent than those of the platform.
	It("reports its load with a lag", func() {
		srv, e := start(func(s *engsrv.Settings) { s.ReportLagMs = 300 })
		reply, err := e.Do(ctx, prompt("a", 10_000))
		Expect(err).NotTo(HaveOccurred())
		r, err := e.Report(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Inflight).To(BeZero())
		Expect(r.Incarnation).To(Equal(srv.Stats().Incarnation))
		Eventually(func() int { r, _ := e.Report(ctx); return r.Inflight }, "2s").Should(Equal(1))
		Expect(reply.Body.Close()).To(Succeed())
		set := srv.Get()
		set.NoReport = true
		Expect(srv.Set(set)).To(Succeed())
		_, err = e.Report(ctx)
		Expect(trace.IsNotImplemented(err)).To(BeTrue(), "%v", err)
	})

	// Guards against a prefix cache that saves no time, and against events that
	// arrive without a delay or without losses.
	It("skips the prefill of cached prompts and reports cache events late, with losses", func() {
		srv, e := start(func(s *engsrv.Settings) { s.PrefillUs, s.EventDelayMs, s.EventLossInterval = 100, 200, 4 })
		body := bytes.Repeat([]byte("x"), 10*engine.BlockSize)
		c := &core.Call{Method: "POST", Path: "/", Body: body, RequestID: "a"}
		begin := time.Now()
		readAll(e, c)
		first := time.Since(begin)
		events, err := e.CacheEvents(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(events).To(BeEmpty())
		begin = time.Now()
		readAll(e, c)
		Expect(first - time.Since(begin)).To(BeNumerically(">", 30*time.Millisecond))
		Expect(srv.Stats().CachedBlocks).To(Equal(10))
		Eventually(func() []core.CacheEvent { events, _ = e.CacheEvents(ctx, 0); return events }, "2s").Should(HaveLen(8))
		Expect(events[3]).To(Equal(core.CacheEvent{Sequence: 5, PrefixHash: engine.PrefixHashes(body)[4]}))
		srv.ResetToCold()
		Eventually(func() []core.CacheEvent { events, _ = e.CacheEvents(ctx, 10); return events }, "2s").Should(HaveLen(7))
		Expect(events[0].Evicted).To(BeTrue())
	})

	// Guards against a stand-in that does not record whether a stale order was
	// executed.
	It("enforces or ignores fencing tokens", func() {
		srv, e := start(defaultSettings)
		Expect(e.Command(ctx, 7, "load", "m")).To(Succeed())
		Expect(e.Command(ctx, 6, "load", "old")).To(Satisfy(trace.IsCompareFailed))
		Expect(e.Command(ctx, 8, "dance", "")).To(Satisfy(trace.IsBadParameter))
		set := srv.Get()
		set.EnforceToken = false
		Expect(srv.Set(set)).To(Succeed())
		Expect(e.Command(ctx, 6, "load", "old")).To(Succeed())
		orders := srv.Stats().Orders
		Expect(orders).To(HaveLen(3))
		Expect(orders[1].Stale && !orders[1].Executed).To(BeTrue())
		Expect(orders[2].Stale && orders[2].Executed).To(BeTrue())
	})
})
