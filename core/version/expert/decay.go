package expert

import (
	"math"
	"time"

	"parsleyroute.example/core"
)

// MovingAverage averages loads with exponentially falling weight of older ones. It is
// not safe for concurrent use.
type MovingAverage struct {
	// HalfLife is the age at which a load counts half; zero means 2 s.
	HalfLife time.Duration
	// ShiftThreshold is the share of a layer's load by which an observation must differ
	// from the average to start a new one, since the older loads no longer say
	// what comes; zero means 0.2. Counts of less than about a hundred tokens an
	// expert differ as much by chance.
	ShiftThreshold float64

	sum    core.ExpertLoad
	weight float64
}

// Add adds a load observed over the given time and returns the average. A load
// of another shape than the ones before, or one that shows a sudden shift,
// starts a new average.
func (d *MovingAverage) Add(load core.ExpertLoad, over time.Duration) core.ExpertLoad {
	half := d.HalfLife
	if half == 0 {
		half = 2 * time.Second
	}
	keep := math.Exp2(-over.Seconds() / half.Seconds())
	if !sameShape(d.sum, load) || d.shifted(load) {
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

// shifted reports whether the load's distribution over the experts of some
// layer differs from the average by more than Shift (total variation).
func (d *MovingAverage) shifted(load core.ExpertLoad) bool {
	limit := d.ShiftThreshold
	if limit == 0 {
		limit = 0.2
	}
	for l, row := range load {
		seen, known := total(row), total(d.sum[l])
		if seen == 0 || known == 0 {
			continue
		}
		distance := 0.0
		for e, v := range row {
			distance += math.Abs(v/seen-d.sum[l][e]/known) / 2
		}
		if distance > limit {
			return true
		}
	}
	return false
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
