package ranks

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/core/version/expert"
)

// skewedGroup returns a group of four ranks with eight experts placed
// round-robin. The load of the first rank's experts is factor times that of the
// others.
func skewedGroup(factor float64) *group {
	load := core.ExpertLoad{make([]float64, 8)}
	for e := range load[0] {
		load[0][e] = 100
		if e%4 == 0 {
			load[0][e] *= factor
		}
	}
	return &group{
		spec: &GroupSpec{Members: make([]core.RankAddr, 4), Size: 4, Engine: core.EngineConfig{
			LayerSets: 1, Experts: 8, SlotsPerRank: 3, MaxNewExperts: 2, ExpertShare: 0.85,
		}},
		placement: expert.RoundRobin(1, 4, 8), load: load, loadDuration: time.Second,
	}
}

// TestBetterPlacementByGapShare guards against copying experts for a gain that no
// caller notices, because event gaps are far below their limit, and against
// keeping a skewed map while forward passes have little headroom.
func TestBetterPlacementByGapShare(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		name             string
		factor, gapShare float64
		switches         bool
	}{
		{"small skew, little headroom", 1.7, 0.8, true},
		{"small skew, unknown gap share", 1.7, 0, true},
		{"small skew, ample headroom", 1.7, 0.3, false},
		{"large skew, ample headroom", 12, 0.3, true},
	} {
		group := skewedGroup(c.factor)
		group.gapShare = c.gapShare
		g.Expect(group.betterPlacement() != nil).To(Equal(c.switches), c.name)
	}
}

// countingRanks simulates a group with one set of two experts, of which each rank
// selects the first three times as often as the second. It records how often
// counts are read. The port of an engine's address is the number of the rank.
type countingRanks struct {
	mu         sync.Mutex
	ranks      int
	step       uint64
	countReads int
}

func (r *countingRanks) Report(_ context.Context, a core.RankAddr, counts bool) (core.RankReport, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rank := int(a.Engine.Port())
	rep := core.RankReport{Group: "g", Epoch: 1, Open: true, Rank: rank, GroupSize: r.ranks, Step: r.step, StartTime: 1}
	if counts {
		r.countReads++
		rep.ExpertCounts = []uint64{3 * r.step, r.step}
	}
	return rep, nil
}

func (r *countingRanks) Placement(context.Context, core.RankAddr) (uint64, [][]int, error) {
	return 0, [][]int{{0, 1}}, nil
}

func (r *countingRanks) Order(context.Context, core.RankAddr, core.RankOrder) error { return nil }

// TestCountsReadFromSomeRanks guards against a leader that reads the counts of
// too many ranks of a large group or of too few ranks of a small one, and against
// a load computed from some ranks that is not representative of all.
func TestCountsReadFromSomeRanks(t *testing.T) {
	g := NewWithT(t)
	for ranks, maxReads := range map[int]int{2: 2, 12: 12, 13: 12, 63: 12, 256: 12} {
		r := &countingRanks{ranks: ranks}
		spec := &GroupSpec{Name: "g", Size: ranks, Engine: core.EngineConfig{LayerSets: 1, Experts: 2, SlotsPerRank: 2, ExpertShare: 0.85}}
		for i := range ranks {
			spec.Members = append(spec.Members, core.RankAddr{Engine: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i))})
		}
		group := &group{ranks: r, direct: r, spec: spec, gapShare: 0}
		const rounds = 4
		for i := range rounds {
			r.step = uint64(1000 * (i + 1))
			g.Expect(group.runRound(t.Context())).To(Succeed())
		}
		g.Expect(r.countReads).To(BeNumerically("<=", rounds*maxReads), "%d ranks", ranks)
		// Every second one of 13 ranks is read, which are 7. No larger group has
		// fewer ranks read.
		g.Expect(r.countReads).To(BeNumerically(">=", rounds*min(ranks, 7)), "%d ranks", ranks)
		g.Expect(group.load[0][0] / group.load[0][1]).To(BeNumerically("~", 3, 0.01))
	}
}

// TestCopyTimeBoundsMap guards against a map for which ranks copy experts for half
// a second, with slow and skewed passes meanwhile, and against a fast link that is
// used for one expert at a time.
func TestCopyTimeBoundsMap(t *testing.T) {
	g := NewWithT(t)
	for copyTime, want := range map[time.Duration]int{
		0:                      1,
		148 * time.Millisecond: 1,
		400 * time.Millisecond: 1,
		36 * time.Millisecond:  4,
	} {
		g.Expect(maxNewPerRank(&core.EngineConfig{ExpertCopyTime: copyTime})).To(Equal(want), "%s", copyTime)
	}
	// Eight experts of one rank have all the load of each of the three sets.
	group := skewedGroup(12)
	group.spec.Engine.LayerSets, group.spec.Engine.ExpertCopyTime = 3, 148*time.Millisecond
	group.load = core.ExpertLoad{group.load[0], group.load[0], group.load[0]}
	group.placement = expert.RoundRobin(3, 4, 8)
	before := group.placement
	for switches := 0; ; switches++ {
		next := group.betterPlacement()
		if next == nil {
			g.Expect(switches).To(BeNumerically(">", 1))
			break
		}
		_, perRank := group.placement.NewExperts(next)
		g.Expect(perRank).To(Equal(1))
		group.placement = next
	}
	g.Expect(group.placement.Skew(group.load, nil)).To(BeNumerically("<", 0.7*before.Skew(group.load, nil)))
}

// TestRoundInterval guards against a leader whose reports grow with the ranks, and
// against a shift of demand in a small group that is found late.
func TestRoundInterval(t *testing.T) {
	g := NewWithT(t)
	g.Expect(roundInterval(16)).To(Equal(minRoundInterval))
	for _, ranks := range []int{64, 256, 600} {
		g.Expect(float64(ranks) / roundInterval(ranks).Seconds()).To(BeNumerically("<=", maxReadsPerSecond+1))
	}
}

// malformedRanks reports an expert that does not exist.
type malformedRanks struct{ countingRanks }

func (*malformedRanks) Placement(context.Context, core.RankAddr) (uint64, [][]int, error) {
	return 0, [][]int{{0, 7}}, nil
}

// TestMalformedPlacement guards against a rank whose malformed report ends the
// process of the leader.
func TestMalformedPlacement(t *testing.T) {
	g := NewWithT(t)
	r := &malformedRanks{countingRanks{ranks: 1}}
	spec := &GroupSpec{Name: "g", Size: 1, Engine: core.EngineConfig{LayerSets: 1, Experts: 2, SlotsPerRank: 2, ExpertShare: 0.85}, Members: make([]core.RankAddr, 1)}
	group := &group{ranks: r, direct: r, spec: spec}
	for i := range 4 {
		r.step = uint64(1000 * (i + 1))
		g.Expect(group.runRound(t.Context())).To(MatchError(ContainSubstring("lists expert 7")))
	}
}
