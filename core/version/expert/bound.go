package expert

import "parsleyroute.example/core"

// LowerBound returns a lower bound on the skew of all maps of the shape for the
// load. In each layer the slowest rank carries at least the largest replica,
// which is smallest under greedy replication, and at least the mean load. The
// bound is tight with one slot per rank; with more slots the best map may exceed
// it.
func LowerBound(load core.ExpertLoad, s Shape) float64 {
	var slowest, mean float64
	for l := range s.Layers {
		m := total(load[l]) / float64(s.Ranks)
		slowest += max(m, largestReplica(load[l], replicate(load[l], s.Ranks, s.Ranks*s.SlotsPerRank)))
		mean += m
	}
	return skewRatio(slowest, mean)
}

// largestReplica returns the load of the largest replica of one layer if expert e
// has n[e] replicas.
func largestReplica(load []float64, n []int) float64 {
	largest := 0.0
	for e, v := range load {
		largest = max(largest, v/float64(n[e]))
	}
	return largest
}
