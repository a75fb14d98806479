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

func TestGuard(t *testing.T) {
	seed.Specs(t, "guard")
}

// upstream gives every call the same failure. It lets go of a call when let is
// closed.
type upstream struct {
	engine.PlainService
	err error
	let chan struct{}
}

func (u *upstream) Do(_ context.Context, c *core.Call) (*core.Reply, error) {
	go func() { <-u.let; c.Left() }()
	return nil, u.err
}

// warm returns a gate at its limit of 8; cold it is 2.
func warm() *ramp.Limiter {
	g := &ramp.Limiter{Clock: clock.Real{}}
	g.Configure(ramp.Config{Limit: 8, ColdLimit: 2, CompletionsPerStep: 1})
	for g.Load("").Limit < 8 {
		var slots []*ramp.Slot
		for range g.Load("").Limit {
			s, refusal := g.Acquire("e")
			Expect(refusal).To(BeNil())
			s.RecordFirstByte()
			slots = append(slots, s)
		}
		for _, s := range slots {
			s.Release(false)
		}
	}
	return g
}

var _ = Describe("Guard", func() {
	serve := func(gate *ramp.Limiter, u *upstream) {
		g := &guard.Guard{
			Upstream: "u", Gate: gate, Ledger: &ledger.Ledger{Clock: clock.Real{}}, Engine: u,
			Logger: log.NewNopLogger(), Base: context.Background(),
		}
		conn, other := net.Pipe()
		defer func() { _ = conn.Close(); _ = other.Close() }()
		g.Serve(conn, bufio.NewWriter(&bytes.Buffer{}), &wire.Dispatch{Upstream: "u", Attempt: &wire.Attempt{RequestId: "r"}}, nil)
	}

	// Guards against an agent that goes on at half of the warm limit although
	// the upstream has said that it bears less.
	It("goes back to the cold limit when the upstream refuses a request as overloaded", func() {
		gate, let := warm(), make(chan struct{})
		close(let)
		serve(gate, &upstream{err: core.Refuse(core.ReasonUpstreamBusy, "full"), let: let})
		Expect(gate.Load("").Limit).To(Equal(2))
	})

	// Guards against a caller whose short deadlines take the upstream's limit
	// from all others.
	It("keeps the limit when a caller's deadline passes", func() {
		gate, let := warm(), make(chan struct{})
		close(let)
		serve(gate, &upstream{err: trace.ConnectionProblem(context.DeadlineExceeded, "the call was given up"), let: let})
		Eventually(func() int { return gate.Load("").Inflight }, "5s").Should(BeZero())
		Expect(gate.Load("").Limit).To(Equal(8))
	})

	// Guards against one request too many at an upstream that still runs a
	// cancelled one.
	It("keeps the place of a cancelled request until the upstream has let go of it", func() {
		gate, let := warm(), make(chan struct{})
		serve(gate, &upstream{err: trace.Wrap(context.Canceled), let: let})
		Consistently(func() int { return gate.Load("").Inflight }, 100*time.Millisecond).Should(Equal(1))
		close(let)
		Eventually(func() int { return gate.Load("").Inflight }, "5s").Should(BeZero())
	})
})
