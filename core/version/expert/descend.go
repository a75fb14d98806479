package expert

import (
	"math"
	"slices"
)

// layerSearch holds the state of the local search in one layer of a map.
type layerSearch struct {
	load        []float64
	perRank     int
	slots       []uint32
	loads       []float64 // load of each rank
	penalties   []float64 // penalty of each rank's load
	holders     [][]int   // ranks that hold each expert
	has         []bool    // whether a rank holds an expert, at rank*experts+expert
	inverseMean float64   // 1 / mean rank load
	shifts      []float64 // buffer of bestStep: replicaShift of each expert, or NaN
	tabuUntil   []int     // search step before which each slot must not change
}

func newLayerSearch(slots []uint32, load []float64, ranks, perRank int) *layerSearch {
	s := &layerSearch{
		load: load, perRank: perRank, slots: slices.Clone(slots),
		loads:       make([]float64, ranks),
		holders:     make([][]int, len(load)),
		has:         make([]bool, ranks*len(load)),
		inverseMean: float64(ranks) / total(load),
		shifts:      make([]float64, len(load)),
		tabuUntil:   make([]int, len(slots)),
	}
	for i, e := range slots {
		s.holders[e] = append(s.holders[e], i/perRank)
		s.has[i/perRank*len(load)+int(e)] = true
	}
	s.penalties = make([]float64, ranks)
	s.update()
	return s
}

func (s *layerSearch) holds(r int, e uint32) bool { return s.has[r*len(s.load)+int(e)] }

func (s *layerSearch) replicaLoad(e uint32) float64 { return s.load[e] / float64(len(s.holders[e])) }

// penalty returns a rank's contribution to the potential that the search reduces:
// the eighth power of its load relative to the mean. A high power emphasizes the
// slowest rank, and unlike the maximum it has no plateaus where two ranks are
// equal.
func (s *layerSearch) penalty(load float64) float64 {
	x := load * s.inverseMean
	x *= x
	x *= x
	return x * x
}

// penaltyChange returns the change of the potential if a rank's load changes by
// d.
func (s *layerSearch) penaltyChange(r int, d float64) float64 {
	return s.penalty(s.loads[r]+d) - s.penalties[r]
}

// searchStep is one change of the map: slot gets expert or, if other >= 0, slot
// and other swap their experts.
type searchStep struct {
	slot, other int
	expert      uint32
	score       float64 // reduction of the potential per move
}

// The search leaves a local minimum by the step that increases the potential
// least, and does not change a slot again for tabuTenure steps, so that it does
// not return (tabu search, Glover 1986). It ends after patience steps in which the
// greatest rank load reaches no new minimum.
const (
	tabuTenure = 8
	patience   = 24
)

// tabuSearch repeatedly applies the best step at the slowest rank until the
// greatest rank load reaches target, no step is left, patience is exhausted, or
// the moves cost so much that even reaching lowerBound, the minimum possible
// greatest rank load, would not increase the gain. It returns the slots found
// with the greatest gain over base: the reduction of the greatest load minus price
// for each move.
func tabuSearch(start, base []uint32, load []float64, ranks, perRank int, target, lowerBound, price float64) (best []uint32, gain float64) {
	s := newLayerSearch(start, load, ranks, perRank)
	before := make([]float64, ranks)
	rankLoads(before, base, load, perRank)
	initial := slices.Max(before)
	lowest, sinceLowest := initial, 0
	for now := range 2 * len(start) {
		slowest := slices.Max(s.loads)
		if slowest <= target {
			break
		}
		if slowest < lowest {
			lowest, sinceLowest = slowest, 0
		} else if sinceLowest++; sinceLowest > patience {
			break
		}
		st, ok := s.bestStep(slices.Index(s.loads, slowest), now)
		if !ok {
			break
		}
		s.apply(st)
		s.tabuUntil[st.slot] = now + tabuTenure
		if st.other >= 0 {
			s.tabuUntil[st.other] = now + tabuTenure
		}
		moved := layerMoves(base, s.slots, perRank)
		if g := initial - slices.Max(s.loads) - price*float64(moved); g > gain {
			best, gain = slices.Clone(s.slots), g
		}
		if initial-lowerBound-price*float64(moved) <= gain {
			break
		}
	}
	return best, gain
}

// bestStep returns the best step that changes the load of the slowest rank. now
// is the number of the search step.
func (s *layerSearch) bestStep(slowest, now int) (searchStep, bool) {
	best := searchStep{score: math.Inf(-1)}
	found := false
	consider := func(c searchStep) {
		if c.score > best.score {
			best, found = c, true
		}
	}
	for i := slowest * s.perRank; i < (slowest+1)*s.perRank; i++ {
		x := s.slots[i]
		// Swaps of the slot with one of another rank.
		for j, y := range s.slots {
			q := j / s.perRank
			if q == slowest || s.tabuUntil[i] > now || s.tabuUntil[j] > now || s.replicaLoad(y) >= s.replicaLoad(x) || s.holds(q, x) || s.holds(slowest, y) {
				continue
			}
			d := s.replicaLoad(x) - s.replicaLoad(y)
			consider(searchStep{slot: i, other: j, score: -(s.penaltyChange(slowest, -d) + s.penaltyChange(q, d)) / 2})
		}
		// Another replica of the slot's expert elsewhere.
		for e := range s.shifts {
			s.shifts[e] = math.NaN()
		}
		for j, y := range s.slots {
			if y != x && s.tabuUntil[j] <= now && len(s.holders[y]) > 1 && !s.holds(j/s.perRank, x) {
				if math.IsNaN(s.shifts[y]) {
					s.shifts[y] = s.replicaShift(y, x)
				}
				consider(searchStep{slot: j, other: -1, expert: x, score: -s.replacementChange(j/s.perRank, y, x, s.shifts[y])})
			}
		}
		// Another expert in the slot.
		if len(s.holders[x]) > 1 && s.tabuUntil[i] <= now {
			for y := range uint32(len(s.load)) {
				if !s.holds(slowest, y) {
					consider(searchStep{slot: i, other: -1, expert: y, score: -s.replacementChange(slowest, x, y, s.replicaShift(x, y))})
				}
			}
		}
	}
	return best, found
}

// replacementChange returns the change of the potential if rank q holds y instead
// of x. shift is the result of replicaShift for x and y.
func (s *layerSearch) replacementChange(q int, x, y uint32, shift float64) float64 {
	nx, ny := float64(len(s.holders[x])), float64(len(s.holders[y]))
	return shift - s.penaltyChange(q, s.load[x]/(nx-1)-s.load[x]/nx) + s.penaltyChange(q, s.load[y]/(ny+1)-s.load[x]/nx)
}

// replicaShift returns the change of the potential if the number of replicas of x
// decreases by one and that of y increases by one, which changes the loads of all
// replicas of both. It counts no rank as losing x or gaining y; replacementChange
// adds the effect of that for the rank concerned.
func (s *layerSearch) replicaShift(x, y uint32) float64 {
	nx, ny := float64(len(s.holders[x])), float64(len(s.holders[y]))
	more := s.load[x]/(nx-1) - s.load[x]/nx
	less := s.load[y]/(ny+1) - s.load[y]/ny
	d := 0.0
	for _, r := range s.holders[y] {
		if s.holds(r, x) {
			d += s.penaltyChange(r, less+more)
		} else {
			d += s.penaltyChange(r, less)
		}
	}
	for _, r := range s.holders[x] {
		if !s.holds(r, y) {
			d += s.penaltyChange(r, more)
		}
	}
	return d
}

func (s *layerSearch) apply(st searchStep) {
	if st.other >= 0 {
		x, y := s.slots[st.slot], s.slots[st.other]
		s.setSlot(st.slot, y)
		s.setSlot(st.other, x)
	} else {
		s.setSlot(st.slot, st.expert)
	}
	s.update()
}

// update recomputes the rank loads from the slots, so that rounding errors do not
// accumulate over the steps.
func (s *layerSearch) update() {
	rankLoads(s.loads, s.slots, s.load, s.perRank)
	for r, v := range s.loads {
		s.penalties[r] = s.penalty(v)
	}
}

func (s *layerSearch) setSlot(slot int, e uint32) {
	r, old := slot/s.perRank, s.slots[slot]
	s.slots[slot] = e
	s.has[r*len(s.load)+int(old)] = false
	s.has[r*len(s.load)+int(e)] = true
	i := slices.Index(s.holders[old], r)
	s.holders[old] = slices.Delete(s.holders[old], i, i+1)
	s.holders[e] = append(s.holders[e], r)
}
