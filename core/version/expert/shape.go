package expert

import (
	"math"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
)

// Shape gives the dimensions of a map.
type Shape struct {
	Layers, Ranks, SlotsPerRank, Experts int
}

// ShapeOf returns the dimensions of m.
func ShapeOf(m *core.ExpertMap) Shape {
	return Shape{Layers: m.Layers, Ranks: m.Ranks, SlotsPerRank: m.SlotsPerRank, Experts: m.Experts}
}

// Check returns trace.BadParameter if no valid map has the shape.
func (s Shape) Check() error {
	switch {
	case s.Layers < 1 || s.Ranks < 1 || s.SlotsPerRank < 1 || s.Experts < 1:
		return trace.BadParameter("map of %d layers, %d ranks, %d slots, %d experts: all must be positive",
			s.Layers, s.Ranks, s.SlotsPerRank, s.Experts)
	case s.Ranks*s.SlotsPerRank < s.Experts:
		return trace.BadParameter("%d ranks of %d slots cannot hold %d experts", s.Ranks, s.SlotsPerRank, s.Experts)
	case s.SlotsPerRank > s.Experts:
		return trace.BadParameter("%d slots per rank exceed %d experts", s.SlotsPerRank, s.Experts)
	}
	return nil
}

// Check returns trace.BadParameter if m is not a valid map.
func Check(m *core.ExpertMap) error {
	if m == nil {
		return trace.BadParameter("no expert map")
	}
	s := ShapeOf(m)
	if err := s.Check(); err != nil {
		return err
	}
	if len(m.Slots) != s.Layers*s.Ranks*s.SlotsPerRank {
		return trace.BadParameter("map has %d slots, want %d", len(m.Slots), s.Layers*s.Ranks*s.SlotsPerRank)
	}
	for l := range s.Layers {
		seen := make([]int, s.Experts) // the last rank that holds the expert, plus one
		for r := range s.Ranks {
			for i := range s.SlotsPerRank {
				e := int(m.At(l, r, i))
				if e >= s.Experts {
					return trace.BadParameter("layer %d rank %d slot %d: expert %d of %d", l, r, i, e, s.Experts)
				}
				if seen[e] == r+1 {
					return trace.BadParameter("layer %d rank %d holds expert %d twice", l, r, e)
				}
				seen[e] = r + 1
			}
		}
		for e, r := range seen {
			if r == 0 {
				return trace.BadParameter("layer %d has no replica of expert %d", l, e)
			}
		}
	}
	return nil
}

// CheckLoad returns trace.BadParameter if load does not fit the shape, has a
// negative or non-finite value, or is zero in all layers.
func CheckLoad(load core.ExpertLoad, s Shape) error {
	if len(load) != s.Layers {
		return trace.BadParameter("load has %d layers, want %d", len(load), s.Layers)
	}
	sum := 0.0
	for l, row := range load {
		if len(row) != s.Experts {
			return trace.BadParameter("load of layer %d has %d experts, want %d", l, len(row), s.Experts)
		}
		for e, v := range row {
			if v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
				return trace.BadParameter("load of layer %d expert %d is %v", l, e, v)
			}
			sum += v
		}
	}
	if sum == 0 || math.IsInf(sum, 0) {
		return trace.BadParameter("total load is %v", sum)
	}
	return nil
}

// validInput reports whether the map is valid and the load fits it.
func validInput(m *core.ExpertMap, load core.ExpertLoad) bool {
	return Check(m) == nil && CheckLoad(load, ShapeOf(m)) == nil
}

// newMap returns a map of the shape with all slots zero.
func newMap(s Shape, epoch uint64) *core.ExpertMap {
	return &core.ExpertMap{
		Epoch: epoch, Layers: s.Layers, Ranks: s.Ranks, SlotsPerRank: s.SlotsPerRank, Experts: s.Experts,
		Slots: make([]uint32, s.Layers*s.Ranks*s.SlotsPerRank),
	}
}

// layerSlots returns the slots of one layer of m, rank by rank.
func layerSlots(m *core.ExpertMap, layer int) []uint32 {
	n := m.Ranks * m.SlotsPerRank
	return m.Slots[layer*n : (layer+1)*n]
}

// Uniform returns a map with the given epoch that is balanced for equal loads of
// all experts. It is used as the first map of a group.
func Uniform(s Shape, epoch uint64) (*core.ExpertMap, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	m := newMap(s, epoch)
	row := make([]float64, s.Experts)
	for e := range row {
		row[e] = 1
	}
	for l := range s.Layers {
		pack(layerSlots(m, l), row, replicate(row, s.Ranks, s.Ranks*s.SlotsPerRank), s.Ranks, s.SlotsPerRank)
	}
	return m, nil
}
