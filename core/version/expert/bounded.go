package expert

import (
	"math"
	"slices"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
)

// Placement lists the experts of each rank, indexed by layer set and rank. Unlike
// in a core.ExpertMap, ranks may hold different numbers of experts.
type Placement [][][]int

// RoundRobin returns a placement without replication that assigns the experts of
// each set to the ranks round-robin.
func RoundRobin(sets, ranks, experts int) Placement {
	p := make(Placement, sets)
	for s := range p {
		p[s] = make([][]int, ranks)
		for e := range experts {
			p[s][e%ranks] = append(p[s][e%ranks], e)
		}
	}
	return p
}

// Clone returns a deep copy.
func (p Placement) Clone() Placement {
	c := make(Placement, len(p))
	for s := range p {
		c[s] = make([][]int, len(p[s]))
		for r := range p[s] {
			c[s][r] = slices.Clone(p[s][r])
		}
	}
	return c
}

// Skew returns the skew of a forward pass, as the function Skew does for maps.
// slowdowns holds the time that each rank takes per token relative to a healthy
// one; nil means that all ranks are healthy.
func (p Placement) Skew(load core.ExpertLoad, slowdowns []float64) float64 {
	var slowest, mean float64
	for s, ranks := range p {
		loads := placementLoads(ranks, load[s])
		slowest += slices.Max(rankTimes(loads, slowdowns))
		mean += total(load[s]) / float64(len(ranks))
	}
	return skewRatio(slowest, mean)
}

// rankTimes returns the times that the ranks take for their loads, in units of
// the time that a healthy rank takes per token.
func rankTimes(loads, slowdowns []float64) []float64 {
	if slowdowns == nil {
		return loads
	}
	t := make([]float64, len(loads))
	for r, v := range loads {
		t[r] = v * slowdowns[r]
	}
	return t
}

// NewExperts returns the number of experts that ranks hold in next but not in p,
// summed over all ranks and sets, and the greatest number of one rank.
func (p Placement) NewExperts(next Placement) (count, maxPerRank int) {
	for r := range p[0] {
		n := 0
		for s := range p {
			for _, e := range next[s][r] {
				if !slices.Contains(p[s][r], e) {
					n++
				}
			}
		}
		count += n
		maxPerRank = max(maxPerRank, n)
	}
	return count, maxPerRank
}

// Complete returns a placement with the experts that no rank holds in p added. A rank
// holds at most maxPerSet experts of a set in it, of which at most maxNewPerSet are new to
// it. To make room, a rank gives up an expert that another rank holds too. Complete fails
// with trace.LimitExceeded if the limits leave no room.
func (p Placement) Complete(experts, maxPerSet, maxNewPerSet int) (Placement, error) {
	c := p.Clone()
	for s, ranks := range c {
		holders := make([]int, experts)
		for _, list := range ranks {
			for _, e := range list {
				holders[e]++
			}
		}
		added := make([]int, len(ranks))
		for e := range experts {
			if holders[e] > 0 {
				continue
			}
			best, replaced := -1, -1
			for r, list := range ranks {
				spare := slices.IndexFunc(list, func(other int) bool { return holders[other] > 1 })
				if added[r] >= maxNewPerSet || len(list) >= maxPerSet && spare < 0 {
					continue
				}
				if best < 0 || len(list) < len(ranks[best]) {
					if best, replaced = r, -1; len(list) >= maxPerSet {
						replaced = spare
					}
				}
			}
			if best < 0 {
				return nil, trace.LimitExceeded("no rank has room for expert %d of set %d", e, s)
			}
			if replaced >= 0 {
				holders[ranks[best][replaced]]--
				ranks[best] = slices.Delete(ranks[best], replaced, replaced+1)
			}
			ranks[best] = append(ranks[best], e)
			holders[e]++
			added[best]++
		}
	}
	return c, nil
}

// placementLoads returns the load of each rank in one set.
func placementLoads(ranks [][]int, load []float64) []float64 {
	n := make([]int, len(load))
	for _, list := range ranks {
		for _, e := range list {
			n[e]++
		}
	}
	loads := make([]float64, len(ranks))
	for r, list := range ranks {
		for _, e := range list {
			loads[r] += load[e] / float64(n[e])
		}
	}
	return loads
}

// Bounded improves a placement where a rank can accept only a few new experts at
// once. In each set it repeatedly applies the best change at the slowest rank:
// adding a replica of one of its experts elsewhere, removing one of its replicas,
// moving an expert or swapping two. Changes are compared by the sum of the eighth
// powers of the ranks' times, which emphasizes the slowest rank and has no
// plateaus.
type Bounded struct {
	// MaxPerSet is the maximum number of experts of a set on one rank.
	MaxPerSet int
	// MaxNewPerSet is the maximum number of experts of a set that may be new to a
	// rank.
	MaxNewPerSet int
	// MoveCost is the reduction of a set's greatest rank load, as a fraction of
	// its mean rank load, that must be exceeded for each expert that becomes new
	// to a rank. Zero means that moves are free.
	MoveCost float64
	// MaxNewPerRank is the maximum number of experts of all sets that may be new
	// to a rank, which bounds the duration of the copy; zero means no bound.
	MaxNewPerRank int
	// TargetSkew is the skew up to which a set is not improved further; zero means
	// 1.03.
	TargetSkew float64
	// Slowdowns holds the time that each rank takes per token relative to a
	// healthy one; nil means that all ranks are healthy.
	Slowdowns []float64
}

// Place returns a better placement, or nil if it finds none or the load has
// another number of sets. It changes the set with the greatest skew first, so
// that MaxNewPerRank is used where it helps most.
func (p Bounded) Place(current Placement, load core.ExpertLoad) Placement {
	if len(load) != len(current) {
		return nil
	}
	next := current.Clone()
	newPerRank := make([]int, len(current[0]))
	sets := make([]*setSearch, 0, len(current))
	for s := range current {
		if total(load[s]) > 0 {
			sets = append(sets, newSetSearch(next[s], load[s], p.Slowdowns, newPerRank))
		}
	}
	changed := false
	for range 4 * len(current) * len(newPerRank) {
		s := p.mostSkewed(sets)
		if s == nil {
			break
		}
		if e, ok := s.bestEdit(p); ok && e.score > p.MoveCost {
			s.apply(e)
			changed = true
			continue
		}
		s.done = true
	}
	if !changed {
		return nil
	}
	return next
}

// mostSkewed returns the set with the greatest skew that can still be improved.
func (p Bounded) mostSkewed(sets []*setSearch) *setSearch {
	target := p.TargetSkew
	if target == 0 {
		target = 1.03
	}
	var worst *setSearch
	for _, s := range sets {
		if s.done || s.maxTime <= target*s.mean {
			continue
		}
		// All sets process the same number of tokens in a forward pass, so their
		// skews are comparable.
		if worst == nil || s.maxTime/s.mean > worst.maxTime/worst.mean {
			worst = s
		}
	}
	return worst
}

// setSearch holds the state of the local search in one set.
type setSearch struct {
	load      []float64
	ranks     [][]int
	replicas  []int // replicas of each expert
	loads     []float64
	slowdowns []float64
	mean      float64
	// slowestRank is the rank that takes longest, and maxTime its time.
	slowestRank int
	maxTime     float64
	// newPerRank counts the experts of all sets that are new to each rank, and is
	// shared by the searches. newInSet counts those of this set.
	newPerRank []int
	newInSet   []int
	// holds and heldAtStart report whether a rank holds an expert now and held it
	// at the start, indexed by rank and expert.
	holds, heldAtStart [][]bool
	// buf holds the rank loads after an edit under evaluation.
	buf []float64
	// done is set once no edit helps.
	done bool
}

func newSetSearch(ranks [][]int, load, slowdowns []float64, newPerRank []int) *setSearch {
	s := &setSearch{
		load: load, slowdowns: slowdowns, ranks: ranks, replicas: make([]int, len(load)), newPerRank: newPerRank, newInSet: make([]int, len(ranks)),
		holds: make([][]bool, len(ranks)), heldAtStart: make([][]bool, len(ranks)), buf: make([]float64, len(ranks)),
	}
	for r := range ranks {
		s.holds[r], s.heldAtStart[r] = make([]bool, len(load)), make([]bool, len(load))
		for _, e := range ranks[r] {
			s.replicas[e]++
			s.holds[r][e], s.heldAtStart[r][e] = true, true
		}
	}
	s.mean = total(load) / float64(len(ranks))
	s.update()
	return s
}

// update recomputes the rank loads and the slowest rank.
func (s *setSearch) update() {
	s.loads = placementLoads(s.ranks, s.load)
	times := rankTimes(s.loads, s.slowdowns)
	s.maxTime = slices.Max(times)
	s.slowestRank = slices.Index(times, s.maxTime)
}

// edit is one change of a set's placement: rank gets the expert add instead of
// evict. If drop is set, the slowest rank loses add; if swap is set too, it gets
// evict instead. A negative rank or evict stands for none.
type edit struct {
	rank, add, evict int
	drop, swap       bool
	score            float64
}

// bestEdit returns the edit at the slowest rank with the greatest reduction of
// the potential per new expert.
func (s *setSearch) bestEdit(p Bounded) (edit, bool) {
	best, found := edit{score: math.Inf(-1)}, false
	slowest, times := s.slowestRank, rankTimes(s.loads, s.slowdowns)
	// A map with fewer replicas adapts worse when demand shifts to other experts,
	// so only a slow rank drops replicas.
	isSlow := s.slowdowns != nil && s.slowdowns[slowest] > 1
	before := s.potential(s.loads)
	consider := func(e edit) {
		if v, ok := s.evaluate(p, e, before); ok && v > best.score {
			e.score = v
			best, found = e, true
		}
	}
	for _, x := range s.ranks[slowest] {
		if isSlow && s.replicas[x] > 1 {
			consider(edit{rank: -1, add: x, evict: -1, drop: true})
		}
		for q := range s.ranks {
			if q == slowest || times[q] >= times[slowest] || s.holds[q][x] {
				continue
			}
			if len(s.ranks[q]) < p.MaxPerSet {
				consider(edit{rank: q, add: x, evict: -1})
				consider(edit{rank: q, add: x, evict: -1, drop: true})
			}
			for _, y := range s.ranks[q] {
				if s.replicas[y] > 1 {
					consider(edit{rank: q, add: x, evict: y})
					if isSlow {
						consider(edit{rank: q, add: x, evict: y, drop: true})
					}
				}
				if !s.holds[slowest][y] {
					consider(edit{rank: q, add: x, evict: y, drop: true, swap: true})
				}
			}
		}
	}
	return best, found
}

// evaluate returns the reduction of the potential by an edit per new expert, and
// whether the edit is allowed and reduces the potential.
func (s *setSearch) evaluate(p Bounded, e edit, before float64) (float64, bool) {
	atRank, atSlowest := s.newExpertChanges(e)
	if e.rank >= 0 && !s.canTake(p, e.rank, atRank) || e.drop && !s.canTake(p, s.slowestRank, atSlowest) {
		return 0, false
	}
	gain := before - s.potential(s.loadsAfter(e))
	return gain / float64(max(1, atRank+atSlowest)), gain > 1e-9
}

// canTake reports whether the limits allow the number of a rank's new experts to
// grow by added.
func (s *setSearch) canTake(p Bounded, rank, added int) bool {
	if s.newInSet[rank]+added > p.MaxNewPerSet {
		return false
	}
	return p.MaxNewPerRank == 0 || added <= 0 || s.newPerRank[rank]+added <= p.MaxNewPerRank
}

// newExpertChanges returns the changes in the numbers of new experts of the
// edit's rank and of the slowest rank.
func (s *setSearch) newExpertChanges(e edit) (atRank, atSlowest int) {
	if e.rank >= 0 {
		atRank = s.countNew(e.rank, e.add) - s.countNew(e.rank, e.evict)
	}
	if e.drop {
		atSlowest = -s.countNew(s.slowestRank, e.add)
	}
	if e.swap {
		atSlowest += s.countNew(s.slowestRank, e.evict)
	}
	return atRank, atSlowest
}

// countNew returns 1 for an expert that the rank did not hold at the start, and 0
// otherwise or if expert is negative.
func (s *setSearch) countNew(rank, expert int) int {
	if expert < 0 || s.heldAtStart[rank][expert] {
		return 0
	}
	return 1
}

// potential returns the eighth root of the sum of the eighth powers of the
// ranks' times, each relative to the mean load. It approximates the greatest of
// these ratios.
func (s *setSearch) potential(loads []float64) float64 {
	sum := 0.0
	for r, v := range loads {
		if s.slowdowns != nil {
			v *= s.slowdowns[r]
		}
		sum += eighthPower(v / s.mean)
	}
	return math.Pow(sum, 1.0/8)
}

// replicaChanges returns the changes in the numbers of replicas of add and evict.
func (e edit) replicaChanges() (add, evict int) {
	if e.rank >= 0 {
		add++
	}
	if e.drop {
		add--
	}
	if e.evict >= 0 && !e.swap {
		evict--
	}
	return add, evict
}

// loadsAfter returns the rank loads after an edit. The next call overwrites the
// result.
func (s *setSearch) loadsAfter(e edit) []float64 {
	copy(s.buf, s.loads)
	add, evict := e.replicaChanges()
	s.adjustReplicaLoads(e.add, add)
	share := s.load[e.add] / float64(s.replicas[e.add]+add)
	if e.rank >= 0 {
		s.buf[e.rank] += share
	}
	if e.drop {
		s.buf[s.slowestRank] -= share
	}
	if e.evict >= 0 {
		s.adjustReplicaLoads(e.evict, evict)
		share = s.load[e.evict] / float64(s.replicas[e.evict]+evict)
		s.buf[e.rank] -= share
		if e.swap {
			s.buf[s.slowestRank] += share
		}
	}
	return s.buf
}

// adjustReplicaLoads updates the loads in buf of the ranks that hold the expert
// for a change in the number of its replicas.
func (s *setSearch) adjustReplicaLoads(expert, added int) {
	if added == 0 {
		return
	}
	d := s.load[expert]/float64(s.replicas[expert]+added) - s.load[expert]/float64(s.replicas[expert])
	for r := range s.holds {
		if s.holds[r][expert] {
			s.buf[r] += d
		}
	}
}

// apply makes the edit.
func (s *setSearch) apply(e edit) {
	add, evict := e.replicaChanges()
	atRank, atSlowest := s.newExpertChanges(e)
	if e.rank >= 0 {
		s.replaceExpert(e.rank, e.evict, e.add, atRank)
	}
	if e.drop {
		in := -1
		if e.swap {
			in = e.evict
		}
		s.replaceExpert(s.slowestRank, e.add, in, atSlowest)
	}
	s.replicas[e.add] += add
	if e.evict >= 0 {
		s.replicas[e.evict] += evict
	}
	s.update()
}

// replaceExpert removes the expert out from a rank and adds the expert in; a
// negative value stands for none. newExperts is the change in the number of the
// rank's new experts.
func (s *setSearch) replaceExpert(rank, out, in, newExperts int) {
	if out >= 0 {
		i := slices.Index(s.ranks[rank], out)
		s.ranks[rank] = slices.Delete(s.ranks[rank], i, i+1)
		s.holds[rank][out] = false
	}
	if in >= 0 {
		s.ranks[rank] = append(s.ranks[rank], in)
		s.holds[rank][in] = true
	}
	s.newInSet[rank] += newExperts
	s.newPerRank[rank] += newExperts
}

// eighthPower returns x to the power of 8.
func eighthPower(x float64) float64 {
	x *= x
	x *= x
	return x * x
}
