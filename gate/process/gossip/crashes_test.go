package gossip_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/gate/process/gossip"
	"parsleyroute.example/gate/process/policy"
)

// Guards against gates that each need a crash of their own to contain a part, and
// against parts that stay contained although another gate knows that upstreams respond to them.
func TestCrashesReachOtherGates(t *testing.T) {
	g := NewWithT(t)
	a, b := newGossip(t, "a"), newGossip(t, "bb")
	b.Seeds = append(b.Seeds, a.Listen)
	a.Containment, b.Containment = &policy.Containment{}, &policy.Containment{}
	startGossip(t, a)
	startGossip(t, b)
	const crashing, harmless = 7, 8
	a.Containment.Observe(policy.Crash{ID: 1, Upstream: 1, Parts: []uint64{crashing}, At: time.Now()})
	a.Announce()
	contained := func(part uint64) func() bool {
		return func() bool { return b.Containment.Check(time.Now(), []uint64{part}, b.Position()).Contained }
	}
	g.Eventually(contained(crashing), "3s").Should(BeTrue())
	b.Containment.Success(time.Now(), harmless)
	a.Containment.Observe(policy.Crash{ID: 2, Upstream: 2, Parts: []uint64{harmless}, At: time.Now()})
	g.Eventually(func() bool { return a.Containment.Check(time.Now(), []uint64{harmless}, a.Position()).Contained }, "3s").Should(BeFalse())
	g.Consistently(contained(crashing), "300ms").Should(BeTrue())
}

// Guards against two gates that have their turn at the same time.
func TestPositions(t *testing.T) {
	g := NewWithT(t)
	a := newGossip(t, "a")
	b, c := newGossip(t, "bb", a.Listen), newGossip(t, "ccc", a.Listen)
	gates := []*gossip.Gossip{a, b, c}
	for _, gate := range gates {
		startGossip(t, gate)
	}
	g.Eventually(func() map[policy.Position]bool {
		positions := map[policy.Position]bool{}
		for _, gate := range gates {
			positions[gate.Position()] = true
		}
		return positions
	}, "3s").Should(Equal(map[policy.Position]bool{{Index: 0, Gates: 3}: true, {Index: 1, Gates: 3}: true, {Index: 2, Gates: 3}: true}))
}
