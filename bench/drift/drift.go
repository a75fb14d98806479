package drift

import (
	"math/rand/v2"
	"slices"
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/core/version/expert"
)

// Config sets one run. Zero values mean the defaults given.
type Config struct {
	Shape  expert.Shape
	Placer core.Placer
	Seed   uint64
	// Day is the length of the compressed day; default 10 min.
	Day time.Duration
	// ShiftAt is when the popularity shifts; default 5 min. End is the end of
	// the run; default 30 s later. Steady drift is measured from 10 s on.
	ShiftAt, End time.Duration
	// Round is the time between two calls of the placer; default 1 s.
	Round time.Duration
	// StepTime is the time of one step, which gives the number of samples in a
	// round; default 50 ms.
	StepTime time.Duration
	// Tokens is the number of tokens routed to experts in each step and layer;
	// default 32768.
	Tokens float64
	// Spread is the standard deviation of the log of popularity; default 1.
	Spread float64
	// Rate is the weight store's rate in replicas a second; default 400.
	Rate float64
	// Average averages the loads that the placer gets.
	Average expert.MovingAverage
}

func (c Config) withDefaults() Config {
	def := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	def(&c.Day, 10*time.Minute)
	def(&c.ShiftAt, 5*time.Minute)
	def(&c.End, c.ShiftAt+30*time.Second)
	def(&c.Round, time.Second)
	def(&c.StepTime, 50*time.Millisecond)
	if c.Tokens == 0 {
		c.Tokens = 32768
	}
	if c.Spread == 0 {
		c.Spread = 1
	}
	if c.Rate == 0 {
		c.Rate = 400
	}
	return c
}

// Result has the figures of one run.
type Result struct {
	// Median and P99 are of the skew in steady drift; Bound is the median of
	// its lower bound.
	Median, P99, Bound float64
	// Shift is the skew ten seconds after the shift, ShiftBound its bound.
	Shift, ShiftBound float64
	// Settled is the time from the shift until the skew stays at most 1.10, or
	// at most 1.02 times the bound if that is higher; -1 if it never does.
	Settled time.Duration
	// Moves is the number of replicas moved in steady drift, ShiftMoves after
	// the shift. Staged is the time spent staging in steady drift.
	Moves, ShiftMoves int
	Staged            time.Duration
	// Switches is the number of maps that took effect.
	Switches int
}

// tick is the time between two observations of the skew.
const tick = 250 * time.Millisecond

// Run simulates one group with one placer. All placers start from the same
// re-pack of the load at time zero.
func Run(cfg Config) Result {
	cfg = cfg.withDefaults()
	rng := rand.New(rand.NewPCG(cfg.Seed, 1))
	m := newModel(cfg, rng)
	current, err := expert.Uniform(cfg.Shape, 1)
	if err != nil {
		return Result{Settled: -1}
	}
	if first := (expert.Repack{}).Place(current, m.load(0)); first != nil {
		current = first
	}
	var (
		res           Result
		staged        *core.ExpertMap
		active        time.Duration // when staged takes effect
		steady, bound []float64
		unsettled     = cfg.ShiftAt
		limit         float64
	)
	for at := time.Duration(0); at < cfg.End; at += tick {
		if staged != nil && at >= active {
			current, staged = staged, nil
			res.Switches++
		}
		load := m.load(at.Seconds())
		skew := expert.Skew(current, load)
		switch {
		case at >= cfg.ShiftAt:
			low := expert.LowerBound(load, cfg.Shape)
			limit = max(1.10, 1.02*low)
			if skew > limit {
				unsettled = at + tick
			}
			if at == cfg.ShiftAt+10*time.Second {
				res.Shift, res.ShiftBound = skew, low
			}
		case at >= 10*time.Second:
			steady = append(steady, skew)
			bound = append(bound, expert.LowerBound(load, cfg.Shape))
		}
		if at == 0 || at%cfg.Round != 0 {
			continue
		}
		// The counts are those of the round that ends now.
		seen := sample(m.load((at - cfg.Round/2).Seconds()), cfg.Round.Seconds()/cfg.StepTime.Seconds(), rng)
		avg := cfg.Average.Add(seen, cfg.Round)
		if staged != nil {
			continue
		}
		next := cfg.Placer.Place(current, avg)
		if next == nil {
			continue
		}
		moves := expert.Moves(current, next)
		took := time.Duration(float64(moves) / cfg.Rate * float64(time.Second))
		staged, active = next, at+took
		if at >= cfg.ShiftAt {
			res.ShiftMoves += moves
		} else {
			res.Moves += moves
			res.Staged += took
		}
	}
	res.Median, res.P99, res.Bound = quantile(steady, 0.5), quantile(steady, 0.99), quantile(bound, 0.5)
	res.Settled = unsettled - cfg.ShiftAt
	if unsettled >= cfg.End {
		res.Settled = -1
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
