package expert

import (
	"math"
	"slices"

	"parsleyroute.example/core"
)

// Lists names the experts of each rank, by set and rank. Unlike a
// core.ExpertMap, ranks may leave places empty.
type Lists [][][]int

// InTurn returns the lists that give the experts to the ranks in turn.
func InTurn(sets, ranks, experts int) Lists {
	l := make(Lists, sets)
	for s := range l {
		l[s] = make([][]int, ranks)
		for e := range experts {
			l[s][e%ranks] = append(l[s][e%ranks], e)
		}
	}
	return l
}

// Clone returns a deep copy.
func (l Lists) Clone() Lists {
	c := make(Lists, len(l))
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
func (l Lists) Skew(load core.ExpertLoad, pace []float64) float64 {
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
func (l Lists) NewExperts(next Lists) (all, most int) {
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
	// Places is the greatest number of experts of a set on one rank.
	Places int
	// Spare is the greatest number of experts of a set that may be new to a
	// rank.
	Spare int
	// MoveCost is the reduction of a set's greatest load, as a part of its mean
	// load, that pays for one new expert on one rank; zero means that moves are
	// free.
	MoveCost float64
	// RankSpare is the greatest number of experts of all sets that may be new to
	// a rank, which bounds the time of the copy; zero means no bound.
	RankSpare int
	// Target is the skew at which the search ends; zero means 1.03.
	Target float64
	// Pace is the time that each rank takes for a token relative to a sound one;
	// nil means that all are sound.
	Pace []float64
}

// Place returns better lists, or nil if there are none. It returns nil for a
// load of another shape. Changes are made in the set with the greatest excess
// first, so that RankSpare is spent where it helps most.
func (p Bounded) Place(current Lists, load core.ExpertLoad) Lists {
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
	target := p.Target
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
	start [][]int
	n     []int // replicas of each expert
	loads []float64
	pace  []float64
	mean  float64
	// hot is the rank that takes longest, and slowest its time.
	hot     int
	slowest float64
	// fresh counts the experts of all sets that are new to each rank.
	fresh []int
	// done is set once no edit helps.
	done bool
}

func newPlacing(ranks [][]int, load, pace []float64, fresh []int) *placing {
	s := &placing{load: load, pace: pace, ranks: ranks, start: make([][]int, len(ranks)), n: make([]int, len(load)), fresh: fresh}
	for r := range ranks {
		s.start[r] = slices.Clone(ranks[r])
		for _, e := range ranks[r] {
			s.n[e]++
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
	consider := func(e edit) {
		if v, ok := s.judge(p, e); ok && v > best.score {
			e.score = v
			best, found = e, true
		}
	}
	for _, x := range s.ranks[hot] {
		if slow && s.n[x] > 1 {
			consider(edit{at: -1, add: x, evict: -1, drop: true})
		}
		for q := range s.ranks {
			if q == hot || times[q] >= times[hot] || slices.Contains(s.ranks[q], x) {
				continue
			}
			if len(s.ranks[q]) < p.Places {
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
				if !slices.Contains(s.ranks[hot], y) {
					consider(edit{at: q, add: x, evict: y, drop: true, back: true})
				}
			}
		}
	}
	return best, found
}

// judge returns the reduction of the potential by an edit for each new expert,
// as a part of the mean load, and whether the edit is allowed.
func (s *placing) judge(p Bounded, e edit) (float64, bool) {
	touched := s.trial(e)
	fresh := 0
	for _, t := range touched {
		n := s.newIn(t.rank, t.list)
		more := n - s.newIn(t.rank, s.ranks[t.rank])
		if n > p.Spare || p.RankSpare > 0 && more > 0 && s.fresh[t.rank]+more > p.RankSpare {
			return 0, false
		}
		fresh += more
	}
	before, after := 0.0, 0.0
	was, will := timed(s.loads, s.pace), timed(s.loadsWith(e), s.pace)
	for r := range will {
		before += eighth(was[r] / s.mean)
		after += eighth(will[r] / s.mean)
	}
	// The eighth root brings the sums back to the scale of a load.
	gain := math.Pow(before, 1.0/8) - math.Pow(after, 1.0/8)
	return gain / float64(max(1, fresh)), gain > 1e-9
}

type trialList struct {
	rank int
	list []int
}

// trial returns the lists of the ranks that an edit changes.
func (s *placing) trial(e edit) []trialList {
	lists := make([]trialList, 0, 2)
	if e.at >= 0 {
		lists = append(lists, trialList{e.at, replaceIn(s.ranks[e.at], e.evict, e.add)})
	}
	if e.drop {
		in := -1
		if e.back {
			in = e.evict
		}
		lists = append(lists, trialList{s.hot, replaceIn(s.ranks[s.hot], e.add, in)})
	}
	return lists
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

// replaceIn returns the list without out and with in; negative ones are left
// out.
func replaceIn(list []int, out, in int) []int {
	c := make([]int, 0, len(list)+1)
	for _, e := range list {
		if e != out {
			c = append(c, e)
		}
	}
	if in >= 0 {
		c = append(c, in)
	}
	return c
}

// newIn returns the number of experts in the list that the rank did not have at
// the start.
func (s *placing) newIn(rank int, list []int) int {
	n := 0
	for _, e := range list {
		if !slices.Contains(s.start[rank], e) {
			n++
		}
	}
	return n
}

// loadsWith returns the rank loads after an edit.
func (s *placing) loadsWith(e edit) []float64 {
	loads := slices.Clone(s.loads)
	add, evict := e.replicas()
	after := s.trial(e)
	s.shift(loads, e.add, add, after)
	if e.evict >= 0 {
		s.shift(loads, e.evict, evict, after)
	}
	return loads
}

// shift changes the loads to those with more replicas of an expert, where the
// lists of some ranks are those after an edit.
func (s *placing) shift(loads []float64, expert, more int, after []trialList) {
	was := s.load[expert] / float64(s.n[expert])
	will := s.load[expert] / float64(s.n[expert]+more)
	for r, list := range s.ranks {
		if slices.Contains(list, expert) {
			loads[r] -= was
		}
		for _, t := range after {
			if t.rank == r {
				list = t.list
			}
		}
		if slices.Contains(list, expert) {
			loads[r] += will
		}
	}
}

func (s *placing) apply(e edit) {
	add, evict := e.replicas()
	for _, t := range s.trial(e) {
		s.fresh[t.rank] += s.newIn(t.rank, t.list) - s.newIn(t.rank, s.ranks[t.rank])
		s.ranks[t.rank] = t.list
	}
	s.n[e.add] += add
	if e.evict >= 0 {
		s.n[e.evict] += evict
	}
	s.update()
}

func eighth(x float64) float64 {
	x *= x
	x *= x
	return x * x
}
