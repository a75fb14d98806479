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

// skewed returns a group of four ranks with eight experts in turn. The experts of
// the first rank are in demand by the factor hot against the others.
func skewed(hot float64) *group {
	load := core.ExpertLoad{make([]float64, 8)}
	for e := range load[0] {
		load[0][e] = 100
		if e%4 == 0 {
			load[0][e] *= hot
		}
	}
	return &group{
		spec: &Spec{Members: make([]core.RankAddr, 4), Size: 4, Engine: core.EngineConfig{
			LayerSets: 1, Experts: 8, SlotsPerRank: 3, MaxNewExperts: 2, ExpertShare: 0.85,
		}},
		lists: expert.InTurn(1, 4, 8), load: load, observed: time.Second,
	}
}

// TestBetterWithRoom guards against experts that are copied for a gain that no
// caller sees, since the pauses are far below those on time, and against maps
// that are left as they are while the passes are short of time.
func TestBetterWithRoom(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		what       string
		hot, share float64
		swaps      bool
	}{
		{"a small skew and passes that fill the pause", 1.7, 0.8, true},
		{"a small skew and passes of unknown length", 1.7, 0, true},
		{"a small skew and room", 1.7, 0.3, false},
		{"a great skew and room", 12, 0.3, true},
	} {
		group := skewed(c.hot)
		group.pauseShare = c.share
		g.Expect(group.better() != nil).To(Equal(c.swaps), c.what)
	}
}

// reporter is a group in which each rank has chosen the experts of one set as
// often as its counts say.
type reporter struct {
	mu     sync.Mutex
	ranks  int
	step   uint64
	counts int
}

func (r *reporter) Report(_ context.Context, a core.RankAddr, counts bool) (core.RankReport, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rank := int(a.Engine.Port())
	rep := core.RankReport{Group: "g", Epoch: 1, Open: true, Rank: rank, GroupSize: r.ranks, Step: r.step, StartTime: 1}
	if counts {
		r.counts++
		rep.ExpertCounts = []uint64{3 * r.step, r.step}
	}
	return rep, nil
}

func (r *reporter) Placement(context.Context, core.RankAddr) (uint64, [][]int, error) {
	return 0, [][]int{{0, 1}}, nil
}

func (r *reporter) Order(context.Context, core.RankAddr, core.RankOrder) error { return nil }

// TestCountsOfSome guards against a leader that reads the counts of all ranks of
// a large group in each round, against one that does not read them all in a
// small one, and against a load that differs from that of all ranks.
func TestCountsOfSome(t *testing.T) {
	g := NewWithT(t)
	for ranks, most := range map[int]int{2: 2, 12: 12, 13: 12, 63: 12, 256: 12} {
		r := &reporter{ranks: ranks}
		spec := &Spec{Name: "g", Size: ranks, Engine: core.EngineConfig{LayerSets: 1, Experts: 2, SlotsPerRank: 2, ExpertShare: 0.85}}
		for i := range ranks {
			spec.Members = append(spec.Members, core.RankAddr{Engine: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i))})
		}
		group := &group{ranks: r, direct: r, spec: spec, pauseShare: 0}
		const rounds = 4
		for i := range rounds {
			r.step = uint64(1000 * (i + 1))
			g.Expect(group.round(t.Context())).To(Succeed())
		}
		g.Expect(r.counts).To(BeNumerically("<=", rounds*most), "%d ranks", ranks)
		g.Expect(r.counts).To(BeNumerically(">=", rounds*min(ranks, 7)), "%d ranks", ranks)
		g.Expect(group.load[0][0] / group.load[0][1]).To(BeNumerically("~", 3, 0.01))
	}
}
