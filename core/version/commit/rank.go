package commit

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
)

// RankAgent is the interface of the coordinator to a rank's agent. The methods
// are those of core.RankEngine.
type RankAgent interface {
	Inspect(ctx context.Context, ballot core.Ballot) (core.RankState, error)
	Stage(ctx context.Context, ballot core.Ballot, m *core.ExpertMap) (int, error)
	Prepare(ctx context.Context, ballot core.Ballot, incarnation, epoch, step uint64) (core.RankState, error)
	Decide(ctx context.Context, ballot core.Ballot, incarnation, epoch, step uint64, commit bool) (core.RankState, error)
}

// FencedRank implements core.RankEngine for one rank's agent. It refuses calls
// whose leader token is lower than the highest one it has seen, even if the
// engine would accept them. Set the fields before Run.
type FencedRank struct {
	Engine core.RankEngine
	// Timeout limits each call to the engine except Stage; zero means 1 s.
	Timeout time.Duration

	loop loop
	// highestToken is the highest leader token seen. It is owned by the loop.
	highestToken uint64
}

// Run serves calls until ctx ends or Close is called. It first reads the highest
// token from the engine's promised ballot, which survives restarts of the agent.
func (r *FencedRank) Run(ctx context.Context) error {
	return r.loop.run(ctx, func(ctx context.Context) {
		if s, err := r.Engine.Inspect(ctx, core.Ballot{}); err == nil {
			r.highestToken = max(r.highestToken, s.PromisedBallot.Token)
		}
	})
}

// Close ends Run and waits for it.
func (r *FencedRank) Close() { r.loop.close() }

// callEngine runs f in the loop with the timeout of engine calls.
func (r *FencedRank) callEngine(ctx context.Context, f func(context.Context) (core.RankState, error)) (core.RankState, error) {
	return runInLoop(ctx, &r.loop, func(ctx context.Context) (core.RankState, error) {
		ctx, cancel := context.WithTimeout(ctx, orDefault(r.Timeout, time.Second))
		defer cancel()
		return f(ctx)
	})
}

// checkToken records the token, or refuses it if a higher one was seen.
func (r *FencedRank) checkToken(token uint64) error {
	if token < r.highestToken {
		meter.Event("rank_stale_token")
		return trace.CompareFailed("token %d is stale, the highest seen is %d", token, r.highestToken)
	}
	r.highestToken = token
	return nil
}

// Inspect implements core.RankEngine. The token of the returned ballot is at
// least the highest token seen.
func (r *FencedRank) Inspect(ctx context.Context, b core.Ballot) (core.RankState, error) {
	return r.callEngine(ctx, func(ctx context.Context) (core.RankState, error) {
		if b != (core.Ballot{}) {
			if err := r.checkToken(b.Token); err != nil {
				return core.RankState{}, err
			}
		}
		s, err := r.Engine.Inspect(ctx, b)
		if minBallot := (core.Ballot{Token: r.highestToken}); err == nil && s.PromisedBallot.Less(minBallot) {
			s.PromisedBallot = minBallot
		}
		return s, err
	})
}

// Stage implements core.RankEngine. It calls the engine outside the loop so that
// other calls need not wait: staging is slow and activates nothing.
func (r *FencedRank) Stage(ctx context.Context, b core.Ballot, m *core.ExpertMap) (int, error) {
	if _, err := runInLoop(ctx, &r.loop, func(context.Context) (struct{}, error) {
		return struct{}{}, r.checkToken(b.Token)
	}); err != nil {
		return 0, err
	}
	return r.Engine.Stage(ctx, b, m)
}

// Prepare implements core.RankEngine.
func (r *FencedRank) Prepare(ctx context.Context, b core.Ballot, incarnation, epoch, step uint64) (core.RankState, error) {
	return r.callEngine(ctx, func(ctx context.Context) (core.RankState, error) {
		if err := r.checkToken(b.Token); err != nil {
			return core.RankState{}, err
		}
		return r.Engine.Prepare(ctx, b, incarnation, epoch, step)
	})
}

// Decide implements core.RankEngine.
func (r *FencedRank) Decide(ctx context.Context, b core.Ballot, incarnation, epoch, step uint64, commit bool) (core.RankState, error) {
	return r.callEngine(ctx, func(ctx context.Context) (core.RankState, error) {
		if err := r.checkToken(b.Token); err != nil {
			return core.RankState{}, err
		}
		return r.Engine.Decide(ctx, b, incarnation, epoch, step, commit)
	})
}

// Load implements core.RankEngine.
func (r *FencedRank) Load(ctx context.Context) (core.ExpertLoad, error) { return r.Engine.Load(ctx) }
