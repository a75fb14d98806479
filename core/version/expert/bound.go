package expert

import "parsleyroute.example/core"

// LowerBound returns a skew below which no map of the shape can be for the
// load. In each layer a rank carries at least the largest replica, which is
// smallest under greedy replication, and at least the mean. It is exact with
// one slot a rank; with more slots the best map may lie above it.
func LowerBound(load core.ExpertLoad, s Shape) float64 {
	var slowest, mean float64
	for l := range s.Layers {
		m := total(load[l]) / float64(s.Ranks)
		slowest += max(m, largestReplica(load[l], replicate(load[l], s.Ranks, s.Ranks*s.SlotsPerRank)))
		mean += m
	}
	return ratio(slowest, mean)
}

func largestReplica(load []float64, n []int) float64 {
	largest := 0.0
	for e, v := range load {
		largest = max(largest, v/float64(n[e]))
	}
	return largest
}
