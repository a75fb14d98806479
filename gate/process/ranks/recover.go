package ranks

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/clock"
)

const (
	// recoverTimeout bounds one attempt to finish a switch that a former leader
	// began. The next round tries again.
	recoverTimeout = 2 * time.Second
	// refusedPrepareTimeout is how long a rank that refuses a version is asked whether it
	// has accepted an earlier copy of the order, whose response was lost.
	refusedPrepareTimeout = 300 * time.Millisecond
)

// unfinishedSwitch describes a reported switch that this leader has not released
// itself.
type unfinishedSwitch struct {
	armedCount int
	// version is the map that ranks are armed with; zero if none is armed. step is the
	// forward pass before which they switch, or the held one.
	version, step uint64
	holdingRanks  []int
}

// findUnfinishedSwitch returns the unfinished switch found in the reports, or
// nil.
func (g *group) findUnfinishedSwitch(reports []core.RankReport) *unfinishedSwitch {
	var u unfinishedSwitch
	for i, r := range reports {
		if r.Held {
			u.holdingRanks = append(u.holdingRanks, i)
			u.step = r.HeldStep
		}
	}
	for _, r := range reports {
		if r.Armed {
			u.armedCount++
			u.version, u.step = r.ArmedMap, r.ArmedStep
		}
	}
	if u.armedCount == 0 && len(u.holdingRanks) == 0 {
		return nil
	}
	if len(u.holdingRanks) > 0 {
		return &u
	}
	for _, r := range reports {
		if !r.Armed && r.Map != u.version {
			return &u
		}
	}
	// The hold was released with all ranks armed: the group switches when the
	// pass begins, or has switched while the reports were read.
	return nil
}

// finishSwitch completes an unfinished switch. If that is impossible, it switches the
// group to the map in use under a new version instead. In both cases the hold ends only
// once every rank has promised the same switch before the held pass, so that no other
// switch can hold this pass again: a late copy of the release is then harmless.
func (g *group) finishSwitch(ctx context.Context, u *unfinishedSwitch) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recoverTimeout)
	defer cancel()
	g.decisionLog.Log("switch_found", "group", g.spec.Name, "epoch", g.epoch, "armed", u.armedCount, "map", u.version, "step", u.step, "held", len(u.holdingRanks), "token", g.token)
	if len(u.holdingRanks) == 0 {
		// The pass must not begin before all ranks are armed.
		err := g.orderUntilResponse(ctx, holdingRank, core.RankOrder{Verb: core.RankHold, Step: u.step})
		switch {
		case trace.IsCompareFailed(err) && g.passHasBegun(ctx, u):
			return nil
		case err != nil:
			return trace.Wrap(err, "hold")
		}
		u.holdingRanks = []int{holdingRank}
	}
	version, complete := u.version, u.armedCount > 0
	if complete {
		err := g.armAll(ctx, u.version, u.step)
		switch {
		case err == nil:
		case trace.IsCompareFailed(err) && g.passHasBegun(ctx, u):
			// Another leader has finished it in the meantime.
		case trace.IsCompareFailed(err) && g.cannotComplete(ctx, u):
			complete = false
		default:
			return trace.Wrap(err, "complete")
		}
	}
	if !complete {
		var err error
		// If all ranks are armed by now, the next round completes the switch.
		if version, err = g.replaceSwitch(ctx, u); err != nil {
			return trace.Wrap(err, "replace")
		}
	}
	for _, rank := range u.holdingRanks {
		r, err := g.readReport(ctx, rank, false)
		if err != nil {
			return err
		}
		// A hold at a later pass belongs to the next switch, whose ranks may not
		// be armed yet.
		if !r.Held || r.Epoch != g.epoch || r.HeldStep > u.step {
			continue
		}
		if err := g.orderUntilResponse(ctx, rank, core.RankOrder{Verb: core.RankRelease, Step: r.HeldStep}); err != nil {
			return trace.Wrap(err, "release")
		}
	}
	g.decisionLog.Log("switch_ended", "group", g.spec.Name, "epoch", g.epoch, "map", version, "step", u.step, "completed", complete, "token", g.token)
	// The next round after the switch's pass reads the map in use again.
	g.placement, g.pending = nil, nil
	return nil
}

// passHasBegun reports whether the group has begun the pass of the switch, or has
// re-formed.
func (g *group) passHasBegun(ctx context.Context, u *unfinishedSwitch) bool {
	r, err := g.readReport(ctx, holdingRank, false)
	return err == nil && (r.Epoch != g.epoch || r.Step >= u.step)
}

// cannotComplete reports whether some rank is not armed and does not have the
// version prepared, so that it can never be armed with it.
func (g *group) cannotComplete(ctx context.Context, u *unfinishedSwitch) bool {
	for i := range g.spec.Members {
		r, err := g.readReport(ctx, i, false)
		if err == nil && r.Epoch == g.epoch && !r.Armed && r.PreparedMap != u.version && r.Map != u.version {
			return true
		}
	}
	return false
}

// replaceSwitch has all ranks promise a switch to the map in use, under a new version,
// before the held pass. It returns that version.
//
// Every rank first prepares the new version, which replaces the one that the former
// leader would arm. An armed rank refuses that. It is disarmed only if a rank has accepted
// a higher version than the one with which it is armed: that rank can never be armed with
// the lower one, so nobody has or will get the confirmations of all ranks for it. A rank
// that is armed with a higher version, or refuses for another reason, has been reached by
// a later recovery or switch. replaceSwitch then returns trace.CompareFailed, as it does
// if all ranks are armed.
func (g *group) replaceSwitch(ctx context.Context, u *unfinishedSwitch) (uint64, error) {
	if g.placement == nil {
		if _, err := g.readPlacement(ctx); err != nil {
			return 0, err
		}
	}
	version := g.nextVersion()
	var accepted atomic.Bool
	armedWith := make([]uint64, len(g.spec.Members))
	if err := g.forEachRank(func(rank int) error {
		armed, err := g.prepareUnlessArmed(ctx, rank, version)
		if armedWith[rank] = armed; err == nil && armed == 0 {
			accepted.Store(true)
		}
		return err
	}); err != nil {
		return 0, err
	}
	if !accepted.Load() {
		return 0, trace.CompareFailed("all ranks are armed")
	}
	if err := g.forEachRank(func(rank int) error {
		for armedWith[rank] != 0 {
			if ctx.Err() != nil {
				return trace.ConnectionProblem(ctx.Err(), "rank %d was not disarmed in time", rank)
			}
			if armedWith[rank] >= version {
				return trace.CompareFailed("rank %d is armed with map %d of a later switch", rank, armedWith[rank])
			}
			if err := g.orderUntilResponse(ctx, rank, core.RankOrder{Verb: core.RankDisarm, Map: armedWith[rank]}); err != nil && !trace.IsCompareFailed(err) {
				return err
			}
			armed, err := g.prepareUnlessArmed(ctx, rank, version)
			if err != nil {
				return err
			}
			armedWith[rank] = armed
		}
		return nil
	}); err != nil {
		return 0, err
	}
	return version, trace.Wrap(g.armAll(ctx, version, u.step))
}

// prepareUnlessArmed has a rank prepare the map in use under the given version, and waits
// until it has. If the rank refuses because it is armed, it returns the version with which
// it is armed. It fails with trace.CompareFailed if the rank refuses for another reason.
func (g *group) prepareUnlessArmed(ctx context.Context, rank int, version uint64) (armedWith uint64, err error) {
	refusal := g.orderUntilResponse(ctx, rank, core.RankOrder{Verb: core.RankPrepare, Map: version, Placement: g.placement})
	if refusal != nil && !trace.IsCompareFailed(refusal) {
		return 0, refusal
	}
	for start := time.Now(); ; {
		r, err := g.readReport(ctx, rank, false)
		switch {
		case ctx.Err() != nil:
			return 0, trace.ConnectionProblem(ctx.Err(), "rank %d has not prepared map %d in time", rank, version)
		case err != nil:
		case r.Epoch != g.epoch:
			return 0, trace.CompareFailed("the group has re-formed")
		case r.PreparedMap == version:
			// Also if an earlier order took effect and its response was lost.
			return 0, nil
		case refusal != nil && r.Armed:
			return r.ArmedMap, nil
		case r.PreparedMap > version || r.Map > version:
			return 0, trace.CompareFailed("rank %d has a later map than %d", rank, version)
		case refusal != nil && time.Since(start) > refusedPrepareTimeout:
			return 0, refusal
		}
		_ = clock.Real{}.Sleep(ctx, orderRetryDelay)
	}
}
