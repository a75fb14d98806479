package drift

import (
	"math"
	"math/rand/v2"

	"parsleyroute.example/core"
)

// model is the popularity of experts as a function of time.
type model struct {
	cfg   Config
	base  [][]float64 // log popularity
	after [][]float64 // log popularity from the shift on
	phase [][][2]float64
}

func newModel(cfg Config, rng *rand.Rand) *model {
	m := &model{cfg: cfg}
	for range cfg.Shape.Layers {
		base := make([]float64, cfg.Shape.Experts)
		phase := make([][2]float64, cfg.Shape.Experts)
		for e := range base {
			base[e] = rng.NormFloat64() * cfg.Spread
			phase[e] = [2]float64{rng.Float64() * 2 * math.Pi, rng.Float64() * 2 * math.Pi}
		}
		after := append([]float64(nil), base...)
		some := rng.Perm(cfg.Shape.Experts)[:cfg.Shape.Experts/2]
		for i, e := range some {
			after[e] = base[some[(i+1)%len(some)]]
		}
		m.base, m.after, m.phase = append(m.base, base), append(m.after, after), append(m.phase, phase)
	}
	return m
}

// load returns the expected load at a time in seconds.
func (m *model) load(at float64) core.ExpertLoad {
	base := m.base
	if at >= m.cfg.ShiftAt.Seconds() {
		base = m.after
	}
	day := 2 * math.Pi * at / m.cfg.Day.Seconds()
	load := make(core.ExpertLoad, len(base))
	for l, row := range base {
		load[l] = make([]float64, len(row))
		sum := 0.0
		for e, b := range row {
			p := m.phase[l][e]
			load[l][e] = math.Exp(b + 0.5*math.Sin(day+p[0]) + 0.2*math.Sin(3*day+p[1]))
			sum += load[l][e]
		}
		for e := range load[l] {
			load[l][e] *= m.cfg.Tokens / sum
		}
	}
	return load
}

// sample returns counts of a round around the expected load, in tokens a step.
func sample(load core.ExpertLoad, steps float64, rng *rand.Rand) core.ExpertLoad {
	s := make(core.ExpertLoad, len(load))
	for l, row := range load {
		s[l] = make([]float64, len(row))
		for e, v := range row {
			s[l][e] = max(0, v+math.Sqrt(v/steps)*rng.NormFloat64())
		}
	}
	return s
}
