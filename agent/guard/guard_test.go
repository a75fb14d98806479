package guard_test

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/gravitational/trace"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"parsleyroute.example/agent/guard"
	"parsleyroute.example/core"
	"parsleyroute.example/core/process/clock"
	"parsleyroute.example/core/process/engine"
	"parsleyroute.example/core/process/ramp"
	"parsleyroute.example/core/request/ledger"
	"parsleyroute.example/core/suite/seed"
	"parsleyroute.example/core/wire"
)

func TestHandler(t *testing.T) {
	seed.RunSpecs(t, "guard")
}

// failingUpstream fails every call with err. It releases a call when release is
// closed.
type failingUpstream struct {
	engine.PlainService
	err     error
	release chan struct{}
}

func (u *failingUpstream) Do(_ context.Context, c *core.Call) (*core.Reply, error) {
	go func() { <-u.release; c.OnRelease() }()
	return nil, u.err
}

// warmLimiter returns a limiter that has reached its limit of 8; its cold limit is
// 2.
func warmLimiter() *ramp.Limiter {
	limiter := &ramp.Limiter{Clock: clock.Real{}}
	limiter.Configure(ramp.Config{Limit: 8, ColdLimit: 2, CompletionsPerStep: 1})
	for limiter.Load("").Limit < 8 {
		var slots []*ramp.Slot
		for range limiter.Load("").Limit {
			s, refusal := limiter.Acquire("e")
			Expect(refusal).To(BeNil())
			s.RecordFirstByte()
			slots = append(slots, s)
		}
		for _, s := range slots {
			s.Release(false)
		}
	}
	return limiter
}

var _ = Describe("Handler", func() {
	serve := func(limiter *ramp.Limiter, u *failingUpstream) {
		h := &guard.Handler{
			Upstream: "u", Limiter: limiter, Ledger: &ledger.Ledger{Clock: clock.Real{}}, Engine: u,
			Logger: log.NewNopLogger(), BaseContext: context.Background(),
		}
		conn, peer := net.Pipe()
		defer func() { _ = conn.Close(); _ = peer.Close() }()
		h.Serve(conn, bufio.NewWriter(&bytes.Buffer{}), &wire.Dispatch{Upstream: "u", Attempt: &wire.Attempt{RequestId: "r"}}, nil)
	}

	// Guards against an agent that continues at half of the warm limit although the
	// upstream has refused a request because its capacity is lower.
	It("returns to the cold limit when the upstream refuses a request as overloaded", func() {
		limiter, release := warmLimiter(), make(chan struct{})
		close(release)
		serve(limiter, &failingUpstream{err: core.NewRefusal(core.ReasonUpstreamBusy, "full"), release: release})
		Expect(limiter.Load("").Limit).To(Equal(2))
	})

	// Guards against a caller whose short deadlines reduce the limit of the upstream
	// for all callers.
	It("keeps the limit when a caller's deadline passes", func() {
		limiter, release := warmLimiter(), make(chan struct{})
		close(release)
		serve(limiter, &failingUpstream{err: trace.ConnectionProblem(context.DeadlineExceeded, "the call was canceled"), release: release})
		Eventually(func() int { return limiter.Load("").Inflight }, "5s").Should(BeZero())
		Expect(limiter.Load("").Limit).To(Equal(8))
	})

	// Guards against exceeding the limit at an upstream that still runs a canceled
	// request.
	It("keeps the slot of a canceled request until the upstream has released it", func() {
		limiter, release := warmLimiter(), make(chan struct{})
		serve(limiter, &failingUpstream{err: trace.Wrap(context.Canceled), release: release})
		Consistently(func() int { return limiter.Load("").Inflight }, 100*time.Millisecond).Should(Equal(1))
		close(release)
		Eventually(func() int { return limiter.Load("").Inflight }, "5s").Should(BeZero())
	})
})
