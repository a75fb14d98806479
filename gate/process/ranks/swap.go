package ranks

import (
	"context"
	"sync"
	"time"

	"parsleyroute.example/core/process/clock"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/version/expert"
)

const (
	// orderTimeout bounds one order to a rank, which answers within the way
	// there and back. An order without answer is repeated.
	orderTimeout = 60 * time.Millisecond
	// orderPause is the time between two tries of an order.
	orderPause = 5 * time.Millisecond
	// prepareMargin is how long a copy may take beyond the time computed.
	prepareMargin = 2500 * time.Millisecond
	// pollPeriod is the time between looks at the ranks' copies.
	pollPeriod = 50 * time.Millisecond
	// mostMargin bounds the passes between now and the one at which the group
	// switches.
	mostMargin = 12
	// holdTries bounds the attempts to find a pass that has not begun.
	holdTries = 6
	// prepareTries bounds the orders to prepare to a rank that does not answer.
	prepareTries = 12
	// expertCopy is the time assumed for the copy of one expert.
	expertCopy = 110 * time.Millisecond
)

// swap has the group switch to the lists. Until the group is held it gives up
// at the first failure, and from then on it goes on until the outcome is the
// same for all ranks or the group has formed anew.
func (g *group) swap(ctx context.Context, next expert.Lists) error {
	version := g.nextVersion()
	all, most := g.lists.NewExperts(next)
	start := time.Now()
	g.trail.Log("map_planned", "group", g.spec.Name, "epoch", g.epoch, "map", version, "former", g.version, "token", g.token,
		"skew", g.lists.Skew(g.load, g.pace), "expected_skew", next.Skew(g.load, g.pace), "new_experts", all, "observed", g.observed, "pause_share", g.pauseShare)
	if err := g.prepare(ctx, version, next, time.Duration(most)*expertCopy+prepareMargin); err != nil {
		return trace.Wrap(err, "prepare")
	}
	prepared := time.Since(start)
	// The phases from here on must not end half-way.
	ctx = context.WithoutCancel(ctx)
	step, err := g.hold(ctx)
	if err != nil {
		return trace.Wrap(err, "hold")
	}
	held := time.Now()
	if err := g.armAll(ctx, version, step); err != nil {
		return trace.Wrap(err, "arm")
	}
	g.armTime = time.Since(held)
	if err := g.release(ctx, step); err != nil {
		return trace.Wrap(err, "release")
	}
	meter.Event("map_switches")
	meter.Observe("map_hold", time.Since(held))
	g.pending = &pending{version: version, step: step, lists: next}
	g.trail.Log("map_released", "group", g.spec.Name, "epoch", g.epoch, "map", version, "step", step,
		"prepared_in", prepared, "held_for", time.Since(held))
	return nil
}

// each runs f for all ranks at once and returns the first error.
func (g *group) each(f func(rank int) error) error {
	errs := make([]error, len(g.spec.Members))
	var wg sync.WaitGroup
	for i := range g.spec.Members {
		wg.Go(func() { errs[i] = f(i) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// via returns the way of an order. A hold and its end go straight to the
// engine: the process that passes a hold on may freeze with it, and with its
// machine the engine's own interface, so that the hold could not be ended.
func (g *group) via(v core.RankVerb) core.RankClient {
	if v == core.RankHold || v == core.RankRelease {
		return g.direct
	}
	return g.ranks
}

// order sends one order to one rank.
func (g *group) order(ctx context.Context, rank int, o core.RankOrder) error {
	o.Token, o.Epoch = g.token, g.epoch
	octx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	start := time.Now()
	err := g.via(o.Verb).Order(octx, g.spec.Members[rank], o)
	if err != nil {
		meter.Event("orders_failed")
		g.trail.Log("order_failed", "group", g.spec.Name, "epoch", g.epoch, "rank", rank, "order", string(o.Verb), "map", o.Map, "step", o.Step,
			"token", o.Token, "took", time.Since(start), "error", trace.UserMessage(err))
	}
	return err
}

// report returns the state of one rank.
func (g *group) report(ctx context.Context, rank int, counts bool) (core.RankReport, error) {
	rctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return g.ranks.Report(rctx, g.spec.Members[rank], counts)
}

// prepare has all ranks copy the map and waits until they have. A rank may
// answer that it has had the version if an order took effect whose answer was
// lost; its report tells.
func (g *group) prepare(ctx context.Context, version uint64, lists expert.Lists, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	o := core.RankOrder{Verb: core.RankPrepare, Map: version, Placement: lists}
	return g.each(func(rank int) error {
		sent := false
		for try := 0; !sent; try++ {
			err := g.order(ctx, rank, o)
			switch {
			case err == nil:
				sent = true
			case trace.IsCompareFailed(err) && try > 0:
				sent = true
			case !trace.IsConnectionProblem(err):
				return err
			case try >= prepareTries || ctx.Err() != nil:
				return err
			}
		}
		for {
			r, err := g.report(ctx, rank, false)
			switch {
			case ctx.Err() != nil:
				return trace.ConnectionProblem(ctx.Err(), "rank %d has not prepared map %d in time", rank, version)
			case err == nil && r.Epoch != g.epoch:
				return trace.CompareFailed("the group has formed anew")
			case err == nil && r.PreparedMap == version:
				return nil
			}
			_ = clock.Real{}.Sleep(ctx, pollPeriod)
		}
	})
}

// holder is the rank that holds the group.
const holder = 0

// hold keeps the group from beginning a pass and returns which. It is the next
// one, or a later one if the orders to arm are expected to take longer than a
// pass, since the group waits for them. If the pass has begun it tries a later
// one.
func (g *group) hold(ctx context.Context) (uint64, error) {
	margin := uint64(1)
	if g.passTime > 0 {
		margin = min(margin+uint64(g.armTime/g.passTime), mostMargin)
	}
	for range holdTries {
		r, err := g.report(ctx, holder, false)
		if err != nil {
			return 0, err
		}
		if r.Epoch != g.epoch {
			return 0, trace.CompareFailed("the group has formed anew")
		}
		step := r.Step + margin
		err = g.confirm(ctx, holder, core.RankOrder{Verb: core.RankHold, Step: step})
		if err == nil {
			return step, nil
		}
		if !trace.IsCompareFailed(err) {
			return 0, err
		}
		margin++
	}
	return 0, trace.CompareFailed("no pass could be held in %d tries", holdTries)
}

// confirm repeats an order until the rank answers. It gives up only if the
// group has formed anew.
func (g *group) confirm(ctx context.Context, rank int, o core.RankOrder) error {
	for {
		err := g.order(ctx, rank, o)
		if err == nil || !trace.IsConnectionProblem(err) {
			return err
		}
		if g.reformed(ctx, rank) {
			return trace.CompareFailed("the group has formed anew")
		}
		_ = clock.Real{}.Sleep(ctx, orderPause)
	}
}

// reformed reports whether the group is of another epoch or has ended, as far
// as any of its ranks tells.
func (g *group) reformed(ctx context.Context, rank int) bool {
	for _, i := range []int{rank, (rank + 1) % len(g.spec.Members)} {
		if r, err := g.report(ctx, i, false); err == nil && r.Epoch != g.epoch {
			return true
		}
	}
	return false
}

// armAll has every rank promise to switch at the step.
func (g *group) armAll(ctx context.Context, version, step uint64) error {
	return g.each(func(rank int) error {
		return g.confirm(ctx, rank, core.RankOrder{Verb: core.RankArm, Map: version, Step: step})
	})
}

// release ends the hold at the step.
func (g *group) release(ctx context.Context, step uint64) error {
	return g.confirm(ctx, holder, core.RankOrder{Verb: core.RankRelease, Step: step})
}
