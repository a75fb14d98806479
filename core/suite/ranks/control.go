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
	if err := s.check(); err != nil {
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

// SetLoad sets the tokens that each expert gets in a step.
func (g *Group) SetLoad(load core.ExpertLoad) error {
	ok := len(load) == g.Shape.Layers
	for _, row := range load {
		ok = ok && len(row) == g.Shape.Experts
		for _, v := range row {
			ok = ok && v >= 0 && !math.IsInf(v, 0)
		}
	}
	if !ok {
		return trace.BadParameter("the load does not have a number for each layer and expert")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.load = load
	return nil
}

// ZipfLoad returns a load of tokens a layer, by Zipf's law with the exponent skew
// over the experts in an order that the seed gives for each layer.
func (s Shape) ZipfLoad(skew, tokens float64, seed uint64) core.ExpertLoad {
	load := matrix(s)
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

// SetStalled holds a rank before its next step, or lets it go.
func (g *Group) SetStalled(n int, stalled bool) error {
	r, err := g.rank(n)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r.stalled = stalled
	g.moved.Broadcast()
	return nil
}

// ReplaceRank puts a new rank in the place of one. It has a new incarnation, no
// promise, and only the map staged that the other ranks use. It takes part in no
// step until Decide admits it; the others wait for it at their next step.
func (g *Group) ReplaceRank(n int) error {
	r, err := g.rank(n)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r.joining = true
	newest := g.last
	for _, o := range g.ranks {
		// A rank that has switched already shows that the switch is committed.
		if !o.joining && o.active.Epoch > newest.Epoch {
			newest = o.active
		}
	}
	r.state = core.RankState{Incarnation: r.state.Incarnation + 1}
	r.staged = map[uint64]*placed{newest.Epoch: newest}
	r.seen, r.seenSteps = matrix(g.Shape), 0
	if r.arrived && !g.started {
		r.arrived = false
		g.arrived--
	}
	g.stats.Replaced++
	g.moved.Broadcast()
	return nil
}

// Stats returns the statistics.
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
	last := g.steps[max(0, len(g.steps)-keepSteps):]
	if len(last) == 0 {
		return st
	}
	times := make([]float64, len(last))
	for i, s := range last {
		times[i] = s.Ms
		st.MeanMs += s.Ms / float64(len(last))
		st.MeanSkew += s.Skew / float64(len(last))
		st.MaxSkew = max(st.MaxSkew, s.Skew)
	}
	slices.Sort(times)
	st.P99Ms = times[len(times)*99/100]
	return st
}

// Steps returns the last records after a step, at most 4096.
func (g *Group) Steps(after uint64) []Step {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := []Step{}
	for _, s := range g.steps[max(0, len(g.steps)-keepSteps):] {
		if s.Step > after {
			s.Epochs = maps.Clone(s.Epochs)
			out = append(out, s)
		}
	}
	return out
}
