package ranks

import (
	"cmp"
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
	// orderTimeout bounds one order to a rank, which responds within a network
	// round trip. An order without a response is repeated.
	orderTimeout = 60 * time.Millisecond
	// orderRetryDelay is the time between two attempts to send an order.
	orderRetryDelay = 5 * time.Millisecond
	// prepareMargin is the time that preparing a map may take beyond the expected
	// duration of its copies.
	prepareMargin = 2500 * time.Millisecond
	// preparePollInterval is the time between checks whether a rank's copy is
	// complete.
	preparePollInterval = 50 * time.Millisecond
	// maxHoldMargin limits how many passes ahead the first attempt to hold the
	// group is.
	maxHoldMargin = 12
	// maxHoldAttempts bounds the attempts to hold a pass that has not begun.
	maxHoldAttempts = 6
	// maxPrepareAttempts bounds the number of times that a prepare order is
	// repeated to a rank that does not respond.
	maxPrepareAttempts = 12
	// defaultExpertCopyTime is assumed if the configuration does not state how long
	// copying one expert takes.
	defaultExpertCopyTime = 200 * time.Millisecond
)

// switchTo switches the group to the given placement. Until the group is held, it
// returns the first error. From then on it repeats orders without response until
// the outcome is the same for all ranks or the group has re-formed.
func (g *group) switchTo(ctx context.Context, next expert.Placement) error {
	version := g.nextVersion()
	total, maxPerRank := g.placement.NewExperts(next)
	start := time.Now()
	// "observed" is the time that the load covers, "pause_share" the gap share.
	g.decisionLog.Log("map_planned", "group", g.spec.Name, "epoch", g.epoch, "map", version, "former", g.version, "token", g.token,
		"skew", g.skew(g.placement), "expected_skew", g.skew(next), "new_experts", total, "observed", g.loadDuration, "pause_share", g.gapShare)
	if err := g.prepareAll(ctx, version, next, time.Duration(maxPerRank)*cmp.Or(g.spec.Engine.ExpertCopyTime, defaultExpertCopyTime)+prepareMargin); err != nil {
		return trace.Wrap(err, "prepare")
	}
	prepareDuration := time.Since(start)
	// The remaining phases must not be cancelled midway.
	ctx = context.WithoutCancel(ctx)
	step, err := g.holdPass(ctx)
	if err != nil {
		return trace.Wrap(err, "hold")
	}
	heldSince := time.Now()
	if err := g.armAll(ctx, version, step); err != nil {
		return trace.Wrap(err, "arm")
	}
	g.armDuration = time.Since(heldSince)
	if err := g.releaseHold(ctx, step); err != nil {
		return trace.Wrap(err, "release")
	}
	meter.Event("map_switches")
	meter.ObserveLatency("map_hold", time.Since(heldSince))
	g.pending = &pendingSwitch{version: version, step: step, placement: next}
	g.decisionLog.Log("map_released", "group", g.spec.Name, "epoch", g.epoch, "map", version, "step", step,
		"prepared_in", prepareDuration, "held_for", time.Since(heldSince))
	return nil
}

// skew returns the skew of a placement under the present load, zero if that is unknown.
func (g *group) skew(p expert.Placement) float64 {
	if g.load == nil {
		return 0
	}
	return p.Skew(g.load, g.slowdowns)
}

// forEachRank calls f concurrently for all ranks and returns the error of the
// first rank that has one.
func (g *group) forEachRank(f func(rank int) error) error {
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

// clientFor returns the client that sends orders of the given verb. Hold and
// release orders go directly to the engine, because the sidecar that forwards a
// hold may freeze while the group is held, and the hold could then not be
// released. This avoids only that case: if the whole machine freezes, the
// engine's own interface freezes too, and the hold cannot be released either.
func (g *group) clientFor(v core.RankVerb) core.RankClient {
	if v == core.RankHold || v == core.RankRelease {
		return g.direct
	}
	return g.ranks
}

// sendOrder sends an order to a rank once.
func (g *group) sendOrder(ctx context.Context, rank int, o core.RankOrder) error {
	o.Token, o.Epoch = g.token, g.epoch
	octx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	start := time.Now()
	err := g.clientFor(o.Verb).Order(octx, g.spec.Members[rank], o)
	if err != nil {
		meter.Event("orders_failed")
		g.decisionLog.Log("order_failed", "group", g.spec.Name, "epoch", g.epoch, "rank", rank, "order", string(o.Verb), "map", o.Map, "step", o.Step,
			"token", o.Token, "took", time.Since(start), "error", trace.UserMessage(err))
	}
	return err
}

// readReport returns the state of one rank, with its expert counts if requested.
func (g *group) readReport(ctx context.Context, rank int, counts bool) (core.RankReport, error) {
	rctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return g.ranks.Report(rctx, g.spec.Members[rank], counts)
}

// prepareAll has all ranks copy the experts that the map assigns to them and waits
// until they are done. A rank refuses a repeated order if an earlier one took
// effect and its response was lost; its report then shows whether the version is
// prepared.
func (g *group) prepareAll(ctx context.Context, version uint64, placement expert.Placement, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	o := core.RankOrder{Verb: core.RankPrepare, Map: version, Placement: placement}
	return g.forEachRank(func(rank int) error {
		sent := false
		for attempt := 0; !sent; attempt++ {
			err := g.sendOrder(ctx, rank, o)
			switch {
			case err == nil:
				sent = true
			case trace.IsCompareFailed(err) && attempt > 0:
				sent = true
			case !trace.IsConnectionProblem(err):
				return err
			case attempt >= maxPrepareAttempts || ctx.Err() != nil:
				return err
			}
		}
		for {
			r, err := g.readReport(ctx, rank, false)
			switch {
			case ctx.Err() != nil:
				return trace.ConnectionProblem(ctx.Err(), "rank %d has not prepared map %d in time", rank, version)
			case err == nil && r.Epoch != g.epoch:
				return trace.CompareFailed("the group has re-formed")
			case err == nil && r.PreparedMap == version:
				return nil
			}
			_ = clock.Real{}.Sleep(ctx, preparePollInterval)
		}
	})
}

// holdingRank is the rank that receives the hold and release orders.
const holdingRank = 0

// holdPass keeps the group from beginning a forward pass and returns the number
// of that pass. It selects the next pass, or a later one if arming is expected to
// take longer than a pass, since the group would otherwise wait for it. If the
// selected pass has already begun, it tries a later one.
func (g *group) holdPass(ctx context.Context) (uint64, error) {
	margin := uint64(1)
	if g.passDuration > 0 {
		margin = min(margin+uint64(g.armDuration/g.passDuration), maxHoldMargin)
	}
	for range maxHoldAttempts {
		r, err := g.readReport(ctx, holdingRank, false)
		if err != nil {
			return 0, err
		}
		if r.Epoch != g.epoch {
			return 0, trace.CompareFailed("the group has re-formed")
		}
		if r.Held {
			// A rank confirms a hold that it has already, which belongs to another switch.
			return 0, trace.CompareFailed("the group is held before pass %d", r.HeldStep)
		}
		step := r.Step + margin
		err = g.orderUntilResponse(ctx, holdingRank, core.RankOrder{Verb: core.RankHold, Step: step})
		if err == nil {
			return step, nil
		}
		if !trace.IsCompareFailed(err) {
			return 0, err
		}
		margin++
	}
	return 0, trace.CompareFailed("no pass could be held in %d attempts", maxHoldAttempts)
}

// orderUntilResponse repeats an order until the rank responds, and returns an
// error if the rank refuses it. It gives up if the group has re-formed or ctx ends.
func (g *group) orderUntilResponse(ctx context.Context, rank int, o core.RankOrder) error {
	for {
		err := g.sendOrder(ctx, rank, o)
		if err == nil || !trace.IsConnectionProblem(err) || ctx.Err() != nil {
			return err
		}
		if g.hasReformed(ctx, rank) {
			return trace.CompareFailed("the group has re-formed")
		}
		_ = clock.Real{}.Sleep(ctx, orderRetryDelay)
	}
}

// hasReformed reports whether the given rank or the next one reports another
// epoch, as ranks also do when the group has ended.
func (g *group) hasReformed(ctx context.Context, rank int) bool {
	for _, i := range []int{rank, (rank + 1) % len(g.spec.Members)} {
		if r, err := g.readReport(ctx, i, false); err == nil && r.Epoch != g.epoch {
			return true
		}
	}
	return false
}

// armAll has every rank promise to switch when the pass begins.
func (g *group) armAll(ctx context.Context, version, step uint64) error {
	return g.forEachRank(func(rank int) error {
		return g.orderUntilResponse(ctx, rank, core.RankOrder{Verb: core.RankArm, Map: version, Step: step})
	})
}

// releaseHold lets the group begin the held pass.
func (g *group) releaseHold(ctx context.Context, step uint64) error {
	return g.orderUntilResponse(ctx, holdingRank, core.RankOrder{Verb: core.RankRelease, Step: step})
}
