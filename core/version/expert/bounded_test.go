package expert_test

import (
	"math"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"parsleyroute.example/core"
	"parsleyroute.example/core/version/expert"
)

// TestBounded guards against plans that a rank must refuse (too many experts or
// too many new ones), that lose an expert, or that make a set worse.
func TestBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		s := shapes(t)
		load := loads(t, s, "load")
		p := expert.Bounded{
			MaxPerSet: s.SlotsPerRank + rapid.IntRange(0, 2).Draw(t, "free"), MaxNewPerSet: rapid.IntRange(1, 3).Draw(t, "spare"),
			MaxNewPerRank: rapid.IntRange(0, 4).Draw(t, "rank spare"),
		}
		current := expert.RoundRobin(s.Layers, s.Ranks, s.Experts)
		for range 3 {
			next := p.Place(current, load)
			if next == nil {
				return
			}
			_, most := current.NewExperts(next)
			if p.MaxNewPerRank > 0 {
				g.Expect(most).To(BeNumerically("<=", p.MaxNewPerRank))
			}
			for l := range next {
				held := map[int]bool{}
				for r, list := range next[l] {
					g.Expect(len(list)).To(BeNumerically("<=", p.MaxPerSet))
					fresh := 0
					seen := map[int]bool{}
					for _, e := range list {
						g.Expect(seen[e]).To(BeFalse(), "rank %d holds expert %d twice", r, e)
						seen[e], held[e] = true, true
						if !slices.Contains(current[l][r], e) {
							fresh++
						}
					}
					g.Expect(fresh).To(BeNumerically("<=", p.MaxNewPerSet))
				}
				g.Expect(held).To(HaveLen(s.Experts))
			}
			g.Expect(next.Skew(load, nil)).To(BeNumerically("<=", current.Skew(load, nil)+1e-9))
			current = next
		}
	})
}

// engineLoad returns a load as the engines have it: a few of 72 experts in each of
// four sets take a tenth of the tokens each.
func engineLoad() core.ExpertLoad {
	load := make(core.ExpertLoad, 4)
	for s := range load {
		load[s] = make([]float64, 72)
		for e := range load[s] {
			load[s][e] = math.Pow(float64((e*29+s*7)%72+1), -1.3)
		}
	}
	return load
}

// TestBoundedBalances guards against a search that ends far from balance on a
// load as the engines have it: a few experts with a tenth of the load each.
func TestBoundedBalances(t *testing.T) {
	g := NewWithT(t)
	load := engineLoad()
	lists := expert.RoundRobin(4, 12, 72)
	g.Expect(lists.Skew(load, nil)).To(BeNumerically(">", 2))
	p := expert.Bounded{MaxPerSet: 8, MaxNewPerSet: 3, MaxNewPerRank: 3, TargetSkew: 1.1, MoveCost: 0.03}
	for range 3 {
		if next := p.Place(lists, load); next != nil {
			lists = next
		}
	}
	g.Expect(lists.Skew(load, nil)).To(BeNumerically("<", 1.35))
}

// TestBoundedRelievesSlowRanks guards against a slow rank that keeps its part of
// the experts and slows all passes.
func TestBoundedRelievesSlowRanks(t *testing.T) {
	g := NewWithT(t)
	load := core.ExpertLoad{make([]float64, 72)}
	for e := range load[0] {
		load[0][e] = 1
	}
	pace := []float64{1, 1, 1, 5, 1, 1, 1, 1, 1, 1, 1, 1}
	lists := expert.RoundRobin(1, 12, 72)
	g.Expect(lists.Skew(load, pace)).To(BeNumerically("~", 5, 0.01))
	p := expert.Bounded{MaxPerSet: 8, MaxNewPerSet: 3, MaxNewPerRank: 3, TargetSkew: 1.1, MoveCost: 0.03, Pace: pace}
	for range 3 {
		if next := p.Place(lists, load); next != nil {
			lists = next
		}
	}
	g.Expect(lists.Skew(load, pace)).To(BeNumerically("<", 1.5))
	// A rank at a tenth of the others' pace gives up all but what it must hold.
	pace[3] = 10
	for range 4 {
		if next := p.Place(lists, load); next != nil {
			lists = next
		}
	}
	g.Expect(lists.Skew(load, pace)).To(BeNumerically("<", 1.4))
}
