package plain_test

import (
	"context"
	"fmt"
	"io"
	"testing"

	"github.com/gravitational/trace"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/engine"
	"parsleyroute.example/core/suite"
	"parsleyroute.example/core/suite/seed"
	"parsleyroute.example/fakes/process/load"
	"parsleyroute.example/fakes/process/plain"
)

func TestPlain(t *testing.T) {
	seed.RunSpecs(t, "plain")
}

func start(set plain.Settings) (*plain.Server, *engine.PlainService) {
	GinkgoHelper()
	srv := &plain.Server{Settings: &set}
	Expect(srv.Start()).To(Succeed())
	DeferCleanup(srv.Close)
	return srv, &engine.PlainService{Addr: srv.Addr()}
}

var _ = suite.EngineSpecs("Plain service", func() suite.Upstream {
	set := plain.Defaults
	set.ColdLimit, set.MaxLimit = 16, 16
	srv, e := start(set)
	return suite.Upstream{Engine: e, Tokens: plain.ResponseTokens, Kill: func() { _ = srv.Close() }}
})

var _ = Describe("Plain service", func() {
	ctx := context.Background()

	// Guards against an adapter that retries a request after its response was
	// lost, and against a run counter that misses such a run.
	It("runs a request once if its response is lost", func() {
		set := plain.Defaults
		set.LoseResponses = 1
		srv, e := start(set)
		for _, method := range []string{"GET", "PUT", "POST"} {
			set.LoseResponses = 1
			Expect(srv.Set(set)).To(Succeed())
			_, err := e.Do(ctx, &core.Call{Method: method, Path: "/order", RequestID: method, IdempotencyKey: "k" + method})
			Expect(trace.IsConnectionProblem(err)).To(BeTrue(), "%v", err)
			Expect(srv.Runs("k"+method, method)).To(Equal(load.Runs{
				Keys: map[string]int{"k" + method: 1}, Requests: map[string]int{method: 1}, Repeated: []string{},
			}))
		}
		reply, err := e.Do(ctx, &core.Call{Method: "GET", Path: "/order", IdempotencyKey: "kGET"})
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(reply.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(srv.Runs("", "").Repeated).To(Equal([]string{"kGET"}))
	})

	// Guards against statistics that miss requests above the limit.
	It("records violations and refuses requests far above the limit", func() {
		set := plain.Defaults
		set.ColdLimit, set.MaxLimit, set.CompletionsPerSlot, set.RefuseFactor, set.DelayMs = 2, 3, 4, 2, 50
		srv, e := start(set)
		codes := make(chan int, 6)
		for i := range 6 {
			go func() {
				reply, err := e.Do(ctx, &core.Call{Method: "POST", Path: "/", RequestID: fmt.Sprint(i)})
				if err != nil {
					codes <- 0
					return
				}
				_, _ = io.ReadAll(reply.Body)
				codes <- reply.Status
			}()
		}
		n := map[int]int{}
		for range 6 {
			n[<-codes]++
		}
		Expect(n).To(Equal(map[int]int{200: 4, 503: 2}))
		st := srv.Stats()
		Expect(st).To(Equal(load.Stats{Limit: 3, MaxInflight: 4, MaxExcess: 3, Violations: 4, Started: 4, Completed: 4, Refused: 2}))
		srv.ResetToCold()
		Expect(srv.Stats().Limit).To(Equal(2))
	})
})
