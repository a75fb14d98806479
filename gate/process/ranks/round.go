package ranks

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/version/expert"
)

const (
	// minRoundInterval is the shortest time between readings of the counts. The
	// demand for experts shifts within seconds, and forward passes are skewed until
	// a shift is found.
	minRoundInterval = 100 * time.Millisecond
	// maxReadsPerSecond bounds the reports that a leader reads in a second, so that
	// its processor time does not grow with the number of ranks.
	maxReadsPerSecond = 320
	// reportTimeout bounds the reading of one rank's report or placement.
	reportTimeout = 200 * time.Millisecond
	// minLoadDuration is the time that the load must cover before a map is
	// planned from it.
	minLoadDuration = 350 * time.Millisecond
	// minSkew is the skew below which a map is kept. The skew is the time of the
	// slowest rank, summed over the sets of experts, divided by the sum of the
	// sets' mean rank loads, see expert.Placement.Skew.
	minSkew = 1.2
	// minGain is the fraction by which a new map must shorten a forward pass.
	minGain = 0.05
	// targetSkew is the skew up to which a set of experts (the experts of one layer
	// set, see core.EngineConfig) is not improved further.
	targetSkew = 1.1
	// moveCost limits copies of experts. An expert is copied only if this reduces
	// the greatest rank load of its set by at least moveCost / ranks times the
	// set's mean rank load. Forward passes take 15% longer while ranks copy.
	moveCost = 0.36
	// relaxedGapShare is the gap share below which forward passes have headroom:
	// even a burst to 1.7 times the requests keeps event gaps within the limit.
	// relaxedMinSkew and relaxedMoveCost then replace minSkew and moveCost, since
	// each copy has a cost and callers do not notice the gain. With a minimum
	// skew of 2 and three times the move cost, more sequences run at once, and a
	// shift in demand then makes their events late.
	relaxedGapShare = 0.45
	relaxedMinSkew  = 1.5
	relaxedMoveCost = 1.5 * moveCost
	// maxCountedRanks bounds the number of ranks whose counts are read, so that
	// the traffic and duration of a round do not grow with the product of ranks
	// and experts. All ranks serve the same mix of requests; 12 of them select
	// about ten thousand experts in a round.
	maxCountedRanks = 12
	// maxCopyTime bounds the time for which ranks copy experts for one map, where it
	// allows at least one expert. Passes take 15% longer meanwhile and keep their
	// skew, and the first few copies bring most of the gain. Later maps make further
	// changes.
	maxCopyTime = 150 * time.Millisecond
)

// runRound reads the reports of the group once. It finishes an unfinished switch
// if there is one, and otherwise switches to a better map if one is worthwhile.
func (g *group) runRound(ctx context.Context) error {
	if !g.spec.complete() {
		return nil
	}
	reports := make([]core.RankReport, len(g.spec.Members))
	if err := g.forEachRank(func(i int) error {
		var err error
		reports[i], err = g.readReport(ctx, i, readsCounts(i, len(reports)))
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
		g.startEpoch(reports[0].Epoch)
	}
	now := time.Now()
	for _, r := range reports {
		g.highestVersion = max(g.highestVersion, r.Map, r.PreparedMap, r.ArmedMap)
	}
	g.addCounts(now, reports)
	g.updatePassDuration(now, reports[0].Step)
	g.updateSlowdowns(reports)
	if u := g.findUnfinishedSwitch(reports); u != nil {
		return g.finishSwitch(ctx, u)
	}
	if g.ranksDiffer(reports) {
		return g.unify(ctx)
	}
	if !g.confirmSettled(reports) {
		return nil
	}
	if g.placement == nil || reports[0].Map != g.version {
		uniform, err := g.readPlacement(ctx)
		if err != nil {
			// "learn" stands for reading the placement in use from the ranks.
			return trace.Wrap(err, "learn")
		}
		if !uniform {
			// A switch of another leader or contender takes effect.
			g.placement = nil
			return nil
		}
	}
	return g.rebalance(ctx)
}

// roundInterval returns the time between the rounds of a leader that balances
// groups with the given number of ranks in all.
func roundInterval(ranks int) time.Duration {
	return max(minRoundInterval, time.Duration(ranks)*time.Second/maxReadsPerSecond)
}

// maxNewPerRank returns the number of experts that a rank may copy for one map.
func maxNewPerRank(e *core.EngineConfig) int {
	if e.ExpertCopyTime <= 0 {
		return 1
	}
	return max(1, int(maxCopyTime/e.ExpertCopyTime))
}

// readsCounts reports whether the counts of a rank are read in a group of the
// given number of ranks. The selection is the same in each round, since counts
// are compared with the previous ones.
func readsCounts(rank, ranks int) bool {
	stride := (ranks + maxCountedRanks - 1) / maxCountedRanks
	return rank%stride == 0
}

// confirmSettled reports whether all ranks use the same map and none is about to
// switch. If that map is the one of the pending switch, it becomes the group's
// current map.
func (g *group) confirmSettled(reports []core.RankReport) bool {
	for _, r := range reports {
		if r.Armed || r.Map != reports[0].Map {
			return false
		}
	}
	if p := g.pending; p != nil {
		if reports[0].Map != p.version {
			if reports[0].Step >= p.step {
				// A switch of another leader or contender has followed.
				g.pending, g.placement = nil, nil
			}
			return false
		}
		g.version, g.placement, g.pending = p.version, p.placement, nil
		// "step" is the number of a forward pass, "pass" the duration of one.
		g.decisionLog.Log("map_in_use", "group", g.spec.Name, "epoch", g.epoch, "map", p.version, "step", p.step, "pass", g.passDuration)
	}
	return true
}

// minDifferentRounds is the number of rounds in a row that must find the same different
// maps before the ranks are unified, since reports are not all read at the same time.
const minDifferentRounds = 2

// ranksDiffer reports whether ranks use different maps and none is about to switch.
func (g *group) ranksDiffer(reports []core.RankReport) bool {
	versions := make([]uint64, len(reports))
	settled, differ := true, false
	for i, r := range reports {
		versions[i] = r.Map
		settled = settled && !r.Armed && !r.Held
		differ = differ || r.Map != reports[0].Map
	}
	switch {
	case !settled || !differ:
		g.differentRounds, g.differentMaps = 0, nil
		return false
	case !slices.Equal(versions, g.differentMaps):
		g.differentRounds, g.differentMaps = 0, versions
	}
	g.differentRounds++
	return g.differentRounds >= minDifferentRounds
}

// unify switches ranks that use different maps to one version. Each rank keeps the experts
// that it holds, so that nothing is copied unless no rank holds an expert.
func (g *group) unify(ctx context.Context) error {
	uniform, err := g.readPlacement(ctx)
	if err != nil {
		return trace.Wrap(err, "learn")
	}
	if uniform {
		return nil
	}
	g.decisionLog.Log("maps_differ", "group", g.spec.Name, "epoch", g.epoch, "maps", fmt.Sprint(g.differentMaps), "token", g.token)
	meter.Event("maps_differ")
	g.differentRounds, g.differentMaps = 0, nil
	return g.switchTo(ctx, g.placement)
}

// readPlacement reads the experts that each rank holds, and reports whether all ranks use
// the same map. If they do not, experts that no rank holds are added to the placement.
func (g *group) readPlacement(ctx context.Context) (uniform bool, err error) {
	e := &g.spec.Engine
	placement := make(expert.Placement, e.LayerSets)
	for s := range placement {
		placement[s] = make([][]int, len(g.spec.Members))
	}
	versions := make([]uint64, len(g.spec.Members))
	if err := g.forEachRank(func(i int) error {
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
		if err := checkPlacement(sets, e.Experts); err != nil {
			return trace.Wrap(err, "rank %d", i)
		}
		for s := range sets {
			placement[s][i] = sets[s]
		}
		return nil
	}); err != nil {
		return false, err
	}
	if placement, err = placement.Complete(e.Experts, e.SlotsPerRank, e.MaxNewExperts); err != nil {
		return false, err
	}
	g.version, g.placement = versions[0], placement
	g.decisionLog.Log("map_learned", "group", g.spec.Name, "epoch", g.epoch, "map", g.version)
	return !slices.ContainsFunc(versions, func(v uint64) bool { return v != versions[0] }), nil
}

// checkPlacement reports a placement of a rank that lists an expert that does not
// exist.
func checkPlacement(sets [][]int, experts int) error {
	for s, list := range sets {
		for _, e := range list {
			if e < 0 || e >= experts {
				return trace.BadParameter("set %d lists expert %d, there are %d", s, e, experts)
			}
		}
	}
	return nil
}

// rebalance switches to a better map if that shortens forward passes enough.
func (g *group) rebalance(ctx context.Context) error {
	if g.load == nil || g.loadDuration < minLoadDuration {
		return nil
	}
	next := g.betterPlacement()
	if next == nil {
		return nil
	}
	return g.switchTo(ctx, next)
}

// betterPlacement returns a placement whose gain justifies copying the experts,
// or nil if there is none.
func (g *group) betterPlacement() expert.Placement {
	e := &g.spec.Engine
	before := g.placement.Skew(g.load, g.slowdowns)
	meter.Gauge("expert_skew_"+g.spec.Name, func() any { return before })
	threshold, cost := minSkew, moveCost
	if g.gapShare > 0 && g.gapShare < relaxedGapShare {
		threshold, cost = relaxedMinSkew, relaxedMoveCost
	}
	if before < threshold {
		return nil
	}
	next := expert.Bounded{
		MaxPerSet: e.SlotsPerRank, MaxNewPerSet: e.MaxNewExperts, MaxNewPerRank: maxNewPerRank(e), MoveCost: cost / float64(len(g.spec.Members)), TargetSkew: targetSkew, Slowdowns: g.slowdowns,
	}.Place(g.placement, g.load)
	if next == nil {
		return nil
	}
	after := next.Skew(g.load, g.slowdowns)
	if 1-relativePassDuration(e, after)/relativePassDuration(e, before) < minGain {
		return nil
	}
	return next
}

// relativePassDuration returns the duration of a forward pass at the given skew,
// relative to a pass with balanced experts.
func relativePassDuration(e *core.EngineConfig, skew float64) float64 {
	return 1 - e.ExpertShare + e.ExpertShare*skew
}
