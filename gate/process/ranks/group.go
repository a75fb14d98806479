package ranks

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/process/trail"
	"parsleyroute.example/core/version/expert"
)

// Spec is a group as the platform lists it.
type Spec struct {
	Name   string
	Pool   string
	Engine core.EngineConfig
	// Members holds the ranks in order. Size is their number when the group is
	// complete.
	Members []core.RankAddr
	Size    int
}

// complete reports whether all ranks are listed.
func (s *Spec) complete() bool { return s.Size > 0 && len(s.Members) == s.Size }

// Specs returns the groups among the upstreams, by name.
func Specs(config *core.Config, upstreams map[string]*core.ListedUpstream) map[string]*Spec {
	specs := map[string]*Spec{}
	if config == nil {
		return specs
	}
	ranked := map[string][]*core.ListedUpstream{}
	for _, p := range upstreams {
		pool := config.Pools[p.Pool]
		if p.Group.Name == "" || pool == nil || pool.Engine == nil || pool.Engine.LayerSets == 0 {
			continue
		}
		ranked[p.Group.Name] = append(ranked[p.Group.Name], p)
	}
	for name, peers := range ranked {
		peers = newest(peers)
		s := &Spec{Name: name, Pool: peers[0].Pool, Engine: *config.Pools[peers[0].Pool].Engine, Size: peers[0].Group.Size}
		for i, p := range peers {
			if p.Group.Rank != i {
				// A rank is missing.
				s.Members = nil
				break
			}
			s.Members = append(s.Members, core.RankAddr{Instance: p.ID, Engine: p.Addr})
		}
		specs[name] = s
	}
	return specs
}

// newest returns one entry for each rank, in order: that of the latest engine
// process. The entries of former ones lapse seconds after their end.
func newest(peers []*core.ListedUpstream) []*core.ListedUpstream {
	slices.SortFunc(peers, func(a, b *core.ListedUpstream) int {
		return cmp.Or(cmp.Compare(a.Group.Rank, b.Group.Rank), cmp.Compare(b.Group.Epoch, a.Group.Epoch), cmp.Compare(b.StartTime, a.StartTime))
	})
	return slices.CompactFunc(peers, func(a, b *core.ListedUpstream) bool { return a.Group.Rank == b.Group.Rank })
}

// group is what the leader knows of one group. It belongs to one goroutine.
type group struct {
	spec *Spec
	// ranks reaches the ranks through the processes beside them, and direct the
	// engines themselves.
	ranks  core.RankClient
	direct core.RankClient
	trail  *trail.Trail
	// token is the lease's.
	token uint64
	// nonce tells the versions of this process from those of all others;
	// highest is the highest version seen.
	nonce   uint64
	highest uint64

	epoch uint64
	// version and lists are the map in use; lists is nil while it is unknown.
	version uint64
	lists   expert.Lists
	// pending is a switch that was released and has not been seen in use.
	pending *pending

	seen  map[int]observation
	decay expert.Decay
	// armTime is how long the ranks took to be armed in the last switch, and
	// passTime the recent time of a pass, zero if unknown.
	armTime  time.Duration
	passTime time.Duration
	// step is the last pass seen, at stepAt.
	step   uint64
	stepAt time.Time
	load   core.ExpertLoad
	// pace is the time that each rank takes relative to a sound one; nil if all
	// are sound.
	pace []float64
	// pauseShare is the part of the longest pause on time that passes take, zero
	// if it is unknown.
	pauseShare float64
	// observed is how much time the load covers.
	observed time.Duration
}

type pending struct {
	version, step uint64
	lists         expert.Lists
}

// observation is the last count of a rank.
type observation struct {
	born   int64
	counts []uint64
	at     time.Time
}

// reset forgets what belongs to an epoch that has ended.
func (g *group) reset(epoch uint64) {
	g.trail.Log("group_formed", "group", g.spec.Name, "epoch", epoch, "former", g.epoch)
	g.epoch, g.version, g.lists, g.pending = epoch, 0, nil, nil
	g.seen = map[int]observation{}
	g.step, g.stepAt, g.passTime = 0, time.Time{}, 0
}

// nonceBits is the size of the part of a version that tells processes apart.
// Versions stay below 2^53, the integers that JSON numbers hold exactly.
const nonceBits = 16

// nextVersion returns a map version above all that were seen, which no other
// process uses.
func (g *group) nextVersion() uint64 {
	g.highest = (max(g.token, g.highest>>nonceBits)+1)<<nonceBits | g.nonce
	return g.highest
}

const (
	// leastPace is the pace from which a rank counts as slow, mostPace that as
	// which a slower one counts, so that one wrong figure does not decide all.
	leastPace = 1.15
	mostPace  = 10
)

// observePace takes note of the ranks that are slow.
func (g *group) observePace(reports []core.RankReport) {
	slow := false
	pace := make([]float64, len(reports))
	for i, r := range reports {
		pace[i] = 1
		if r.Slowdown >= leastPace {
			pace[i] = min(r.Slowdown, mostPace)
			slow = true
		}
	}
	if slow != (g.pace != nil) {
		g.trail.Log("ranks_slow", "group", g.spec.Name, "epoch", g.epoch, "slow", slow, "pace", fmt.Sprint(pace))
	}
	if g.pace = pace; !slow {
		g.pace = nil
	}
}

// slowRanks returns the paces of the slow ranks by instance.
func (g *group) slowRanks() map[string]float64 {
	slow := map[string]float64{}
	for i, p := range g.pace {
		if p >= leastPace && i < len(g.spec.Members) {
			slow[g.spec.Members[i].Instance] = p
		}
	}
	return slow
}

// observeStep measures the time of a pass.
func (g *group) observeStep(now time.Time, step uint64) {
	if n := step - g.step; !g.stepAt.IsZero() && step > g.step {
		g.passTime = now.Sub(g.stepAt) / time.Duration(n)
		meter.Observe("pass", g.passTime)
	}
	g.step, g.stepAt = step, now
}

// observe adds the counts of the reports to the load.
func (g *group) observe(now time.Time, reports []core.RankReport) {
	e := &g.spec.Engine
	sum := make(core.ExpertLoad, e.LayerSets)
	for s := range sum {
		sum[s] = make([]float64, e.Experts)
	}
	var span time.Duration
	grown := false
	for i, r := range reports {
		last, ok := g.seen[i]
		if len(r.ExpertCounts) != e.LayerSets*e.Experts {
			continue
		}
		g.seen[i] = observation{born: r.StartTime, counts: r.ExpertCounts, at: now}
		if !ok || last.born != r.StartTime || len(last.counts) != len(r.ExpertCounts) {
			continue
		}
		span = max(span, now.Sub(last.at))
		for j, n := range r.ExpertCounts {
			if n > last.counts[j] {
				sum[j/e.Experts][j%e.Experts] += float64(n - last.counts[j])
				grown = true
			}
		}
	}
	if grown {
		g.load = g.decay.Add(sum, span)
		g.observed += span
	}
}
