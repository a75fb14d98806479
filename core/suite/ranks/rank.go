package ranks

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
)

// keepStaged is the number of staged maps that a rank keeps.
const keepStaged = 3

// Rank returns a rank as its agent meets it.
func (g *Group) Rank(n int) (core.RankEngine, error) { return g.rank(n) }

func (g *Group) rank(n int) (*member, error) {
	if n < 0 || n >= len(g.ranks) {
		return nil, trace.NotFound("the group has no rank %d", n)
	}
	return g.ranks[n], nil
}

// ActiveMap returns the active map of a rank, and trace.NotFound while it joins.
func (g *Group) ActiveMap(n int) (*core.ExpertMap, error) {
	r, err := g.rank(n)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.joining {
		return nil, trace.NotFound("the rank %d has not joined the group yet", n)
	}
	return r.active.Clone(), nil
}

var _ core.RankEngine = (*member)(nil)

// Inspect implements core.RankEngine. The zero ballot only reads.
func (r *member) Inspect(_ context.Context, b core.Ballot) (core.RankState, error) {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	if b == (core.Ballot{}) {
		return r.view(), nil
	}
	if !r.state.PromisedBallot.Less(b) {
		return r.view(), r.stale(b)
	}
	r.state.PromisedBallot = b
	return r.view(), nil
}

// Stage implements core.RankEngine.
func (r *member) Stage(ctx context.Context, b core.Ballot, m *core.ExpertMap) (int, error) {
	p, err := r.g.Shape.place(m)
	if err != nil {
		return 0, err
	}
	moved, pause, err := r.plan(b, p)
	if err != nil {
		return 0, err
	}
	select {
	case <-time.After(pause):
	case <-ctx.Done():
		return 0, trace.ConnectionProblem(ctx.Err(), "staging was given up")
	}
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	// The state may have changed while the weights were loaded.
	if err := r.stageable(b, p); err != nil {
		return 0, err
	}
	if s := &r.state; p.Epoch == s.ActiveEpoch {
		return 0, nil
	}
	if r.staged[p.Epoch] == nil {
		r.g.stats.Moved += moved
	}
	r.staged[p.Epoch] = p
	// A joining rank keeps all maps, because it may be admitted with any.
	for len(r.staged) > keepStaged && !r.joining {
		oldest := slices.Min(slices.Collect(maps.Keys(r.staged)))
		if oldest == r.state.PromisedEpoch {
			break
		}
		delete(r.staged, oldest)
	}
	return moved, nil
}

// plan returns the number of experts to load for a map and the time for it.
func (r *member) plan(b core.Ballot, p *placed) (int, time.Duration, error) {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	if err := r.stageable(b, p); err != nil {
		return 0, 0, err
	}
	moved := 0
	for l := range p.Layers {
		var have []uint32
		if !r.joining {
			have = r.active.rank(l, r.n)
		}
		for _, e := range p.rank(l, r.n) {
			if !slices.Contains(have, e) {
				moved++
			}
		}
	}
	return moved, time.Duration(float64(moved) * r.g.Settings.StageMs * float64(time.Millisecond)), nil
}

func (r *member) stageable(b core.Ballot, p *placed) error {
	switch s := r.state; {
	case b.Token < s.PromisedBallot.Token:
		return r.stale(b)
	case p.Epoch < s.ActiveEpoch || p.Epoch == 0:
		return trace.CompareFailed("the epoch %d is not above the active one, %d", p.Epoch, s.ActiveEpoch)
	case p.Epoch == s.ActiveEpoch && r.active.hash != p.hash:
		return trace.CompareFailed("another map of epoch %d is active", p.Epoch)
	case p.Epoch == s.PromisedEpoch && r.staged[p.Epoch].hash != p.hash:
		return trace.CompareFailed("another map of epoch %d is promised", p.Epoch)
	}
	return nil
}

// Prepare implements core.RankEngine.
func (r *member) Prepare(_ context.Context, b core.Ballot, incarnation, epoch, step uint64) (core.RankState, error) {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	s := &r.state
	if err := r.current(b, incarnation); err != nil {
		return r.view(), err
	}
	if s.PromisedEpoch == epoch && s.PromisedStep == step && epoch != 0 {
		s.PromisedBallot = b
		return r.view(), nil
	}
	switch {
	case s.Committed:
		return r.view(), trace.CompareFailed("the switch to epoch %d at step %d is committed", s.PromisedEpoch, s.PromisedStep)
	case !r.joining && step <= s.Step:
		return r.view(), trace.CompareFailed("the step %d has begun; the rank is at %d", step, s.Step)
	case r.staged[epoch] == nil:
		return r.view(), trace.CompareFailed("no map of epoch %d is staged above the active one, %d", epoch, s.ActiveEpoch)
	}
	s.PromisedBallot, s.PromisedEpoch, s.PromisedStep, s.Holding = b, epoch, step, false
	// A rank that held for a switch that this one replaces goes on.
	r.g.moved.Broadcast()
	return r.view(), nil
}

// Decide implements core.RankEngine. A joining rank can be admitted with a step that
// the group has passed or is in.
func (r *member) Decide(_ context.Context, b core.Ballot, incarnation, epoch, step uint64, commit bool) (core.RankState, error) {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	s := &r.state
	if err := r.current(b, incarnation); err != nil {
		return r.view(), err
	}
	prepared := s.PromisedEpoch == epoch && s.PromisedStep == step && epoch != 0
	switch {
	case !commit && prepared && s.Committed && !r.joining:
		return r.view(), trace.CompareFailed("the switch to epoch %d is committed", epoch)
	case !commit && prepared:
		r.clear()
	case !commit:
	case s.ActiveEpoch >= epoch:
	case prepared:
		s.Committed = true
	case !r.joining:
		return r.view(), trace.CompareFailed("the switch to epoch %d at step %d is not prepared", epoch, step)
	case r.staged[epoch] == nil || step > r.g.step:
		return r.view(), trace.CompareFailed("the rank can not join with epoch %d at step %d", epoch, step)
	default:
		r.joining = false
		r.use(epoch)
		s.Step = r.g.step
	}
	s.PromisedBallot = b
	r.g.moved.Broadcast()
	return r.view(), nil
}

// Load implements core.RankEngine. It returns the mean of the steps since the last
// call.
func (r *member) Load(context.Context) (core.ExpertLoad, error) {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	out := r.seen
	for _, row := range out {
		for e := range row {
			row[e] /= float64(max(1, r.seenSteps))
		}
	}
	r.seen, r.seenSteps = matrix(r.g.Shape), 0
	return out, nil
}

// current checks that an order is neither stale nor for another incarnation.
func (r *member) current(b core.Ballot, incarnation uint64) error {
	if b.Less(r.state.PromisedBallot) {
		return r.stale(b)
	}
	if incarnation != r.state.Incarnation {
		return trace.CompareFailed("the incarnation is %d, not %d", r.state.Incarnation, incarnation)
	}
	return nil
}

func (r *member) stale(b core.Ballot) error {
	return trace.CompareFailed("the ballot %+v is stale, %+v is promised", b, r.state.PromisedBallot)
}

// activate switches to the promised map.
func (r *member) activate() {
	r.use(r.state.PromisedEpoch)
	r.clear()
	r.g.stats.Switches++
}

// use makes a staged map the active one.
func (r *member) use(epoch uint64) {
	r.active = r.staged[epoch]
	r.state.ActiveEpoch = epoch
	maps.DeleteFunc(r.staged, func(e uint64, _ *placed) bool { return e <= epoch })
}

func (r *member) clear() {
	s := &r.state
	s.PromisedEpoch, s.PromisedStep, s.Holding, s.Committed = 0, 0, false, false
}

func (r *member) view() core.RankState {
	s := r.state
	s.StagedEpochs = slices.Sorted(maps.Keys(r.staged))
	return s
}
