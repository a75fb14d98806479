package expert

import (
	"math"
	"time"

	"parsleyroute.example/core"
)

// Decay averages loads with exponentially falling weight of older ones. It is
// not safe for concurrent use.
type Decay struct {
	// HalfLife is the age at which a load counts half; zero means 2 s.
	HalfLife time.Duration

	sum    core.ExpertLoad
	weight float64
}

// Add adds a load observed over the given time and returns the average, which
// the caller must not change. A load of another shape than the ones before
// starts a new average.
func (d *Decay) Add(load core.ExpertLoad, over time.Duration) core.ExpertLoad {
	half := d.HalfLife
	if half == 0 {
		half = 2 * time.Second
	}
	keep := math.Exp2(-over.Seconds() / half.Seconds())
	if !sameShape(d.sum, load) {
		d.sum, d.weight = zeros(load), 0
	}
	d.weight = d.weight*keep + (1 - keep)
	avg := zeros(load)
	for l, row := range load {
		for e, v := range row {
			d.sum[l][e] = d.sum[l][e]*keep + v*(1-keep)
			avg[l][e] = ratioOr(d.sum[l][e], d.weight)
		}
	}
	return avg
}

func ratioOr(sum, weight float64) float64 {
	if weight <= 0 {
		return 0
	}
	return sum / weight
}

func sameShape(a, b core.ExpertLoad) bool {
	if len(a) != len(b) {
		return false
	}
	for l := range a {
		if len(a[l]) != len(b[l]) {
			return false
		}
	}
	return true
}

func zeros(like core.ExpertLoad) core.ExpertLoad {
	z := make(core.ExpertLoad, len(like))
	for l := range z {
		z[l] = make([]float64, len(like[l]))
	}
	return z
}
