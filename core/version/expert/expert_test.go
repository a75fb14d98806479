package expert_test

import (
	"math"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"parsleyroute.example/core"
	_ "parsleyroute.example/core/suite/seed"
	"parsleyroute.example/core/version/expert"
)

var placers = map[string]core.Placer{
	"static":      expert.Static{},
	"repack":      expert.Repack{},
	"incremental": expert.Incremental{},
}

// drawShape returns a random shape for which a valid map exists.
func drawShape(t *rapid.T) expert.Shape {
	s := expert.Shape{
		Layers:  rapid.IntRange(1, 3).Draw(t, "layers"),
		Ranks:   rapid.IntRange(1, 9).Draw(t, "ranks"),
		Experts: rapid.IntRange(1, 12).Draw(t, "experts"),
	}
	minSlots := (s.Experts + s.Ranks - 1) / s.Ranks
	s.SlotsPerRank = rapid.IntRange(minSlots, s.Experts).Draw(t, "slots")
	return s
}

// drawLoad returns a random load of the shape that is not zero in all layers.
func drawLoad(t *rapid.T, s expert.Shape, label string) core.ExpertLoad {
	load := make(core.ExpertLoad, s.Layers)
	for l := range load {
		load[l] = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) float64 {
			return math.Exp(rapid.Float64Range(-3, 5).Draw(t, "log")) * float64(rapid.IntRange(0, 3).Draw(t, "times"))
		}), s.Experts, s.Experts).Draw(t, label)
	}
	load[0][0]++
	return load
}

// TestPlacers guards against invalid maps, maps worse than the current one,
// results that differ between equal calls, modified arguments, and a lower bound
// above the skew of an actual map.
func TestPlacers(t *testing.T) {
	for name, p := range placers {
		t.Run(name, rapid.MakeCheck(func(t *rapid.T) {
			s := drawShape(t)
			first, err := expert.Uniform(s, 7)
			if err != nil || expert.Check(first) != nil {
				t.Fatalf("uniform map: %v %v", err, expert.Check(first))
			}
			current := first
			if m := (expert.Repack{}).Place(first, drawLoad(t, s, "old")); m != nil {
				current = m
			}
			load := drawLoad(t, s, "new")
			original := current.Clone()
			m := p.Place(current, load)
			again := p.Place(current, load)
			if !slices.Equal(original.Slots, current.Slots) || original.Epoch != current.Epoch {
				t.Fatal("current map changed")
			}
			if m == nil {
				if again != nil {
					t.Fatal("not deterministic")
				}
				return
			}
			if again == nil || !slices.Equal(m.Slots, again.Slots) {
				t.Fatal("not deterministic")
			}
			if err := expert.Check(m); err != nil {
				t.Fatal(err)
			}
			if m.Epoch != current.Epoch+1 || expert.ShapeOf(m) != s {
				t.Fatalf("epoch %d after %d, shape %v", m.Epoch, current.Epoch, expert.ShapeOf(m))
			}
			after, before, bound := expert.Skew(m, load), expert.Skew(current, load), expert.LowerBound(load, s)
			if after < bound-1e-9 {
				t.Fatalf("skew %v below the lower bound %v", after, bound)
			}
			if name == "incremental" {
				for l := range s.Layers {
					if a, b := expert.LayerSkew(m, load, l), expert.LayerSkew(current, load, l); a > b+1e-9 {
						t.Fatalf("layer %d: skew %v after %v", l, a, b)
					}
				}
				if gain := (before - after) * 60; gain < 0.005*float64(expert.Moves(current, m))-1e-9 {
					t.Fatalf("%d moves for a gain of %v s", expert.Moves(current, m), gain)
				}
			}
			if expert.Moves(m, m) != 0 || expert.Moves(current, m) > len(m.Slots) || expert.Moves(current, m) == 0 {
				t.Fatalf("moves %d", expert.Moves(current, m))
			}
		}))
	}
}

// TestPlacersRejectInvalidInput guards against a placer that returns a map for an
// invalid load or an invalid current map.
func TestPlacersRejectInvalidInput(t *testing.T) {
	g := NewWithT(t)
	m, err := expert.Uniform(expert.Shape{Layers: 1, Ranks: 2, SlotsPerRank: 2, Experts: 3}, 1)
	g.Expect(err).NotTo(HaveOccurred())
	bad := m.Clone()
	bad.Slots[0] = 9
	for name, p := range placers {
		for _, load := range []core.ExpertLoad{nil, {{1, 2}}, {{1, 2, math.NaN()}}, {{-1, 2, 3}}, {{0, 0, 0}}, {{1, 1, math.Inf(1)}}} {
			g.Expect(p.Place(m, load)).To(BeNil(), name)
		}
		g.Expect(p.Place(bad, core.ExpertLoad{{1, 2, 3}})).To(BeNil(), name)
		g.Expect(p.Place(nil, core.ExpertLoad{{1, 2, 3}})).To(BeNil(), name)
	}
	_, err = expert.Uniform(expert.Shape{Layers: 1, Ranks: 2, SlotsPerRank: 1, Experts: 3}, 1)
	g.Expect(err).To(HaveOccurred())
}

// TestSkewMovesAndMovingAverage compares Skew, LayerSkew, Moves, LowerBound and
// MovingAverage with values computed by hand.
func TestSkewMovesAndMovingAverage(t *testing.T) {
	g := NewWithT(t)
	m := &core.ExpertMap{Layers: 2, Ranks: 2, SlotsPerRank: 2, Experts: 3, Slots: []uint32{0, 1, 0, 2, 0, 1, 1, 2}}
	load := core.ExpertLoad{{4, 1, 3}, {2, 2, 2}}
	g.Expect(expert.Check(m)).To(Succeed())
	g.Expect(expert.LayerSkew(m, load, 0)).To(BeNumerically("~", 5.0/4))
	g.Expect(expert.LayerSkew(m, load, 1)).To(BeNumerically("~", 1))
	g.Expect(expert.Skew(m, load)).To(BeNumerically("~", 8.0/7))
	b := m.Clone()
	copy(b.Slots, []uint32{1, 0, 2, 1})
	g.Expect(expert.Moves(m, b)).To(Equal(1))
	oneSlot := expert.Shape{Layers: 1, Ranks: 4, SlotsPerRank: 1, Experts: 2}
	g.Expect(expert.LowerBound(core.ExpertLoad{{9, 1}}, oneSlot)).To(BeNumerically("~", 3/2.5))
	avg := expert.MovingAverage{HalfLife: time.Second}
	avg.Add(core.ExpertLoad{{4}}, time.Second)
	g.Expect(avg.Add(core.ExpertLoad{{1}}, time.Second)[0][0]).To(BeNumerically("~", (4*0.25+1*0.5)/0.75))
	avg = expert.MovingAverage{HalfLife: time.Second}
	avg.Add(core.ExpertLoad{{4, 4}}, time.Second)
	g.Expect(avg.Add(core.ExpertLoad{{1, 7}}, time.Second)).To(Equal(core.ExpertLoad{{1, 7}}), "a sudden shift starts a new average")
}

func BenchmarkPlace256x64x60(b *testing.B) {
	s := expert.Shape{Layers: 60, Ranks: 256, SlotsPerRank: 2, Experts: 64}
	m, err := expert.Uniform(s, 1)
	if err != nil {
		b.Fatal(err)
	}
	old, shifted := make(core.ExpertLoad, s.Layers), make(core.ExpertLoad, s.Layers)
	for l := range old {
		old[l], shifted[l] = make([]float64, s.Experts), make([]float64, s.Experts)
		for e := range s.Experts {
			old[l][e] = math.Exp(math.Sin(float64(l*s.Experts + e*e)))
			shifted[l][e] = math.Exp(math.Sin(float64(l*s.Experts + e*e*7)))
		}
	}
	m = expert.Incremental{}.Place(m, old)
	drifted := make(core.ExpertLoad, s.Layers)
	for l := range old {
		drifted[l] = make([]float64, s.Experts)
		for e, v := range old[l] {
			drifted[l][e] = v * (1 + 0.02*math.Sin(float64(l+e)))
		}
	}
	for _, c := range []struct {
		name string
		p    core.Placer
		load core.ExpertLoad
	}{
		{"repack", expert.Repack{}, shifted},
		{"incremental/shift", expert.Incremental{}, shifted},
		{"incremental/drift", expert.Incremental{}, drifted},
	} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				c.p.Place(m, c.load)
			}
		})
	}
}
