package ranks

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
)

// UpdateSettings changes the settings.
func (g *Group) UpdateSettings(s Settings) error {
	if err := s.validate(); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Settings = s
	return nil
}

// CurrentSettings returns the settings.
func (g *Group) CurrentSettings() Settings {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Settings
}

// SetLoad sets the number of tokens that each expert processes per step.
func (g *Group) SetLoad(load core.ExpertLoad) error {
	valid := len(load) == g.Shape.Layers
	for _, row := range load {
		valid = valid && len(row) == g.Shape.Experts
		for _, v := range row {
			valid = valid && v >= 0 && !math.IsInf(v, 0)
		}
	}
	if !valid {
		return trace.BadParameter("the load must have a finite, non-negative number for each layer and expert")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.load = load
	return nil
}

// ZipfLoad returns a load of the given number of tokens per layer, distributed
// over the experts by Zipf's law with exponent skew. The order of the experts is
// random for each layer and depends only on the seed.
func (s Shape) ZipfLoad(skew, tokens float64, seed uint64) core.ExpertLoad {
	load := zeroLoad(s)
	for l, row := range load {
		sum := 0.0
		for i := range s.Experts {
			sum += math.Pow(float64(i+1), -skew)
		}
		for i, e := range rand.New(rand.NewPCG(seed, uint64(l))).Perm(s.Experts) {
			row[e] = tokens * math.Pow(float64(i+1), -skew) / sum
		}
	}
	return load
}

// SetStalled stops a rank before its next step, or lets it continue.
func (g *Group) SetStalled(n int, stalled bool) error {
	r, err := g.rank(n)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r.stalled = stalled
	g.changed.Broadcast()
	return nil
}

// ReplaceRank simulates a new engine process for a rank. The rank gets a new
// incarnation, has no promise, and has staged only the map that the other ranks
// use. It takes part in no step until Decide admits it; the others wait for it at
// their next step.
func (g *Group) ReplaceRank(n int) error {
	r, err := g.rank(n)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r.joining = true
	newestMap := g.lastMap
	for _, o := range g.ranks {
		// A switch that any rank has completed is committed.
		if !o.joining && o.active.Epoch > newestMap.Epoch {
			newestMap = o.active
		}
	}
	r.state = core.RankState{Incarnation: r.state.Incarnation + 1}
	r.staged = map[uint64]*indexedMap{newestMap.Epoch: newestMap}
	r.loadSum, r.loadSteps = zeroLoad(g.Shape), 0
	if r.arrived && !g.running {
		r.arrived = false
		g.arrivedCount--
	}
	g.stats.Replaced++
	g.changed.Broadcast()
	return nil
}

// Stats returns the statistics since Start.
func (g *Group) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	st := g.stats
	st.Mixed = append([]Step{}, st.Mixed...)
	for _, r := range g.ranks {
		if r.stalled && !r.arrived {
			st.Stalled++
		}
		if r.joining {
			st.Joining++
		}
	}
	recent := g.stepRecords[max(0, len(g.stepRecords)-maxStepRecords):]
	if len(recent) == 0 {
		return st
	}
	times := make([]float64, len(recent))
	for i, s := range recent {
		times[i] = s.Ms
		st.MeanMs += s.Ms / float64(len(recent))
		st.MeanSkew += s.Skew / float64(len(recent))
		st.MaxSkew = max(st.MaxSkew, s.Skew)
	}
	slices.Sort(times)
	st.P99Ms = times[len(times)*99/100]
	return st
}

// Steps returns the records of the steps after the given one, at most the last
// 4096.
func (g *Group) Steps(after uint64) []Step {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := []Step{}
	for _, s := range g.stepRecords[max(0, len(g.stepRecords)-maxStepRecords):] {
		if s.Step > after {
			s.Epochs = maps.Clone(s.Epochs)
			out = append(out, s)
		}
	}
	return out
}
