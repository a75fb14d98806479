package expert

import (
	"slices"
	"time"

	"parsleyroute.example/core"
)

// Incremental improves the current map with few moves. In each layer it searches
// from the current slots; if Repack reduces the greatest rank load by more than
// the net gain of that search, it also tries the repacked slots, with ranks
// renumbered for the greatest overlap with the current map. Among the
// intermediate results of the search and the repacked slots, it selects those
// with the greatest net gain: the time of forward passes saved over the horizon
// minus the cost of the moves. A layer without a positive net gain is not
// changed.
type Incremental struct {
	// Horizon is the time over which the gain of a better map is counted; zero
	// means 60 s.
	Horizon time.Duration
	// MoveCost is the time of the group that moving one replica costs; zero means
	// 5 ms.
	MoveCost time.Duration
	// Tolerance is the excess of the greatest rank load over its lower bound, as a
	// fraction of the mean rank load, at which the search ends. If Repack comes closer
	// to the bound, the search ends at its result. Zero means 0.005.
	Tolerance float64
}

// Place implements core.Placer.
func (p Incremental) Place(current *core.ExpertMap, load core.ExpertLoad) *core.ExpertMap {
	if !validInput(current, load) {
		return nil
	}
	mean := 0.0
	for _, row := range load {
		mean += total(row) / float64(current.Ranks)
	}
	// price is the reduction of a layer's greatest load that justifies one move.
	price := orDefault(p.MoveCost, 5*time.Millisecond).Seconds() /
		orDefault(p.Horizon, time.Minute).Seconds() * mean
	tolerance := p.Tolerance
	if tolerance == 0 {
		tolerance = 0.005
	}
	m := current.Clone()
	m.Epoch++
	changed := false
	for l := range m.Layers {
		if best := improveLayer(layerSlots(current, l), load[l], m.Ranks, m.SlotsPerRank, price, tolerance); best != nil {
			copy(layerSlots(m, l), best)
			changed = true
		}
	}
	if !changed {
		return nil
	}
	return m
}

func orDefault(d, def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return d
}

// improveLayer returns the slots with the greatest net gain over the current
// ones, or nil if the gain is not positive.
func improveLayer(current []uint32, load []float64, ranks, perRank int, price, tolerance float64) []uint32 {
	mean := total(load) / float64(ranks)
	if mean == 0 {
		return nil
	}
	loads := make([]float64, ranks)
	rankLoads(loads, current, load, perRank)
	before := slices.Max(loads)
	n := replicate(load, ranks, len(current))
	lowerBound := max(mean, largestReplica(load, n))
	if before-lowerBound <= price {
		return nil
	}
	packed := make([]uint32, len(current))
	pack(packed, load, n, ranks, perRank)
	rankLoads(loads, packed, load, perRank)
	repacked := slices.Max(loads)
	target := min(max(lowerBound, repacked), lowerBound+tolerance*mean)
	best, gain := tabuSearch(current, current, load, ranks, perRank, target, lowerBound, price)
	// The search result is preferred: repacking is considered only if its gain
	// before the cost of its moves exceeds the net gain of the search.
	if before-repacked > gain {
		relabel(packed, current, ranks, perRank)
		if g := before - repacked - price*float64(layerMoves(current, packed, perRank)); g > gain {
			best, gain = packed, g
		}
	}
	if gain <= 0 {
		return nil
	}
	return best
}
