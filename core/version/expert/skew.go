package expert

import (
	"slices"

	"parsleyroute.example/core"
)

// Skew returns the skew of a forward pass. In each layer all ranks wait for the
// slowest one, so the skew is the sum over the layers of the greatest rank load
// divided by the sum of the mean rank loads. It is 1 without load.
func Skew(m *core.ExpertMap, load core.ExpertLoad) float64 {
	var slowest, mean float64
	buf := make([]float64, m.Ranks)
	for l := range m.Layers {
		rankLoads(buf, layerSlots(m, l), load[l], m.SlotsPerRank)
		slowest += slices.Max(buf)
		mean += total(buf) / float64(m.Ranks)
	}
	return skewRatio(slowest, mean)
}

// LayerSkew returns the skew of one layer. It is 1 without load.
func LayerSkew(m *core.ExpertMap, load core.ExpertLoad, layer int) float64 {
	buf := make([]float64, m.Ranks)
	rankLoads(buf, layerSlots(m, layer), load[layer], m.SlotsPerRank)
	return skewRatio(slices.Max(buf), total(buf)/float64(m.Ranks))
}

// rankLoads sets dst to the load of each rank in one layer.
func rankLoads(dst []float64, slots []uint32, load []float64, perRank int) {
	n := make([]int, len(load))
	for _, e := range slots {
		n[e]++
	}
	for r := range dst {
		dst[r] = 0
		for _, e := range slots[r*perRank : (r+1)*perRank] {
			dst[r] += load[e] / float64(n[e])
		}
	}
}

func total(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum
}

func skewRatio(greatest, mean float64) float64 {
	if mean <= 0 {
		return 1
	}
	return max(1, greatest/mean)
}
