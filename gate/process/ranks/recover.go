package ranks

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
)

// recoverLimit bounds one attempt to end a switch that a former leader began.
// The next round goes on with it.
const recoverLimit = 2 * time.Second

// unfinished describes a switch that ranks report and that this leader has not
// released itself.
type unfinished struct {
	armed         int
	version, step uint64
	held          []int
}

// unfinishedIn returns the unfinished switch among the reports, or nil.
func (g *group) unfinishedIn(reports []core.RankReport) *unfinished {
	var u unfinished
	for i, r := range reports {
		if r.Held {
			u.held = append(u.held, i)
			u.step = r.HeldStep
		}
	}
	for _, r := range reports {
		if r.Armed {
			u.armed++
			u.version, u.step = r.ArmedMap, r.ArmedStep
		}
	}
	if u.armed == 0 && len(u.held) == 0 {
		return nil
	}
	if len(u.held) > 0 {
		return &u
	}
	for _, r := range reports {
		if !r.Armed && r.Map != u.version {
			return &u
		}
	}
	// The hold was released with all ranks armed: the group switches as the pass
	// begins, or has switched while the reports were read.
	return nil
}

// finish completes an unfinished switch, or takes it back if it cannot be
// completed.
func (g *group) finish(ctx context.Context, u *unfinished) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recoverLimit)
	defer cancel()
	g.trail.Log("switch_found", "group", g.spec.Name, "epoch", g.epoch, "armed", u.armed, "map", u.version, "step", u.step, "held", len(u.held), "token", g.token)
	complete := u.armed > 0
	if complete {
		err := g.armAll(ctx, u.version, u.step)
		switch {
		case err == nil:
		case trace.IsCompareFailed(err) && g.passed(ctx, u):
			// Another leader has ended it meanwhile.
		case trace.IsCompareFailed(err) && g.impossible(ctx, u):
			complete = false
		default:
			return trace.Wrap(err, "complete")
		}
	}
	if !complete {
		// If all ranks are armed by now, the next round completes the switch.
		if err := g.takeBack(ctx); err != nil {
			return trace.Wrap(err, "take back")
		}
	}
	for _, rank := range u.held {
		r, err := g.report(ctx, rank, false)
		if err != nil {
			return err
		}
		// A hold at a later pass is that of the next switch, whose ranks may not
		// be armed yet.
		if !r.Held || r.Epoch != g.epoch || r.HeldStep > u.step {
			continue
		}
		if err := g.confirm(ctx, rank, core.RankOrder{Verb: core.RankRelease, Step: r.HeldStep}); err != nil {
			return trace.Wrap(err, "release")
		}
	}
	g.trail.Log("switch_ended", "group", g.spec.Name, "epoch", g.epoch, "map", u.version, "step", u.step, "completed", complete)
	// The map in use is read anew when the group has passed the step.
	g.lists, g.pending = nil, nil
	return nil
}

// passed reports whether the group has begun the pass of the switch.
func (g *group) passed(ctx context.Context, u *unfinished) bool {
	r, err := g.report(ctx, holder, false)
	return err == nil && (r.Epoch != g.epoch || r.Step >= u.step)
}

// impossible reports whether some rank is not armed and does not have the
// version prepared, so that it can never be armed with it.
func (g *group) impossible(ctx context.Context, u *unfinished) bool {
	for i := range g.spec.Members {
		r, err := g.report(ctx, i, false)
		if err == nil && r.Epoch == g.epoch && !r.Armed && r.PreparedMap != u.version && r.Map != u.version {
			return true
		}
	}
	return false
}

// takeBack leaves every rank unarmed and without the version prepared that the
// former leader would arm: it has each prepare the map in use under a new
// version, which a rank refuses only while it is armed. Promises are taken back
// only after one rank has accepted: the former leader can then no longer have
// all ranks confirmed. It fails with trace.CompareFailed if all ranks turn out
// to be armed.
func (g *group) takeBack(ctx context.Context) error {
	if g.lists == nil {
		if err := g.learn(ctx); err != nil {
			return err
		}
	}
	version := g.nextVersion()
	refused := make([]bool, len(g.spec.Members))
	if err := g.each(func(rank int) error {
		accepted, err := g.prepareUnarmed(ctx, rank, version)
		refused[rank] = !accepted
		return err
	}); err != nil {
		return err
	}
	if !slices.Contains(refused, false) {
		return trace.CompareFailed("all ranks are armed")
	}
	return g.each(func(rank int) error {
		for refused[rank] {
			r, err := g.report(ctx, rank, false)
			switch {
			case ctx.Err() != nil:
				return trace.ConnectionProblem(ctx.Err(), "rank %d did not give its promise back in time", rank)
			case err == nil && r.Epoch != g.epoch:
				return trace.CompareFailed("the group has formed anew")
			case err == nil && r.Armed:
				if err := g.confirm(ctx, rank, core.RankOrder{Verb: core.RankDisarm, Map: r.ArmedMap}); err != nil && !trace.IsCompareFailed(err) {
					return err
				}
			}
			accepted, err := g.prepareUnarmed(ctx, rank, version)
			if err != nil {
				return err
			}
			refused[rank] = !accepted
		}
		return nil
	})
}

// prepareUnarmed orders a rank to prepare the map in use under a version, and
// reports whether it has: an armed rank refuses.
func (g *group) prepareUnarmed(ctx context.Context, rank int, version uint64) (bool, error) {
	err := g.confirm(ctx, rank, core.RankOrder{Verb: core.RankPrepare, Map: version, Placement: g.lists})
	if err == nil || !trace.IsCompareFailed(err) {
		return err == nil, err
	}
	r, err := g.report(ctx, rank, false)
	if err != nil {
		return false, err
	}
	if r.Epoch != g.epoch {
		return false, trace.CompareFailed("the group has formed anew")
	}
	// An earlier order took effect whose answer was lost.
	return r.PreparedMap == version, nil
}
