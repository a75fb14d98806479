package ranks

import (
	"context"
	"time"

	"parsleyroute.example/core/process/clock"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
)

const (
	// guardPeriod is the time between looks of a contender at the rank that
	// holds the group during a switch.
	guardPeriod = 120 * time.Millisecond
	// guardLooks is the number of looks in a row that must find one hold before
	// a contender ends it: a leader's own hold lasts some 20 ms.
	guardLooks = 2
)

// guard ends switches whose leader has stopped in the middle, while the lease
// has not lapsed yet: each group stands still until then. Completing a switch is
// safe beside a leader that goes on with it.
func (l *Leader) guard(ctx context.Context) {
	type hold struct {
		epoch, step uint64
		looks       int
	}
	holds := map[string]hold{}
	for ctx.Err() == nil {
		_ = clock.Real{}.Sleep(ctx, guardPeriod)
		if _, leading := l.held(); leading || !l.Contends() {
			clear(holds)
			continue
		}
		for name, spec := range *l.specs.Load() {
			if !spec.complete() {
				continue
			}
			g := l.newGroup(l.seen())
			g.spec = spec
			r, err := g.report(ctx, holder, false)
			if err != nil || !r.Held {
				delete(holds, name)
				continue
			}
			h := holds[name]
			if h.epoch != r.Epoch || h.step != r.HeldStep {
				h = hold{epoch: r.Epoch, step: r.HeldStep}
			}
			h.looks++
			holds[name] = h
			if h.looks < guardLooks {
				continue
			}
			if err := g.end(ctx, r.Epoch); err != nil {
				l.Trail.Log("guard_failed", "group", name, "epoch", r.Epoch, "step", r.HeldStep, "error", err)
			}
		}
	}
}

// seen returns the last token of the lease that this process knows of.
func (l *Leader) seen() uint64 {
	if t := l.lease.Load(); t != nil {
		return t.Seen()
	}
	return 0
}

// end finishes the switch that the ranks report, if there is one.
func (g *group) end(ctx context.Context, epoch uint64) error {
	g.reset(epoch)
	reports := make([]core.RankReport, len(g.spec.Members))
	if err := g.each(func(i int) error {
		var err error
		reports[i], err = g.report(ctx, i, false)
		return err
	}); err != nil {
		return trace.Wrap(err, "reports")
	}
	for _, r := range reports {
		if r.Epoch != epoch {
			return trace.CompareFailed("the group has formed anew")
		}
		g.highest = max(g.highest, r.Map, r.PreparedMap, r.ArmedMap)
	}
	if u := g.unfinishedIn(reports); u != nil {
		return g.finish(ctx, u)
	}
	return nil
}
