package expert

import (
	"slices"
	"time"

	"parsleyroute.example/core"
)

// Incremental improves the current map by few moves. In each layer it searches
// from the current slots; where that ends above what a re-pack reaches, it also
// tries the re-pack with its ranks renamed to overlap the current map. It then
// takes, layer by layer, the intermediate map with the greatest net gain: the
// step time saved over the horizon less the cost of the moves. A layer without
// a positive net gain stays as it is.
type Incremental struct {
	// Horizon is the time over which a better map pays; zero means 60 s.
	Horizon time.Duration
	// MoveCost is the group's time that one moved replica is worth; zero means
	// 5 ms.
	MoveCost time.Duration
	// Tolerance is the excess over the lower bound or the re-pack, as a
	// fraction of the mean load, at which the search ends; zero means 0.005.
	Tolerance float64
}

// Place implements core.Placer.
func (p Incremental) Place(current *core.ExpertMap, load core.ExpertLoad) *core.ExpertMap {
	if !usable(current, load) {
		return nil
	}
	mean := 0.0
	for _, row := range load {
		mean += total(row) / float64(current.Ranks)
	}
	// price is the reduction of a layer's greatest load that pays for one move.
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
		if best := improve(layerSlots(current, l), load[l], m.Ranks, m.SlotsPerRank, price, tolerance); best != nil {
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

// improve returns the slots with the greatest net gain over the current ones,
// or nil if the gain is not positive.
func improve(current []uint32, load []float64, ranks, perRank int, price, tolerance float64) []uint32 {
	mean := total(load) / float64(ranks)
	if mean == 0 {
		return nil
	}
	loads := make([]float64, ranks)
	rankLoads(loads, current, load, perRank)
	before := slices.Max(loads)
	n := replicate(load, ranks, len(current))
	floor := max(mean, largestReplica(load, n))
	if before-floor <= price {
		return nil
	}
	packed := make([]uint32, len(current))
	pack(packed, load, n, ranks, perRank)
	rankLoads(loads, packed, load, perRank)
	repacked := slices.Max(loads)
	target := min(max(floor, repacked), floor+tolerance*mean)
	best, gain := descend(current, current, load, ranks, perRank, target, floor, price)
	// The search is preferred unless the re-pack beats it by more than rounding.
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
