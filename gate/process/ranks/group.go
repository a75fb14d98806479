package ranks

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/evlog"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/version/expert"
)

// GroupSpec describes a rank group as the platform lists it.
type GroupSpec struct {
	Name   string
	Pool   string
	Engine core.EngineConfig
	// Members holds the listed ranks in order. Size is the number of ranks of the
	// complete group; there are fewer members while a rank is missing.
	Members []core.RankAddr
	Size    int
}

// complete reports whether all ranks are listed.
func (s *GroupSpec) complete() bool { return s.Size > 0 && len(s.Members) == s.Size }

// GroupSpecs returns the rank groups among the upstreams, by name.
func GroupSpecs(config *core.Config, upstreams map[string]*core.ListedUpstream) map[string]*GroupSpec {
	specs := map[string]*GroupSpec{}
	if config == nil {
		return specs
	}
	entriesByGroup := map[string][]*core.ListedUpstream{}
	for _, entry := range upstreams {
		pool := config.Pools[entry.Pool]
		if entry.Group.Name == "" || pool == nil || pool.Engine == nil || pool.Engine.LayerSets == 0 {
			continue
		}
		entriesByGroup[entry.Group.Name] = append(entriesByGroup[entry.Group.Name], entry)
	}
	for name, entries := range entriesByGroup {
		entries = newestPerRank(entries)
		s := &GroupSpec{Name: name, Pool: entries[0].Pool, Engine: *config.Pools[entries[0].Pool].Engine, Size: entries[0].Group.Size}
		for i, entry := range entries {
			if entry.Group.Rank != i {
				// A rank is missing.
				s.Members = nil
				break
			}
			s.Members = append(s.Members, core.RankAddr{Instance: entry.ID, Engine: entry.Addr})
		}
		specs[name] = s
	}
	return specs
}

// newestPerRank returns one entry for each rank, in rank order: that of the
// latest engine process. The entries of earlier processes expire only seconds
// after those have ended.
func newestPerRank(entries []*core.ListedUpstream) []*core.ListedUpstream {
	slices.SortFunc(entries, func(a, b *core.ListedUpstream) int {
		return cmp.Or(cmp.Compare(a.Group.Rank, b.Group.Rank), cmp.Compare(b.Group.Epoch, a.Group.Epoch), cmp.Compare(b.StartTime, a.StartTime))
	})
	return slices.CompactFunc(entries, func(a, b *core.ListedUpstream) bool { return a.Group.Rank == b.Group.Rank })
}

// group holds the leader's state for one rank group. It is not safe for
// concurrent use.
type group struct {
	spec *GroupSpec
	// ranks reaches the ranks through their sidecars, direct reaches the engines
	// without them.
	ranks       core.RankClient
	direct      core.RankClient
	decisionLog *evlog.Logger
	// token is the fencing token of the lease.
	token uint64
	// nonce distinguishes the map versions of this process from those of others;
	// highestVersion is the highest version seen.
	nonce          uint64
	highestVersion uint64

	epoch uint64
	// version and placement describe the map in use; placement is nil while it is
	// unknown.
	version   uint64
	placement expert.Placement
	// pending is the last released switch until the ranks report its map in use.
	pending *pendingSwitch
	// differentMaps holds the versions of the ranks in the last round, if they differed,
	// and differentRounds is the number of rounds for which they have.
	differentMaps   []uint64
	differentRounds int

	// samples holds the last counts of each rank, and average the moving average
	// of their increases.
	samples map[int]countSample
	average expert.MovingAverage
	// armDuration is the time that arming all ranks took in the last switch, and
	// passDuration the recent duration of a forward pass; both are zero if
	// unknown.
	armDuration  time.Duration
	passDuration time.Duration
	// lastStep is the number of the last forward pass reported, at lastStepAt.
	lastStep   uint64
	lastStepAt time.Time
	load       core.ExpertLoad
	// slowdowns holds the time that each rank takes per token relative to a healthy
	// one; nil if all ranks are healthy.
	slowdowns []float64
	// gapShare is the duration of a forward pass as a fraction of the longest
	// allowed gap between two events of a stream, zero if it is unknown.
	gapShare float64
	// loadDuration is the total time that the load covers.
	loadDuration time.Duration
}

// pendingSwitch is a released switch to a map that is not yet reported in use.
type pendingSwitch struct {
	version, step uint64
	placement     expert.Placement
}

// countSample holds the expert counts that a rank last reported.
type countSample struct {
	engineStart int64
	counts      []uint64
	at          time.Time
}

// startEpoch discards the state that belongs to the former epoch.
func (g *group) startEpoch(epoch uint64) {
	// Also logged when recoverSwitch reads the state of an existing epoch.
	g.decisionLog.Log("group_formed", "group", g.spec.Name, "epoch", epoch, "former", g.epoch)
	g.epoch, g.version, g.placement, g.pending = epoch, 0, nil, nil
	g.samples = map[int]countSample{}
	g.lastStep, g.lastStepAt, g.passDuration = 0, time.Time{}, 0
}

// nonceBits is the number of low bits of a version that distinguish processes.
// Versions stay below 2^53, so that JSON numbers represent them exactly, for some 33
// million switches of a group. They do not depend on tokens, which grow with each era of
// the store.
const nonceBits = 28

// nextVersion returns a map version above all versions seen. The nonce makes it
// unlikely that another process uses the same version.
func (g *group) nextVersion() uint64 {
	g.highestVersion = (g.highestVersion>>nonceBits+1)<<nonceBits | g.nonce
	return g.highestVersion
}

const (
	// minSlowdown is the slowdown from which a rank counts as slow. maxSlowdown
	// limits the slowdown of a rank, so that one wrong value does not dominate the
	// plan.
	minSlowdown = 1.15
	maxSlowdown = 10
)

// updateSlowdowns records the slowdowns of the ranks and logs when the first rank
// becomes slow or the last one recovers.
func (g *group) updateSlowdowns(reports []core.RankReport) {
	slow := false
	slowdowns := make([]float64, len(reports))
	for i, r := range reports {
		slowdowns[i] = 1
		if r.Slowdown >= minSlowdown {
			slowdowns[i] = min(r.Slowdown, maxSlowdown)
			slow = true
		}
	}
	if slow != (g.slowdowns != nil) {
		// The key "pace" holds slowdowns; a higher value is slower.
		g.decisionLog.Log("ranks_slow", "group", g.spec.Name, "epoch", g.epoch, "slow", slow, "pace", fmt.Sprint(slowdowns))
	}
	if g.slowdowns = slowdowns; !slow {
		g.slowdowns = nil
	}
}

// slowRanks returns the slowdowns of the slow ranks by instance.
func (g *group) slowRanks() map[string]float64 {
	slow := map[string]float64{}
	for i, slowdown := range g.slowdowns {
		if slowdown >= minSlowdown && i < len(g.spec.Members) {
			slow[g.spec.Members[i].Instance] = slowdown
		}
	}
	return slow
}

// updatePassDuration computes the mean duration of the forward passes since the
// last report.
func (g *group) updatePassDuration(now time.Time, step uint64) {
	if n := step - g.lastStep; !g.lastStepAt.IsZero() && step > g.lastStep {
		g.passDuration = now.Sub(g.lastStepAt) / time.Duration(n)
		meter.ObserveLatency("pass", g.passDuration)
	}
	g.lastStep, g.lastStepAt = step, now
}

// addCounts adds the increases of the reported counts to the load.
func (g *group) addCounts(now time.Time, reports []core.RankReport) {
	e := &g.spec.Engine
	sum := make(core.ExpertLoad, e.LayerSets)
	for s := range sum {
		sum[s] = make([]float64, e.Experts)
	}
	var elapsed time.Duration
	increased := false
	for i, r := range reports {
		last, ok := g.samples[i]
		if len(r.ExpertCounts) != e.LayerSets*e.Experts {
			continue
		}
		g.samples[i] = countSample{engineStart: r.StartTime, counts: r.ExpertCounts, at: now}
		if !ok || last.engineStart != r.StartTime || len(last.counts) != len(r.ExpertCounts) {
			continue
		}
		elapsed = max(elapsed, now.Sub(last.at))
		for j, n := range r.ExpertCounts {
			if n > last.counts[j] {
				sum[j/e.Experts][j%e.Experts] += float64(n - last.counts[j])
				increased = true
			}
		}
	}
	if increased {
		g.load = g.average.Add(sum, elapsed)
		g.loadDuration += elapsed
	}
}
