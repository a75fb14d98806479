package ranks

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
)

// Set changes the settings.
func (g *Group) Set(s Settings) error {
	if err := s.check(); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Settings = s
	return nil
}

// Get returns the settings.
func (g *Group) Get() Settings {
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

// Zipf returns a load of tokens a layer, by Zipf's law with the exponent skew
// over the experts in an order that the seed gives for each layer.
func (s Shape) Zipf(skew, tokens float64, seed uint64) core.ExpertLoad {
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

// Stall holds a rank before its next step, or lets it go.
func (g *Group) Stall(n int, stalled bool) error {
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

// Replace puts a new rank in the place of one. It has no state. It joins at a
// step boundary, once each other rank is ready for the step or holds before it:
// then it loads the map that they use, and takes over a promise that they have
// made, unless Settings.BareJoin is set. Without the promise no protocol could
// keep the maps equal, because the outcome of a switch may be decided already.
// If ranks that hold kept it from joining, a decider that waits for its
// agreement before it tells the others would never get it.
func (g *Group) Replace(n int) error {
	r, err := g.rank(n)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r.state, r.staged = core.RankState{}, map[uint64]*placed{}
	r.seen, r.seenSteps = matrix(g.Shape), 0
	r.joining = true
	if r.arrived && !g.started {
		r.arrived = false
		g.arrived--
	}
	g.stats.Replaced++
	g.moved.Broadcast()
	return nil
}

// join makes a replaced rank a member again, if all others are at the boundary.
func (r *member) join() bool {
	g := r.g
	active, peers := g.last, []*member{}
	for _, o := range g.ranks {
		switch {
		case o.joining:
			continue
		case !o.arrived && !o.state.Holding:
			return false
		}
		peers = append(peers, o)
		// A rank that has switched already shows that the switch is committed.
		if len(peers) == 1 || o.active.Epoch > active.Epoch {
			active = o.active
		}
	}
	r.active = active
	r.state.Step, r.state.ActiveEpoch = g.step, active.Epoch
	r.joining = false
	if g.Settings.BareJoin {
		return true
	}
	for _, o := range peers {
		s := o.state
		if r.state.Ballot.Less(s.Ballot) {
			r.state.Ballot = s.Ballot
		}
		if s.PromisedEpoch > active.Epoch {
			r.state.PromisedEpoch, r.state.PromisedStep = s.PromisedEpoch, s.PromisedStep
			r.state.Committed = r.state.Committed || s.Committed
			r.staged[s.PromisedEpoch] = o.staged[s.PromisedEpoch]
		}
	}
	return true
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
