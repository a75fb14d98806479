package expert

import (
	"math"
	"time"

	"parsleyroute.example/core"
)

// MovingAverage computes an exponentially weighted moving average of loads. It is
// not safe for concurrent use.
type MovingAverage struct {
	// HalfLife is the age at which the weight of a load has halved; zero means
	// 2 s.
	HalfLife time.Duration
	// ShiftThreshold is the fraction of a layer's load by which an observation
	// must differ from the average to start a new average, since older loads then
	// no longer predict the next ones; zero means 0.2. With fewer than about a
	// hundred tokens per expert, counts differ that much by chance.
	ShiftThreshold float64

	sum    core.ExpertLoad
	weight float64
}

// Add adds a load observed over the given duration and returns the average. A
// load with a shape different from the previous ones, or one that shows a sudden
// shift, starts a new average.
func (m *MovingAverage) Add(load core.ExpertLoad, duration time.Duration) core.ExpertLoad {
	halfLife := m.HalfLife
	if halfLife == 0 {
		halfLife = 2 * time.Second
	}
	decay := math.Exp2(-duration.Seconds() / halfLife.Seconds())
	if !sameShape(m.sum, load) || m.hasShifted(load) {
		m.sum, m.weight = zeroLoad(load), 0
	}
	m.weight = m.weight*decay + (1 - decay)
	avg := zeroLoad(load)
	for l, row := range load {
		for e, v := range row {
			m.sum[l][e] = m.sum[l][e]*decay + v*(1-decay)
			avg[l][e] = divideOrZero(m.sum[l][e], m.weight)
		}
	}
	return avg
}

// hasShifted reports whether in some layer the total variation distance between
// the distributions of the load and of the average over the experts exceeds
// ShiftThreshold.
func (m *MovingAverage) hasShifted(load core.ExpertLoad) bool {
	threshold := m.ShiftThreshold
	if threshold == 0 {
		threshold = 0.2
	}
	for l, row := range load {
		observed, averaged := total(row), total(m.sum[l])
		if observed == 0 || averaged == 0 {
			continue
		}
		distance := 0.0
		for e, v := range row {
			distance += math.Abs(v/observed-m.sum[l][e]/averaged) / 2
		}
		if distance > threshold {
			return true
		}
	}
	return false
}

func divideOrZero(dividend, divisor float64) float64 {
	if divisor <= 0 {
		return 0
	}
	return dividend / divisor
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

func zeroLoad(like core.ExpertLoad) core.ExpertLoad {
	z := make(core.ExpertLoad, len(like))
	for l := range z {
		z[l] = make([]float64, len(like[l]))
	}
	return z
}
