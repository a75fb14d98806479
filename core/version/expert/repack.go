package expert

import "parsleyroute.example/core"

// Repack computes each map from the load alone: greedy replication of the most
// loaded experts, then longest processing time first (Graham 1969) with a limited
// number of slots per rank. It is the baseline that ignores the cost of moves.
type Repack struct{}

// Place implements core.Placer.
func (Repack) Place(current *core.ExpertMap, load core.ExpertLoad) *core.ExpertMap {
	if !validInput(current, load) {
		return nil
	}
	m := newMap(ShapeOf(current), current.Epoch+1)
	for l := range m.Layers {
		repackLayer(layerSlots(m, l), load[l], m.Ranks, m.SlotsPerRank)
	}
	if Moves(current, m) == 0 {
		return nil
	}
	return m
}

func repackLayer(dst []uint32, load []float64, ranks, perRank int) {
	pack(dst, load, replicate(load, ranks, ranks*perRank), ranks, perRank)
}
