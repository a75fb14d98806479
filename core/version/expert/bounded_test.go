package expert_test

import (
	"math"
	"slices"
	"testing"

	"github.com/gravitational/trace"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"parsleyroute.example/core"
	"parsleyroute.example/core/version/expert"
)

// TestBoundedKeepsLimits guards against placements that a rank must refuse, since
// it would hold too many experts or too many new ones, that lose an expert, or
// that increase the skew.
func TestBoundedKeepsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		s := drawShape(t)
		load := drawLoad(t, s, "load")
		p := expert.Bounded{
			MaxPerSet: s.SlotsPerRank + rapid.IntRange(0, 2).Draw(t, "free"), MaxNewPerSet: rapid.IntRange(1, 3).Draw(t, "max new per set"),
			MaxNewPerRank: rapid.IntRange(0, 4).Draw(t, "max new per rank"),
		}
		current := expert.RoundRobin(s.Layers, s.Ranks, s.Experts)
		for range 3 {
			next := p.Place(current, load)
			if next == nil {
				return
			}
			_, maxNew := current.NewExperts(next)
			if p.MaxNewPerRank > 0 {
				g.Expect(maxNew).To(BeNumerically("<=", p.MaxNewPerRank))
			}
			for l := range next {
				held := map[int]bool{}
				for r, list := range next[l] {
					g.Expect(len(list)).To(BeNumerically("<=", p.MaxPerSet))
					newExperts := 0
					seen := map[int]bool{}
					for _, e := range list {
						g.Expect(seen[e]).To(BeFalse(), "rank %d holds expert %d twice", r, e)
						seen[e], held[e] = true, true
						if !slices.Contains(current[l][r], e) {
							newExperts++
						}
					}
					g.Expect(newExperts).To(BeNumerically("<=", p.MaxNewPerSet))
				}
				g.Expect(held).To(HaveLen(s.Experts))
			}
			g.Expect(next.Skew(load, nil)).To(BeNumerically("<=", current.Skew(load, nil)+1e-9))
			current = next
		}
	})
}

// Guards against a placement that ranks refuse, since an expert is missing in it or a rank
// holds too many.
func TestComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		s := drawShape(t)
		maxPerSet, maxNew := s.SlotsPerRank+rapid.IntRange(0, 1).Draw(t, "free"), rapid.IntRange(1, 3).Draw(t, "max new")
		p := expert.RoundRobin(s.Layers, s.Ranks, s.Experts)
		for l := range p {
			for r := range p[l] {
				for i := range p[l][r] {
					if rapid.IntRange(0, 3).Draw(t, "changed") == 0 {
						e := rapid.IntRange(0, s.Experts-1).Draw(t, "expert")
						if !slices.Contains(p[l][r], e) {
							p[l][r][i] = e
						}
					}
				}
			}
		}
		before := p.Clone()
		next, err := p.Complete(s.Experts, maxPerSet, maxNew)
		g.Expect(p).To(Equal(before), "the receiver is not changed")
		if err != nil {
			g.Expect(trace.IsLimitExceeded(err)).To(BeTrue())
			return
		}
		for l := range next {
			held := map[int]bool{}
			for r, list := range next[l] {
				g.Expect(len(list)).To(BeNumerically("<=", maxPerSet))
				added := 0
				for _, e := range list {
					held[e] = true
					if !slices.Contains(p[l][r], e) {
						added++
					}
				}
				g.Expect(added).To(BeNumerically("<=", maxNew))
				g.Expect(slices.Compact(slices.Sorted(slices.Values(list)))).To(HaveLen(len(list)))
			}
			g.Expect(held).To(HaveLen(s.Experts))
		}
	})
}

// skewedLoad returns a load with a skew typical of the engines: in each of four
// sets, a few of the 72 experts get a tenth of the tokens each.
func skewedLoad() core.ExpertLoad {
	load := make(core.ExpertLoad, 4)
	for s := range load {
		load[s] = make([]float64, 72)
		for e := range load[s] {
			load[s][e] = math.Pow(float64((e*29+s*7)%72+1), -1.3)
		}
	}
	return load
}

// TestBoundedBalancesSkewedLoad guards against a search that ends far from
// balance on a load with a typical skew.
func TestBoundedBalancesSkewedLoad(t *testing.T) {
	g := NewWithT(t)
	load := skewedLoad()
	placement := expert.RoundRobin(4, 12, 72)
	g.Expect(placement.Skew(load, nil)).To(BeNumerically(">", 2))
	p := expert.Bounded{MaxPerSet: 8, MaxNewPerSet: 3, MaxNewPerRank: 3, TargetSkew: 1.1, MoveCost: 0.03}
	for range 3 {
		if next := p.Place(placement, load); next != nil {
			placement = next
		}
	}
	g.Expect(placement.Skew(load, nil)).To(BeNumerically("<", 1.35))
}

// TestBoundedRelievesSlowRanks guards against a slow rank that keeps its share of
// the experts and thereby slows all forward passes.
func TestBoundedRelievesSlowRanks(t *testing.T) {
	g := NewWithT(t)
	load := core.ExpertLoad{make([]float64, 72)}
	for e := range load[0] {
		load[0][e] = 1
	}
	slowdowns := []float64{1, 1, 1, 5, 1, 1, 1, 1, 1, 1, 1, 1}
	placement := expert.RoundRobin(1, 12, 72)
	g.Expect(placement.Skew(load, slowdowns)).To(BeNumerically("~", 5, 0.01))
	p := expert.Bounded{MaxPerSet: 8, MaxNewPerSet: 3, MaxNewPerRank: 3, TargetSkew: 1.1, MoveCost: 0.03, Slowdowns: slowdowns}
	for range 3 {
		if next := p.Place(placement, load); next != nil {
			placement = next
		}
	}
	g.Expect(placement.Skew(load, slowdowns)).To(BeNumerically("<", 1.5))
	// A rank that is ten times slower than the others should drop all experts
	// that other ranks hold too.
	slowdowns[3] = 10
	for range 4 {
		if next := p.Place(placement, load); next != nil {
			placement = next
		}
	}
	g.Expect(placement.Skew(load, slowdowns)).To(BeNumerically("<", 1.4))
}
