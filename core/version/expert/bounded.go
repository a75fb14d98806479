package expert

import (
	"math"
	"slices"

	"parsleyroute.example/core"
)

// Placement names the experts of each rank, by set and rank. Unlike a
// core.ExpertMap, ranks may leave places empty.
type Placement [][][]int

// RoundRobin returns the lists that give the experts to the ranks in turn.
func RoundRobin(sets, ranks, experts int) Placement {
	l := make(Placement, sets)
	for s := range l {
		l[s] = make([][]int, ranks)
		for e := range experts {
			l[s][e%ranks] = append(l[s][e%ranks], e)
		}
	}
	return l
}

// Clone returns a deep copy.
func (l Placement) Clone() Placement {
	c := make(Placement, len(l))
	for s := range l {
		c[s] = make([][]int, len(l[s]))
		for r := range l[s] {
			c[s][r] = slices.Clone(l[s][r])
		}
	}
	return c
}

// Skew returns the skew of a step, as the function Skew does for maps. pace is
// the time that each rank takes for a token relative to a sound one; nil means
// that all are sound.
func (l Placement) Skew(load core.ExpertLoad, pace []float64) float64 {
	var slowest, mean float64
	for s, ranks := range l {
		loads := listLoads(ranks, load[s])
		slowest += slices.Max(timed(loads, pace))
		mean += total(load[s]) / float64(len(ranks))
	}
	return ratio(slowest, mean)
}

// timed returns the loads as the time that they take at the ranks' paces.
func timed(loads, pace []float64) []float64 {
	if pace == nil {
		return loads
	}
	t := make([]float64, len(loads))
	for r, v := range loads {
		t[r] = v * pace[r]
	}
	return t
}

// NewExperts returns the number of experts that are new to a rank in next, over
// all ranks and sets, and the greatest number for one rank.
func (l Placement) NewExperts(next Placement) (all, most int) {
	for r := range l[0] {
		n := 0
		for s := range l {
			for _, e := range next[s][r] {
				if !slices.Contains(l[s][r], e) {
					n++
				}
			}
		}
		all += n
		most = max(most, n)
	}
	return all, most
}

func listLoads(ranks [][]int, load []float64) []float64 {
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

// Bounded improves lists of experts where a rank can take only a few new
// experts at once. In each set it repeatedly takes the best change at the most
// loaded rank: another replica of one of its experts, one less there, a move or
// a swap. The changes are judged by the sum of the eighth powers of the ranks'
// times, which favours the most loaded rank and has no plateaus.
type Bounded struct {
	// MaxPerSet is the greatest number of experts of a set on one rank.
	MaxPerSet int
	// MaxNewPerSet is the greatest number of experts of a set that may be new to a
	// rank.
	MaxNewPerSet int
	// MoveCost is the reduction of a set's greatest load, as a part of its mean
	// load, that pays for one new expert on one rank; zero means that moves are
	// free.
	MoveCost float64
	// MaxNewPerRank is the greatest number of experts of all sets that may be new to
	// a rank, which bounds the time of the copy; zero means no bound.
	MaxNewPerRank int
	// TargetSkew is the skew at which the search ends; zero means 1.03.
	TargetSkew float64
	// Pace is the time that each rank takes for a token relative to a sound one;
	// nil means that all are sound.
	Pace []float64
}

// Place returns better lists, or nil if there are none. It returns nil for a
// load of another shape. Changes are made in the set with the greatest excess
// first, so that RankSpare is spent where it helps most.
func (p Bounded) Place(current Placement, load core.ExpertLoad) Placement {
	if len(load) != len(current) {
		return nil
	}
	next := current.Clone()
	fresh := make([]int, len(current[0]))
	sets := make([]*placing, 0, len(current))
	for s := range current {
		if total(load[s]) > 0 {
			sets = append(sets, newPlacing(next[s], load[s], p.Pace, fresh))
		}
	}
	changed := false
	for range 4 * len(current) * len(fresh) {
		s := p.worst(sets)
		if s == nil {
			break
		}
		if e, ok := s.best(p); ok && e.score > p.MoveCost {
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

// worst returns the set with the greatest skew that can still be improved.
func (p Bounded) worst(sets []*placing) *placing {
	target := p.TargetSkew
	if target == 0 {
		target = 1.03
	}
	var worst *placing
	for _, s := range sets {
		if s.done || s.slowest <= target*s.mean {
			continue
		}
		// The sets of a step have the same number of tokens, so the greatest
		// loads compare.
		if worst == nil || s.slowest/s.mean > worst.slowest/worst.mean {
			worst = s
		}
	}
	return worst
}

// placing is one set under search.
type placing struct {
	load  []float64
	ranks [][]int
	n     []int // replicas of each expert
	loads []float64
	pace  []float64
	mean  float64
	// hot is the rank that takes longest, and slowest its time.
	hot     int
	slowest float64
	// fresh counts the experts of all sets that are new to each rank, and own
	// those of this set.
	fresh []int
	own   []int
	// has and had tell whether a rank holds an expert, now and at the start.
	has, had [][]bool
	// buf holds the loads with an edit.
	buf []float64
	// done is set once no edit helps.
	done bool
}

func newPlacing(ranks [][]int, load, pace []float64, fresh []int) *placing {
	s := &placing{
		load: load, pace: pace, ranks: ranks, n: make([]int, len(load)), fresh: fresh, own: make([]int, len(ranks)),
		has: make([][]bool, len(ranks)), had: make([][]bool, len(ranks)), buf: make([]float64, len(ranks)),
	}
	for r := range ranks {
		s.has[r], s.had[r] = make([]bool, len(load)), make([]bool, len(load))
		for _, e := range ranks[r] {
			s.n[e]++
			s.has[r][e], s.had[r][e] = true, true
		}
	}
	s.mean = total(load) / float64(len(ranks))
	s.update()
	return s
}

func (s *placing) update() {
	s.loads = listLoads(s.ranks, s.load)
	times := timed(s.loads, s.pace)
	s.slowest = slices.Max(times)
	s.hot = slices.Index(times, s.slowest)
}

// edit is one change: the rank at gets the expert add in the place of evict, and
// the most loaded rank loses add (drop) or gets evict for it (back). A negative
// at, add or evict stands for none.
type edit struct {
	at, add, evict int
	drop, back     bool
	score          float64
}

// best returns the edit at the hot rank with the greatest reduction of the
// potential for each new expert.
func (s *placing) best(p Bounded) (edit, bool) {
	best, found := edit{score: math.Inf(-1)}, false
	hot, times := s.hot, timed(s.loads, s.pace)
	// Fewer replicas make a map worse once other experts are in demand, so that
	// only a slow rank gives its up.
	slow := s.pace != nil && s.pace[hot] > 1
	before := s.potential(s.loads)
	consider := func(e edit) {
		if v, ok := s.judge(p, e, before); ok && v > best.score {
			e.score = v
			best, found = e, true
		}
	}
	for _, x := range s.ranks[hot] {
		if slow && s.n[x] > 1 {
			consider(edit{at: -1, add: x, evict: -1, drop: true})
		}
		for q := range s.ranks {
			if q == hot || times[q] >= times[hot] || s.has[q][x] {
				continue
			}
			if len(s.ranks[q]) < p.MaxPerSet {
				consider(edit{at: q, add: x, evict: -1})
				consider(edit{at: q, add: x, evict: -1, drop: true})
			}
			for _, y := range s.ranks[q] {
				if s.n[y] > 1 {
					consider(edit{at: q, add: x, evict: y})
					if slow {
						consider(edit{at: q, add: x, evict: y, drop: true})
					}
				}
				if !s.has[hot][y] {
					consider(edit{at: q, add: x, evict: y, drop: true, back: true})
				}
			}
		}
	}
	return best, found
}

// judge returns the reduction of the potential by an edit for each new expert,
// as a part of the mean load, and whether the edit is allowed.
func (s *placing) judge(p Bounded, e edit, before float64) (float64, bool) {
	at, hot := s.moreNew(e)
	if e.at >= 0 && !s.mayTake(p, e.at, at) || e.drop && !s.mayTake(p, s.hot, hot) {
		return 0, false
	}
	gain := before - s.potential(s.loadsWith(e))
	return gain / float64(max(1, at+hot)), gain > 1e-9
}

// mayTake reports whether a rank may have more new experts.
func (s *placing) mayTake(p Bounded, rank, more int) bool {
	if s.own[rank]+more > p.MaxNewPerSet {
		return false
	}
	return p.MaxNewPerRank == 0 || more <= 0 || s.fresh[rank]+more <= p.MaxNewPerRank
}

// moreNew returns by how many the new experts of the rank that an edit adds to,
// and of the hot rank, grow.
func (s *placing) moreNew(e edit) (at, hot int) {
	if e.at >= 0 {
		at = s.isNew(e.at, e.add) - s.isNew(e.at, e.evict)
	}
	if e.drop {
		hot = -s.isNew(s.hot, e.add)
	}
	if e.back {
		hot += s.isNew(s.hot, e.evict)
	}
	return at, hot
}

// isNew returns 1 for an expert that the rank did not hold at the start.
func (s *placing) isNew(rank, expert int) int {
	if expert < 0 || s.had[rank][expert] {
		return 0
	}
	return 1
}

// potential returns the eighth root of the sum of the eighth powers of the
// ranks' times, which is on the scale of a load.
func (s *placing) potential(loads []float64) float64 {
	sum := 0.0
	for r, v := range loads {
		if s.pace != nil {
			v *= s.pace[r]
		}
		sum += eighth(v / s.mean)
	}
	return math.Pow(sum, 1.0/8)
}

// replicas returns the changes of the numbers of replicas of add and evict.
func (e edit) replicas() (add, evict int) {
	if e.at >= 0 {
		add++
	}
	if e.drop {
		add--
	}
	if e.evict >= 0 && !e.back {
		evict--
	}
	return add, evict
}

// loadsWith returns the rank loads after an edit, in a buffer that the next call
// uses again.
func (s *placing) loadsWith(e edit) []float64 {
	copy(s.buf, s.loads)
	add, evict := e.replicas()
	s.spread(e.add, add)
	share := s.load[e.add] / float64(s.n[e.add]+add)
	if e.at >= 0 {
		s.buf[e.at] += share
	}
	if e.drop {
		s.buf[s.hot] -= share
	}
	if e.evict >= 0 {
		s.spread(e.evict, evict)
		share = s.load[e.evict] / float64(s.n[e.evict]+evict)
		s.buf[e.at] -= share
		if e.back {
			s.buf[s.hot] += share
		}
	}
	return s.buf
}

// spread changes the loads of the ranks that hold an expert to those with more
// replicas of it.
func (s *placing) spread(expert, more int) {
	if more == 0 {
		return
	}
	d := s.load[expert]/float64(s.n[expert]+more) - s.load[expert]/float64(s.n[expert])
	for r := range s.has {
		if s.has[r][expert] {
			s.buf[r] += d
		}
	}
}

func (s *placing) apply(e edit) {
	add, evict := e.replicas()
	at, hot := s.moreNew(e)
	if e.at >= 0 {
		s.change(e.at, e.evict, e.add, at)
	}
	if e.drop {
		in := -1
		if e.back {
			in = e.evict
		}
		s.change(s.hot, e.add, in, hot)
	}
	s.n[e.add] += add
	if e.evict >= 0 {
		s.n[e.evict] += evict
	}
	s.update()
}

// change takes an expert out of a rank's list and puts another in; negative ones
// are left out. more is by how many the rank's new experts grow.
func (s *placing) change(rank, out, in, more int) {
	if out >= 0 {
		i := slices.Index(s.ranks[rank], out)
		s.ranks[rank] = slices.Delete(s.ranks[rank], i, i+1)
		s.has[rank][out] = false
	}
	if in >= 0 {
		s.ranks[rank] = append(s.ranks[rank], in)
		s.has[rank][in] = true
	}
	s.own[rank] += more
	s.fresh[rank] += more
}

func eighth(x float64) float64 {
	x *= x
	x *= x
	return x * x
}
