package ranks

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/version/expert"
)

const (
	// roundPeriod is the time between looks at the counts. What is in demand
	// shifts within seconds.
	roundPeriod = 200 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = 200 * time.Millisecond
	// leastObserved is the time that the load must cover before a map is planned
	// from it.
	leastObserved = 350 * time.Millisecond
	// leastSkew is the skew up to which a map is left as it is.
	leastSkew = 1.2
	// leastGain is the part by which passes must become shorter.
	leastGain = 0.05
	// targetSkew is the skew of a set at which a plan ends.
	targetSkew = 1.1
	// moveCost is the least reduction of a set's greatest load, as a part of the
	// load of all its ranks together, for which an expert is copied: passes take
	// 15 in 100 longer while ranks copy.
	moveCost = 0.36
	// easyShare is the part of the longest pause on time up to which passes have
	// room: a burst to 1.7 times the requests leaves them on time. easySkew and
	// easyMoveCost then take the places of leastSkew and moveCost, since a copy is
	// priced and callers do not see the gain. At a skew of 2 and three times the
	// cost more sequences run at once, and a shift then makes them late.
	easyShare    = 0.45
	easySkew     = 1.5
	easyMoveCost = 1.5 * moveCost
	// countedRanks bounds the ranks whose counts are read, so that the bytes and
	// the time of a round do not grow with the product of ranks and experts. All
	// ranks get requests of the same kinds; 12 of them choose some ten thousand
	// experts in a round.
	countedRanks = 12
	// rankSpare bounds the experts that one rank copies for a map, each of which
	// takes a tenth of a second: a second map can follow.
	rankSpare = 3
)

// round looks at the group once and switches its map if that pays.
func (g *group) round(ctx context.Context) error {
	if !g.spec.complete() {
		return nil
	}
	reports := make([]core.RankReport, len(g.spec.Members))
	if err := g.each(func(i int) error {
		var err error
		reports[i], err = g.report(ctx, i, counted(i, len(reports)))
		return err
	}); err != nil {
		return trace.Wrap(err, "reports")
	}
	for i, r := range reports {
		if r.Epoch != reports[0].Epoch || !r.Open || r.Rank != i {
			// The group is forming.
			return nil
		}
	}
	if reports[0].Epoch != g.epoch {
		g.reset(reports[0].Epoch)
	}
	now := time.Now()
	for _, r := range reports {
		g.highest = max(g.highest, r.Map, r.PreparedMap, r.ArmedMap)
	}
	g.observe(now, reports)
	g.observeStep(now, reports[0].Step)
	g.observePace(reports)
	if u := g.unfinishedIn(reports); u != nil {
		return g.finish(ctx, u)
	}
	if !g.settled(reports) {
		return nil
	}
	if g.lists == nil || reports[0].Map != g.version {
		if err := g.learn(ctx); err != nil {
			return trace.Wrap(err, "learn")
		}
	}
	return g.plan(ctx)
}

// counted reports whether the counts of a rank are read, of so many ranks. They
// are the same ones each time, since counts are compared with those before.
func counted(rank, ranks int) bool {
	every := (ranks + countedRanks - 1) / countedRanks
	return rank%every == 0
}

// settled reports whether all ranks use one map and none is about to switch.
func (g *group) settled(reports []core.RankReport) bool {
	for _, r := range reports {
		if r.Armed || r.Map != reports[0].Map {
			return false
		}
	}
	if p := g.pending; p != nil {
		if reports[0].Map != p.version {
			return false
		}
		g.version, g.lists, g.pending = p.version, p.lists, nil
		g.trail.Log("map_in_use", "group", g.spec.Name, "epoch", g.epoch, "map", p.version, "step", p.step, "pass", g.passTime)
	}
	return true
}

// learn reads the map in use from the ranks.
func (g *group) learn(ctx context.Context) error {
	e := &g.spec.Engine
	lists := make(expert.Lists, e.LayerSets)
	for s := range lists {
		lists[s] = make([][]int, len(g.spec.Members))
	}
	versions := make([]uint64, len(g.spec.Members))
	if err := g.each(func(i int) error {
		rctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		version, sets, err := g.ranks.Placement(rctx, g.spec.Members[i])
		if err != nil {
			return err
		}
		if len(sets) != e.LayerSets {
			return trace.BadParameter("rank %d has %d sets of experts, want %d", i, len(sets), e.LayerSets)
		}
		versions[i] = version
		for s := range sets {
			lists[s][i] = sets[s]
		}
		return nil
	}); err != nil {
		return err
	}
	for i, v := range versions {
		if v != versions[0] {
			return trace.CompareFailed("rank %d uses map %d, rank 0 map %d", i, v, versions[0])
		}
	}
	g.version, g.lists = versions[0], lists
	g.trail.Log("map_learned", "group", g.spec.Name, "epoch", g.epoch, "map", g.version)
	return nil
}

// plan switches the map if the passes become shorter by enough.
func (g *group) plan(ctx context.Context) error {
	if g.load == nil || g.observed < leastObserved {
		return nil
	}
	next := g.better()
	if next == nil {
		return nil
	}
	return g.swap(ctx, next)
}

// better returns the lists of a map that is worth its copies, nil if there is
// none.
func (g *group) better() expert.Lists {
	e := &g.spec.Engine
	before := g.lists.Skew(g.load, g.pace)
	meter.Gauge("expert_skew_"+g.spec.Name, func() any { return before })
	skew, cost := leastSkew, moveCost
	if g.pauseShare > 0 && g.pauseShare < easyShare {
		skew, cost = easySkew, easyMoveCost
	}
	if before < skew {
		return nil
	}
	next := expert.Bounded{
		Places: e.SlotsPerRank, Spare: e.MaxNewExperts, RankSpare: rankSpare, MoveCost: cost / float64(len(g.spec.Members)), Target: targetSkew, Pace: g.pace,
	}.Place(g.lists, g.load)
	if next == nil {
		return nil
	}
	after := next.Skew(g.load, g.pace)
	if 1-passTime(e, after)/passTime(e, before) < leastGain {
		return nil
	}
	return next
}

// passTime returns the time of a pass at a skew, as a multiple of that of a
// balanced one.
func passTime(e *core.EngineConfig, skew float64) float64 {
	return 1 - e.ExpertShare + e.ExpertShare*skew
}
