package drift

import (
	"math/rand/v2"
	"slices"
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/core/version/expert"
)

// Config configures one run. Zero fields select the defaults given below.
type Config struct {
	Shape  expert.Shape
	Placer core.Placer
	Seed   uint64
	// Day is the length of the compressed day; default 10 min.
	Day time.Duration
	// ShiftAt is the time at which the popularity shifts; default 5 min. End is
	// the end of the run; default 30 s after the shift. The steady drift is
	// measured from 10 s after the start until the shift.
	ShiftAt, End time.Duration
	// PlacementInterval is the time between two calls of the placer; default 1 s.
	PlacementInterval time.Duration
	// StepTime is the time of one forward pass ("step"), which determines the
	// number of samples in a placement interval; default 50 ms.
	StepTime time.Duration
	// Tokens is the number of tokens routed to experts in each step and layer;
	// default 32768.
	Tokens float64
	// LogPopularityStdDev is the standard deviation of the logarithm of the
	// popularity; default 1.
	LogPopularityStdDev float64
	// StagingRate is the number of replicas that the weight store delivers per
	// second; default 400.
	StagingRate float64
	// Average is the moving average of the loads that the placer gets.
	Average expert.MovingAverage
}

func (c Config) withDefaults() Config {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setDefault(&c.Day, 10*time.Minute)
	setDefault(&c.ShiftAt, 5*time.Minute)
	setDefault(&c.End, c.ShiftAt+30*time.Second)
	setDefault(&c.PlacementInterval, time.Second)
	setDefault(&c.StepTime, 50*time.Millisecond)
	if c.Tokens == 0 {
		c.Tokens = 32768
	}
	if c.LogPopularityStdDev == 0 {
		c.LogPopularityStdDev = 1
	}
	if c.StagingRate == 0 {
		c.StagingRate = 400
	}
	return c
}

// Result is the result of one run.
type Result struct {
	// MedianSkew and P99Skew are the median and the 99th percentile of the skew
	// during the steady drift; MedianBound is the median of its lower bound.
	MedianSkew, P99Skew, MedianBound float64
	// SkewAfterShift is the skew 10 s after the shift, BoundAfterShift its lower
	// bound.
	SkewAfterShift, BoundAfterShift float64
	// SettlingTime is the time from the shift until the skew stays at or below
	// 1.10 or 1.02 times the lower bound, whichever is higher; -1 if it does not
	// until the end of the run.
	SettlingTime time.Duration
	// Moves is the number of replicas moved before the shift, MovesAfterShift
	// that after it. StagingTime is the total time of staging before the shift.
	Moves, MovesAfterShift int
	StagingTime            time.Duration
	// Switches is the number of new maps that took effect.
	Switches int
}

// observationInterval is the time between two observations of the skew.
const observationInterval = 250 * time.Millisecond

// Run simulates one group with one placer. All placers start from the same map,
// which expert.Repack computes for the load at time zero.
func Run(cfg Config) Result {
	cfg = cfg.withDefaults()
	rng := rand.New(rand.NewPCG(cfg.Seed, 1))
	m := newModel(cfg, rng)
	current, err := expert.Uniform(cfg.Shape, 1)
	if err != nil {
		return Result{SettlingTime: -1}
	}
	if repacked := (expert.Repack{}).Place(current, m.expectedLoad(0)); repacked != nil {
		current = repacked
	}
	var (
		res                       Result
		staged                    *core.ExpertMap
		activeAt                  time.Duration // when staged takes effect
		steadySkews, steadyBounds []float64
		settledAt                 = cfg.ShiftAt
		settledSkew               float64
	)
	for at := time.Duration(0); at < cfg.End; at += observationInterval {
		if staged != nil && at >= activeAt {
			current, staged = staged, nil
			res.Switches++
		}
		load := m.expectedLoad(at.Seconds())
		skew := expert.Skew(current, load)
		switch {
		case at >= cfg.ShiftAt:
			lowerBound := expert.LowerBound(load, cfg.Shape)
			settledSkew = max(1.10, 1.02*lowerBound)
			if skew > settledSkew {
				settledAt = at + observationInterval
			}
			if at == cfg.ShiftAt+10*time.Second {
				res.SkewAfterShift, res.BoundAfterShift = skew, lowerBound
			}
		case at >= 10*time.Second:
			steadySkews = append(steadySkews, skew)
			steadyBounds = append(steadyBounds, expert.LowerBound(load, cfg.Shape))
		}
		if at == 0 || at%cfg.PlacementInterval != 0 {
			continue
		}
		// The counts are those of the interval that ends now.
		counts := sampleLoad(m.expectedLoad((at - cfg.PlacementInterval/2).Seconds()), cfg.PlacementInterval.Seconds()/cfg.StepTime.Seconds(), rng)
		average := cfg.Average.Add(counts, cfg.PlacementInterval)
		if staged != nil {
			continue
		}
		next := cfg.Placer.Place(current, average)
		if next == nil {
			continue
		}
		moves := expert.Moves(current, next)
		stagingTime := time.Duration(float64(moves) / cfg.StagingRate * float64(time.Second))
		staged, activeAt = next, at+stagingTime
		if at >= cfg.ShiftAt {
			res.MovesAfterShift += moves
		} else {
			res.Moves += moves
			res.StagingTime += stagingTime
		}
	}
	res.MedianSkew, res.P99Skew, res.MedianBound = quantile(steadySkews, 0.5), quantile(steadySkews, 0.99), quantile(steadyBounds, 0.5)
	res.SettlingTime = settledAt - cfg.ShiftAt
	if settledAt >= cfg.End {
		res.SettlingTime = -1
	}
	return res
}

func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(v))
	return s[int(q*float64(len(s)-1))]
}
