package ranks

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/clock"
)

// recoverTimeout bounds one attempt to finish a switch that a former leader
// began. The next round tries again.
const recoverTimeout = 2 * time.Second

// unfinishedSwitch describes a reported switch that this leader has not released
// itself.
type unfinishedSwitch struct {
	armedCount    int
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

// finishSwitch completes an unfinished switch, or rolls it back if it cannot be
// completed.
func (g *group) finishSwitch(ctx context.Context, u *unfinishedSwitch) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recoverTimeout)
	defer cancel()
	g.decisionLog.Log("switch_found", "group", g.spec.Name, "epoch", g.epoch, "armed", u.armedCount, "map", u.version, "step", u.step, "held", len(u.holdingRanks), "token", g.token)
	complete := u.armedCount > 0
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
		// If all ranks are armed by now, the next round completes the switch.
		if err := g.rollBack(ctx); err != nil {
			return trace.Wrap(err, "roll back")
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
	g.decisionLog.Log("switch_ended", "group", g.spec.Name, "epoch", g.epoch, "map", u.version, "step", u.step, "completed", complete)
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

// rollBack disarms every rank and replaces the prepared version that the former
// leader would arm. It has each rank prepare the map in use under a new version,
// which a rank that has not prepared that version yet refuses only while it is
// armed. Ranks are disarmed only after at least one rank has accepted: the former
// leader can then no longer get confirmations from all ranks. rollBack returns
// trace.CompareFailed if all ranks are armed.
func (g *group) rollBack(ctx context.Context) error {
	if g.placement == nil {
		if err := g.readPlacement(ctx); err != nil {
			return err
		}
	}
	version := g.nextVersion()
	refused := make([]bool, len(g.spec.Members))
	if err := g.forEachRank(func(rank int) error {
		accepted, err := g.prepareIfUnarmed(ctx, rank, version)
		refused[rank] = !accepted
		return err
	}); err != nil {
		return err
	}
	if !slices.Contains(refused, false) {
		return trace.CompareFailed("all ranks are armed")
	}
	return g.forEachRank(func(rank int) error {
		for refused[rank] {
			r, err := g.readReport(ctx, rank, false)
			switch {
			case ctx.Err() != nil:
				return trace.ConnectionProblem(ctx.Err(), "rank %d was not disarmed in time", rank)
			case err == nil && r.Epoch != g.epoch:
				return trace.CompareFailed("the group has re-formed")
			case err == nil && r.Armed:
				if err := g.orderUntilResponse(ctx, rank, core.RankOrder{Verb: core.RankDisarm, Map: r.ArmedMap}); err != nil && !trace.IsCompareFailed(err) {
					return err
				}
			}
			accepted, err := g.prepareIfUnarmed(ctx, rank, version)
			if err != nil {
				return err
			}
			if refused[rank] = !accepted; refused[rank] {
				_ = clock.Real{}.Sleep(ctx, orderRetryDelay)
			}
		}
		return nil
	})
}

// prepareIfUnarmed orders a rank to prepare the map in use under the given
// version and reports whether the rank has accepted. An armed rank refuses.
func (g *group) prepareIfUnarmed(ctx context.Context, rank int, version uint64) (bool, error) {
	err := g.orderUntilResponse(ctx, rank, core.RankOrder{Verb: core.RankPrepare, Map: version, Placement: g.placement})
	if err == nil || !trace.IsCompareFailed(err) {
		return err == nil, err
	}
	r, err := g.readReport(ctx, rank, false)
	if err != nil {
		return false, err
	}
	if r.Epoch != g.epoch {
		return false, trace.CompareFailed("the group has re-formed")
	}
	// If an earlier order took effect and its response was lost, the rank refuses
	// the repeated order although it has prepared the version.
	return r.PreparedMap == version, nil
}
