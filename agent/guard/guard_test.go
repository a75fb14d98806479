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
	seed.Specs(t, "guard")
}

// upstream gives every call the same failure. It lets go of a call when let is
// closed.
type failingUpstream struct {
	engine.Plain
	err     error
	release chan struct{}
}

func (u *failingUpstream) Do(_ context.Context, c *core.Call) (*core.Reply, error) {
	go func() { <-u.release; c.OnRelease() }()
	return nil, u.err
}

// warm returns a gate at its limit of 8; cold it is 2.
func warmGate() *ramp.Gate {
	g := &ramp.Gate{Clock: clock.Real{}}
	g.Configure(ramp.Config{Limit: 8, Cold: 2, Step: 1})
	for g.Load("").Limit < 8 {
		var slots []*ramp.Slot
		for range g.Load("").Limit {
			s, refusal := g.Acquire("e")
			Expect(refusal).To(BeNil())
			s.FirstByte()
			slots = append(slots, s)
		}
		for _, s := range slots {
			s.Release(false)
		}
	}
	return g
}

var _ = Describe("Guard", func() {
	serve := func(gate *ramp.Gate, u *failingUpstream) {
		g := &guard.Handler{
			Upstream: "u", Gate: gate, Ledger: &ledger.Ledger{Clock: clock.Real{}}, Engine: u,
			Logger: log.NewNopLogger(), BaseContext: context.Background(),
		}
		conn, peer := net.Pipe()
		defer func() { _ = conn.Close(); _ = peer.Close() }()
		g.Serve(conn, bufio.NewWriter(&bytes.Buffer{}), &wire.Dispatch{Upstream: "u", Attempt: &wire.Attempt{RequestId: "r"}}, nil)
	}

	// Guards against an agent that goes on at half of the warm limit although
	// the upstream has said that it bears less.
	It("goes back to the cold limit when the upstream refuses a request as overloaded", func() {
		gate, release := warmGate(), make(chan struct{})
		close(release)
		serve(gate, &failingUpstream{err: core.NewRefusal(core.ReasonUpstreamBusy, "full"), release: release})
		Expect(gate.Load("").Limit).To(Equal(2))
	})

	// Guards against a caller whose short deadlines take the upstream's limit
	// from all others.
	It("keeps the limit when a caller's deadline passes", func() {
		gate, release := warmGate(), make(chan struct{})
		close(release)
		serve(gate, &failingUpstream{err: trace.ConnectionProblem(context.DeadlineExceeded, "the call was given up"), release: release})
		Eventually(func() int { return gate.Load("").Inflight }, "5s").Should(BeZero())
		Expect(gate.Load("").Limit).To(Equal(8))
	})

	// Guards against one request too many at an upstream that still runs a
	// cancelled one.
	It("keeps the place of a cancelled request until the upstream has let go of it", func() {
		gate, release := warmGate(), make(chan struct{})
		serve(gate, &failingUpstream{err: trace.Wrap(context.Canceled), release: release})
		Consistently(func() int { return gate.Load("").Inflight }, 100*time.Millisecond).Should(Equal(1))
		close(release)
		Eventually(func() int { return gate.Load("").Inflight }, "5s").Should(BeZero())
	})
})
