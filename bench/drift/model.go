package drift

import (
	"math"
	"math/rand/v2"

	"parsleyroute.example/core"
)

// model is the popularity of experts as a function of time. All fields are stored
// by layer and expert. The daily curve of an expert is the sum of two sine waves,
// whose phases are in phases.
type model struct {
	cfg                  Config
	logPopularity        [][]float64 // until the shift
	shiftedLogPopularity [][]float64 // from the shift on
	phases               [][][2]float64
}

func newModel(cfg Config, rng *rand.Rand) *model {
	m := &model{cfg: cfg}
	for range cfg.Shape.Layers {
		base := make([]float64, cfg.Shape.Experts)
		phase := make([][2]float64, cfg.Shape.Experts)
		for e := range base {
			base[e] = rng.NormFloat64() * cfg.LogPopularityStdDev
			phase[e] = [2]float64{rng.Float64() * 2 * math.Pi, rng.Float64() * 2 * math.Pi}
		}
		after := append([]float64(nil), base...)
		exchanged := rng.Perm(cfg.Shape.Experts)[:cfg.Shape.Experts/2]
		for i, e := range exchanged {
			after[e] = base[exchanged[(i+1)%len(exchanged)]]
		}
		m.logPopularity, m.shiftedLogPopularity, m.phases = append(m.logPopularity, base), append(m.shiftedLogPopularity, after), append(m.phases, phase)
	}
	return m
}

// expectedLoad returns the expected load at a time in seconds.
func (m *model) expectedLoad(at float64) core.ExpertLoad {
	base := m.logPopularity
	if at >= m.cfg.ShiftAt.Seconds() {
		base = m.shiftedLogPopularity
	}
	dayAngle := 2 * math.Pi * at / m.cfg.Day.Seconds()
	load := make(core.ExpertLoad, len(base))
	for l, row := range base {
		load[l] = make([]float64, len(row))
		sum := 0.0
		for e, b := range row {
			p := m.phases[l][e]
			load[l][e] = math.Exp(b + 0.5*math.Sin(dayAngle+p[0]) + 0.2*math.Sin(3*dayAngle+p[1]))
			sum += load[l][e]
		}
		for e := range load[l] {
			load[l][e] *= m.cfg.Tokens / sum
		}
	}
	return load
}

// sampleLoad returns the expected load with the sampling noise of a mean over
// the given number of steps, in tokens per step.
func sampleLoad(load core.ExpertLoad, steps float64, rng *rand.Rand) core.ExpertLoad {
	s := make(core.ExpertLoad, len(load))
	for l, row := range load {
		s[l] = make([]float64, len(row))
		for e, v := range row {
			s[l][e] = max(0, v+math.Sqrt(v/steps)*rng.NormFloat64())
		}
	}
	return s
}
