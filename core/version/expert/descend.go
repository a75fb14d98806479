package expert

import (
	"math"
	"slices"
)

// layer is one layer of a map under local search.
type layer struct {
	load    []float64
	perRank int
	slots   []uint32
	loads   []float64 // of ranks
	costs   []float64 // penalties of the loads
	holders [][]int   // ranks that hold each expert
	has     []bool    // rank*experts+expert
	scale   float64   // 1 / mean
	shared  []float64 // buffer of best: shift for each expert, or NaN
	until   []int     // step before which each slot stays as it is
}

func newLayer(slots []uint32, load []float64, ranks, perRank int) *layer {
	s := &layer{
		load: load, perRank: perRank, slots: slices.Clone(slots),
		loads:   make([]float64, ranks),
		holders: make([][]int, len(load)),
		has:     make([]bool, ranks*len(load)),
		scale:   float64(ranks) / total(load),
		shared:  make([]float64, len(load)),
		until:   make([]int, len(slots)),
	}
	for i, e := range slots {
		s.holders[e] = append(s.holders[e], i/perRank)
		s.has[i/perRank*len(load)+int(e)] = true
	}
	s.costs = make([]float64, ranks)
	s.update()
	return s
}

func (s *layer) holds(r int, e uint32) bool { return s.has[r*len(s.load)+int(e)] }

func (s *layer) size(e uint32) float64 { return s.load[e] / float64(len(s.holders[e])) }

// penalty is a rank's part of the potential that the search reduces: the
// eighth power of its load over the mean. A high power favours the slowest
// rank, and unlike the maximum it has no plateaus where two ranks are equal.
func (s *layer) penalty(load float64) float64 {
	x := load * s.scale
	x *= x
	x *= x
	return x * x
}

// change is the difference in potential if a rank's load changes by d.
func (s *layer) change(r int, d float64) float64 {
	return s.penalty(s.loads[r]+d) - s.costs[r]
}

// step is one change of the map: slot takes expert; if other >= 0, it is a swap
// with that slot.
type step struct {
	slot, other int
	expert      uint32
	score       float64 // reduction of the potential for each move
}

// The search goes on past a local minimum by taking the least bad step, and
// keeps a changed slot as it is for tenure steps, so that it does not go back
// (tabu search, Glover 1986). It ends after patience steps without a new best.
const (
	tenure   = 8
	patience = 24
)

// descend improves the slots by the best step at the slowest rank until the
// greatest load reaches target or no step helps, or the moves have cost so much
// that even floor, the least possible load, would not pay. It returns the slots on the
// way with the greatest gain over base: the reduction of the greatest load less
// price for each move.
func descend(start, base []uint32, load []float64, ranks, perRank int, target, floor, price float64) (best []uint32, gain float64) {
	s := newLayer(start, load, ranks, perRank)
	before := make([]float64, ranks)
	rankLoads(before, base, load, perRank)
	first := slices.Max(before)
	lowest, since := first, 0
	for now := range 2 * len(start) {
		slowest := slices.Max(s.loads)
		if slowest <= target {
			break
		}
		if slowest < lowest {
			lowest, since = slowest, 0
		} else if since++; since > patience {
			break
		}
		st, ok := s.best(slices.Index(s.loads, slowest), now)
		if !ok {
			break
		}
		s.apply(st)
		s.until[st.slot] = now + tenure
		if st.other >= 0 {
			s.until[st.other] = now + tenure
		}
		moved := layerMoves(base, s.slots, perRank)
		if g := first - slices.Max(s.loads) - price*float64(moved); g > gain {
			best, gain = slices.Clone(s.slots), g
		}
		if first-floor-price*float64(moved) <= gain {
			break
		}
	}
	return best, gain
}

// best returns the best step at time now that changes the load of rank h.
func (s *layer) best(h, now int) (step, bool) {
	b := step{score: math.Inf(-1)}
	found := false
	consider := func(c step) {
		if c.score > b.score {
			b, found = c, true
		}
	}
	for i := h * s.perRank; i < (h+1)*s.perRank; i++ {
		x := s.slots[i]
		// Swaps of the slot with one of another rank.
		for j, y := range s.slots {
			q := j / s.perRank
			if q == h || s.until[i] > now || s.until[j] > now || s.size(y) >= s.size(x) || s.holds(q, x) || s.holds(h, y) {
				continue
			}
			d := s.size(x) - s.size(y)
			consider(step{slot: i, other: j, score: -(s.change(h, -d) + s.change(q, d)) / 2})
		}
		// Another replica of the slot's expert elsewhere.
		for e := range s.shared {
			s.shared[e] = math.NaN()
		}
		for j, y := range s.slots {
			if y != x && s.until[j] <= now && len(s.holders[y]) > 1 && !s.holds(j/s.perRank, x) {
				if math.IsNaN(s.shared[y]) {
					s.shared[y] = s.shift(y, x)
				}
				consider(step{slot: j, other: -1, expert: x, score: -s.replace(j/s.perRank, y, x, s.shared[y])})
			}
		}
		// Another expert in the slot.
		if len(s.holders[x]) > 1 && s.until[i] <= now {
			for y := range uint32(len(s.load)) {
				if !s.holds(h, y) {
					consider(step{slot: i, other: -1, expert: y, score: -s.replace(h, x, y, s.shift(x, y))})
				}
			}
		}
	}
	return b, found
}

// replace returns the change of the potential if rank q holds y instead of x.
// shared is that of shift.
func (s *layer) replace(q int, x, y uint32, shared float64) float64 {
	nx, ny := float64(len(s.holders[x])), float64(len(s.holders[y]))
	return shared - s.change(q, s.load[x]/(nx-1)-s.load[x]/nx) + s.change(q, s.load[y]/(ny+1)-s.load[x]/nx)
}

// shift returns the change of the potential if x loses a replica and y gets
// one, as if the ranks that hold x now all kept it.
func (s *layer) shift(x, y uint32) float64 {
	nx, ny := float64(len(s.holders[x])), float64(len(s.holders[y]))
	more := s.load[x]/(nx-1) - s.load[x]/nx
	less := s.load[y]/(ny+1) - s.load[y]/ny
	d := 0.0
	for _, r := range s.holders[y] {
		if s.holds(r, x) {
			d += s.change(r, less+more)
		} else {
			d += s.change(r, less)
		}
	}
	for _, r := range s.holders[x] {
		if !s.holds(r, y) {
			d += s.change(r, more)
		}
	}
	return d
}

func (s *layer) apply(st step) {
	if st.other >= 0 {
		x, y := s.slots[st.slot], s.slots[st.other]
		s.set(st.slot, y)
		s.set(st.other, x)
	} else {
		s.set(st.slot, st.expert)
	}
	s.update()
}

// update computes the rank loads anew, which keeps rounding errors from adding
// up over the steps.
func (s *layer) update() {
	rankLoads(s.loads, s.slots, s.load, s.perRank)
	for r, v := range s.loads {
		s.costs[r] = s.penalty(v)
	}
}

func (s *layer) set(slot int, e uint32) {
	r, old := slot/s.perRank, s.slots[slot]
	s.slots[slot] = e
	s.has[r*len(s.load)+int(old)] = false
	s.has[r*len(s.load)+int(e)] = true
	i := slices.Index(s.holders[old], r)
	s.holders[old] = slices.Delete(s.holders[old], i, i+1)
	s.holders[e] = append(s.holders[e], r)
}
