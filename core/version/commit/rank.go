package commit

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
)

// RankAgent is a rank's agent as the decider meets it. The methods are those of
// core.RankEngine.
type RankAgent interface {
	Inspect(ctx context.Context, ballot core.Ballot) (core.RankState, error)
	Stage(ctx context.Context, ballot core.Ballot, m *core.ExpertMap) (int, error)
	Prepare(ctx context.Context, ballot core.Ballot, incarnation, epoch, step uint64) (core.RankState, error)
	Decide(ctx context.Context, ballot core.Ballot, incarnation, epoch, step uint64, commit bool) (core.RankState, error)
}

// FencedRank guards one rank's engine with the fence: it refuses orders with a lower
// leader token than the highest it has seen, even if the engine would not. It
// implements core.RankEngine. Set the fields before Run.
type FencedRank struct {
	Engine core.RankEngine
	// Timeout bounds each call to the engine but staging; zero means 1 s.
	Timeout time.Duration

	loop loop
	// fence is owned by the loop.
	fence uint64
}

// Run serves calls until ctx ends or Close is called. It first takes the fence
// from the engine's promised ballot, which outlives the agent.
func (r *FencedRank) Run(ctx context.Context) error {
	return r.loop.run(ctx, func(ctx context.Context) {
		if s, err := r.Engine.Inspect(ctx, core.Ballot{}); err == nil {
			r.fence = max(r.fence, s.PromisedBallot.Token)
		}
	})
}

// Close ends Run and waits for it.
func (r *FencedRank) Close() { r.loop.close() }

// do runs f in the loop with the engine's time limit.
func (r *FencedRank) do(ctx context.Context, f func(context.Context) (core.RankState, error)) (core.RankState, error) {
	return do(ctx, &r.loop, func(ctx context.Context) (core.RankState, error) {
		ctx, cancel := context.WithTimeout(ctx, or(r.Timeout, time.Second))
		defer cancel()
		return f(ctx)
	})
}

// check raises the fence, or refuses the token.
func (r *FencedRank) check(token uint64) error {
	if token < r.fence {
		meter.Event("rank_stale_token")
		return trace.CompareFailed("token %d is older than %d", token, r.fence)
	}
	r.fence = token
	return nil
}

// Inspect implements core.RankEngine. The returned ballot is at least the fence's.
func (r *FencedRank) Inspect(ctx context.Context, b core.Ballot) (core.RankState, error) {
	return r.do(ctx, func(ctx context.Context) (core.RankState, error) {
		if b != (core.Ballot{}) {
			if err := r.check(b.Token); err != nil {
				return core.RankState{}, err
			}
		}
		s, err := r.Engine.Inspect(ctx, b)
		if fence := (core.Ballot{Token: r.fence}); err == nil && s.PromisedBallot.Less(fence) {
			s.PromisedBallot = fence
		}
		return s, err
	})
}

// Stage implements core.RankEngine. It does not hold up other calls: staging takes
// long and activates nothing.
func (r *FencedRank) Stage(ctx context.Context, b core.Ballot, m *core.ExpertMap) (int, error) {
	if _, err := do(ctx, &r.loop, func(context.Context) (struct{}, error) {
		return struct{}{}, r.check(b.Token)
	}); err != nil {
		return 0, err
	}
	return r.Engine.Stage(ctx, b, m)
}

// Prepare implements core.RankEngine.
func (r *FencedRank) Prepare(ctx context.Context, b core.Ballot, incarnation, epoch, step uint64) (core.RankState, error) {
	return r.do(ctx, func(ctx context.Context) (core.RankState, error) {
		if err := r.check(b.Token); err != nil {
			return core.RankState{}, err
		}
		return r.Engine.Prepare(ctx, b, incarnation, epoch, step)
	})
}

// Decide implements core.RankEngine.
func (r *FencedRank) Decide(ctx context.Context, b core.Ballot, incarnation, epoch, step uint64, commit bool) (core.RankState, error) {
	return r.do(ctx, func(ctx context.Context) (core.RankState, error) {
		if err := r.check(b.Token); err != nil {
			return core.RankState{}, err
		}
		return r.Engine.Decide(ctx, b, incarnation, epoch, step, commit)
	})
}

// Load implements core.RankEngine.
func (r *FencedRank) Load(ctx context.Context) (core.ExpertLoad, error) { return r.Engine.Load(ctx) }
