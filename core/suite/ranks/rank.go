package ranks

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
)

// maxStagedMaps limits the number of staged maps of a rank.
const maxStagedMaps = 3

// Rank returns the interface of a rank that its agent calls.
func (g *Group) Rank(n int) (core.RankEngine, error) { return g.rank(n) }

func (g *Group) rank(n int) (*rankEngine, error) {
	if n < 0 || n >= len(g.ranks) {
		return nil, trace.NotFound("rank %d does not exist in the group", n)
	}
	return g.ranks[n], nil
}

// ActiveMap returns the active map of a rank, and trace.NotFound while the rank
// is joining.
func (g *Group) ActiveMap(n int) (*core.ExpertMap, error) {
	r, err := g.rank(n)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.joining {
		return nil, trace.NotFound("rank %d has not joined the group yet", n)
	}
	return r.active.Clone(), nil
}

var _ core.RankEngine = (*rankEngine)(nil)

// Inspect implements core.RankEngine. With the zero ballot it only reads.
func (r *rankEngine) Inspect(_ context.Context, b core.Ballot) (core.RankState, error) {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	if b == (core.Ballot{}) {
		return r.snapshot(), nil
	}
	if !r.state.PromisedBallot.Less(b) {
		return r.snapshot(), r.staleBallotError(b)
	}
	r.state.PromisedBallot = b
	return r.snapshot(), nil
}

// Stage implements core.RankEngine.
func (r *rankEngine) Stage(ctx context.Context, b core.Ballot, m *core.ExpertMap) (int, error) {
	indexed, err := r.g.Shape.indexMap(m)
	if err != nil {
		return 0, err
	}
	moved, loadTime, err := r.planStaging(b, indexed)
	if err != nil {
		return 0, err
	}
	select {
	case <-time.After(loadTime):
	case <-ctx.Done():
		return 0, trace.ConnectionProblem(ctx.Err(), "staging was canceled")
	}
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	// The state may have changed while the weights were loaded.
	if err := r.checkStaging(b, indexed); err != nil {
		return 0, err
	}
	if s := &r.state; indexed.Epoch == s.ActiveEpoch {
		return 0, nil
	}
	if r.staged[indexed.Epoch] == nil {
		r.g.stats.Moved += moved
	}
	r.staged[indexed.Epoch] = indexed
	// A joining rank keeps all maps, because Decide may admit it with any of them.
	for len(r.staged) > maxStagedMaps && !r.joining {
		oldest := slices.Min(slices.Collect(maps.Keys(r.staged)))
		if oldest == r.state.PromisedEpoch {
			break
		}
		delete(r.staged, oldest)
	}
	return moved, nil
}

// planStaging returns the number of experts to load for a map and the time that
// loading them takes.
func (r *rankEngine) planStaging(b core.Ballot, m *indexedMap) (int, time.Duration, error) {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	if err := r.checkStaging(b, m); err != nil {
		return 0, 0, err
	}
	moved := 0
	for l := range m.Layers {
		var loaded []uint32
		if !r.joining {
			loaded = r.active.rankExperts(l, r.n)
		}
		for _, e := range m.rankExperts(l, r.n) {
			if !slices.Contains(loaded, e) {
				moved++
			}
		}
	}
	return moved, time.Duration(float64(moved) * r.g.Settings.StageMs * float64(time.Millisecond)), nil
}

func (r *rankEngine) checkStaging(b core.Ballot, m *indexedMap) error {
	switch s := r.state; {
	case b.Token < s.PromisedBallot.Token:
		return r.staleBallotError(b)
	case m.Epoch < s.ActiveEpoch || m.Epoch == 0:
		return trace.CompareFailed("epoch %d is not higher than the active epoch %d", m.Epoch, s.ActiveEpoch)
	case m.Epoch == s.ActiveEpoch && r.active.slotsHash != m.slotsHash:
		return trace.CompareFailed("a different map of epoch %d is active", m.Epoch)
	case m.Epoch == s.PromisedEpoch && r.staged[m.Epoch].slotsHash != m.slotsHash:
		return trace.CompareFailed("a different map of epoch %d is promised", m.Epoch)
	}
	return nil
}

// Prepare implements core.RankEngine.
func (r *rankEngine) Prepare(_ context.Context, b core.Ballot, incarnation, epoch, step uint64) (core.RankState, error) {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	s := &r.state
	if err := r.checkCommand(b, incarnation); err != nil {
		return r.snapshot(), err
	}
	if s.PromisedEpoch == epoch && s.PromisedStep == step && epoch != 0 {
		s.PromisedBallot = b
		return r.snapshot(), nil
	}
	switch {
	case s.Committed:
		return r.snapshot(), trace.CompareFailed("the switch to epoch %d at step %d is committed", s.PromisedEpoch, s.PromisedStep)
	case !r.joining && step <= s.Step:
		return r.snapshot(), trace.CompareFailed("step %d has already begun; the rank is at step %d", step, s.Step)
	case r.staged[epoch] == nil:
		return r.snapshot(), trace.CompareFailed("no map of epoch %d is staged; the active epoch is %d", epoch, s.ActiveEpoch)
	}
	s.PromisedBallot, s.PromisedEpoch, s.PromisedStep, s.Holding = b, epoch, step, false
	// Wakes a rank that waits for the outcome of a switch that this one replaces.
	r.g.changed.Broadcast()
	return r.snapshot(), nil
}

// Decide implements core.RankEngine. A joining rank can be admitted with a step
// that the group runs or has completed.
func (r *rankEngine) Decide(_ context.Context, b core.Ballot, incarnation, epoch, step uint64, commit bool) (core.RankState, error) {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	s := &r.state
	if err := r.checkCommand(b, incarnation); err != nil {
		return r.snapshot(), err
	}
	prepared := s.PromisedEpoch == epoch && s.PromisedStep == step && epoch != 0
	switch {
	case !commit && prepared && s.Committed && !r.joining:
		return r.snapshot(), trace.CompareFailed("the switch to epoch %d is committed", epoch)
	case !commit && prepared:
		r.clearPromise()
	case !commit:
	case s.ActiveEpoch >= epoch:
	case prepared:
		s.Committed = true
	case !r.joining:
		return r.snapshot(), trace.CompareFailed("the switch to epoch %d at step %d is not prepared", epoch, step)
	case r.staged[epoch] == nil || step > r.g.step:
		return r.snapshot(), trace.CompareFailed("the rank cannot join with epoch %d at step %d", epoch, step)
	default:
		r.joining = false
		r.activate(epoch)
		s.Step = r.g.step
	}
	s.PromisedBallot = b
	r.g.changed.Broadcast()
	return r.snapshot(), nil
}

// Load implements core.RankEngine. It returns the mean load per step since the
// last call.
func (r *rankEngine) Load(context.Context) (core.ExpertLoad, error) {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	out := r.loadSum
	for _, row := range out {
		for e := range row {
			row[e] /= float64(max(1, r.loadSteps))
		}
	}
	r.loadSum, r.loadSteps = zeroLoad(r.g.Shape), 0
	return out, nil
}

// checkCommand checks that a command has no stale ballot and is for the current
// incarnation.
func (r *rankEngine) checkCommand(b core.Ballot, incarnation uint64) error {
	if b.Less(r.state.PromisedBallot) {
		return r.staleBallotError(b)
	}
	if incarnation != r.state.Incarnation {
		return trace.CompareFailed("the incarnation of the rank is %d, not %d", r.state.Incarnation, incarnation)
	}
	return nil
}

func (r *rankEngine) staleBallotError(b core.Ballot) error {
	return trace.CompareFailed("ballot %+v is stale; the promised ballot is %+v", b, r.state.PromisedBallot)
}

// completeSwitch activates the promised map and clears the promise.
func (r *rankEngine) completeSwitch() {
	r.activate(r.state.PromisedEpoch)
	r.clearPromise()
	r.g.stats.Switches++
}

// activate makes a staged map the active one and drops older staged maps.
func (r *rankEngine) activate(epoch uint64) {
	r.active = r.staged[epoch]
	r.state.ActiveEpoch = epoch
	maps.DeleteFunc(r.staged, func(e uint64, _ *indexedMap) bool { return e <= epoch })
}

func (r *rankEngine) clearPromise() {
	s := &r.state
	s.PromisedEpoch, s.PromisedStep, s.Holding, s.Committed = 0, 0, false, false
}

func (r *rankEngine) snapshot() core.RankState {
	s := r.state
	s.StagedEpochs = slices.Sorted(maps.Keys(r.staged))
	return s
}
