package ranks

import (
	"context"
	"time"

	"parsleyroute.example/core/process/clock"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
)

const (
	// holdCheckInterval is the time between a contender's checks of the rank that
	// holds the group during a switch.
	holdCheckInterval = 120 * time.Millisecond
	// minHoldChecks is the number of consecutive checks that must find the same
	// hold before a contender completes the switch. A hold normally lasts about
	// 20 ms.
	minHoldChecks = 2
)

// recoverAbandonedSwitches completes switches whose leader has stopped midway
// while its lease has not expired yet, since a group runs no forward passes while
// it is held. The leader may continue with the switch, and other contenders may recover it
// at the same time; see replaceSwitch.
func (l *Leader) recoverAbandonedSwitches(ctx context.Context) {
	type hold struct {
		epoch, step uint64
		checks      int
	}
	holds := map[string]hold{}
	for ctx.Err() == nil {
		_ = clock.Real{}.Sleep(ctx, holdCheckInterval)
		if _, leading := l.leaderToken(); leading || !l.Contends() {
			clear(holds)
			continue
		}
		for name, spec := range *l.specs.Load() {
			if !spec.complete() {
				continue
			}
			g := l.newGroup(l.lastSeenToken())
			g.spec = spec
			r, err := g.readReport(ctx, holdingRank, false)
			if err != nil || !r.Held {
				delete(holds, name)
				continue
			}
			h := holds[name]
			if h.epoch != r.Epoch || h.step != r.HeldStep {
				h = hold{epoch: r.Epoch, step: r.HeldStep}
			}
			h.checks++
			holds[name] = h
			if h.checks < minHoldChecks {
				continue
			}
			if err := g.recoverSwitch(ctx, r.Epoch); err != nil {
				// guard_failed is the event of a failed recovery.
				l.DecisionLog.Log("guard_failed", "group", name, "epoch", r.Epoch, "step", r.HeldStep, "error", err)
			}
		}
	}
}

// lastSeenToken returns the latest token of the lease known to this process.
func (l *Leader) lastSeenToken() uint64 {
	if t := l.lease.Load(); t != nil {
		return t.HighestToken()
	}
	return 0
}

// recoverSwitch finishes the unfinished switch that the ranks report, if any.
func (g *group) recoverSwitch(ctx context.Context, epoch uint64) error {
	g.startEpoch(epoch)
	reports := make([]core.RankReport, len(g.spec.Members))
	if err := g.forEachRank(func(i int) error {
		var err error
		reports[i], err = g.readReport(ctx, i, false)
		return err
	}); err != nil {
		return trace.Wrap(err, "reports")
	}
	for _, r := range reports {
		if r.Epoch != epoch {
			return trace.CompareFailed("the group has re-formed")
		}
		g.highestVersion = max(g.highestVersion, r.Map, r.PreparedMap, r.ArmedMap)
	}
	if u := g.findUnfinishedSwitch(reports); u != nil {
		return g.finishSwitch(ctx, u)
	}
	return nil
}
