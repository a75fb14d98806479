package ranks

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gravitational/trace"
	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
)

// silentRanks is a client of ranks that report but do not respond to orders.
type silentRanks struct {
	core.RankClient
	orders atomic.Int64
}

func (*silentRanks) Report(ctx context.Context, a core.RankAddr, _ bool) (core.RankReport, error) {
	if ctx.Err() != nil {
		return core.RankReport{}, trace.ConnectionProblem(ctx.Err(), "canceled")
	}
	return core.RankReport{Epoch: 1, Open: true, Rank: int(a.Engine.Port()), Armed: a.Engine.Port() == 0, ArmedMap: 7, ArmedStep: 20, Step: 10}, nil
}

func (r *silentRanks) Order(ctx context.Context, _ core.RankAddr, _ core.RankOrder) error {
	r.orders.Add(1)
	<-ctx.Done()
	return trace.ConnectionProblem(ctx.Err(), "no response")
}

// Guards against a former leader that repeats orders without a pause and never stops,
// which takes the processor time of all its other work.
func TestFinishSwitchEndsInTime(t *testing.T) {
	g := NewWithT(t)
	ranks := &silentRanks{}
	group := &group{ranks: ranks, direct: ranks, epoch: 1, token: 3, spec: &GroupSpec{Name: "g", Size: 4}}
	for i := range 4 {
		group.spec.Members = append(group.spec.Members, core.RankAddr{Engine: netip.AddrPortFrom(netip.Addr{}, uint16(i))})
	}
	done := make(chan error, 1)
	go func() {
		done <- group.finishSwitch(context.Background(), &unfinishedSwitch{armedCount: 1, version: 7, step: 20})
	}()
	g.Eventually(done, recoverTimeout+time.Second).Should(Receive(HaveOccurred()))
	g.Expect(ranks.orders.Load()).To(BeNumerically("<=", 4*(recoverTimeout/orderTimeout+1)))
}
