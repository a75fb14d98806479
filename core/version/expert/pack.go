package expert

import (
	"cmp"
	"slices"
)

// pack fills dst, the slots of one layer, with n[e] replicas of each expert:
// the largest replica first, each to the least loaded rank that has a free slot
// and does not hold the expert (longest processing time first).
func pack(dst []uint32, load []float64, n []int, ranks, perRank int) {
	order := make([]int, len(load))
	for e := range order {
		order[e] = e
	}
	size := func(e int) float64 { return load[e] / float64(n[e]) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(size(b), size(a)) })
	used := make([]int, ranks)
	loads := make([]float64, ranks)
	rank := func(r int) []uint32 { return dst[r*perRank : r*perRank+used[r]] }
	put := func(r int, e uint32) {
		dst[r*perRank+used[r]] = e
		used[r]++
		loads[r] += size(int(e))
	}
	for _, e := range order {
		for range n[e] {
			best := -1
			for r := range ranks {
				if used[r] < perRank && (best < 0 || loads[r] < loads[best]) && !holds(rank(r), uint32(e)) {
					best = r
				}
			}
			if best >= 0 {
				put(best, uint32(e))
				continue
			}
			// Every rank with a free slot holds the expert already. Such a rank
			// takes another expert from a full rank, which takes this one. There
			// is always a pair, since the full rank holds more experts.
			to, from, slot := exchange(rank, used, loads, uint32(e), perRank, size)
			x := dst[from*perRank+slot]
			dst[from*perRank+slot] = uint32(e)
			loads[from] += size(e) - size(int(x))
			put(to, x)
		}
	}
}

// exchange returns the rank with a free slot, and the full rank and slot whose
// expert it takes, for the smallest greater load of the two.
func exchange(rank func(int) []uint32, used []int, loads []float64, e uint32, perRank int, size func(int) float64) (to, from, slot int) {
	to = -1
	least := 0.0
	for q := range used {
		if used[q] == perRank {
			continue
		}
		for p := range used {
			if used[p] < perRank || holds(rank(p), e) {
				continue
			}
			for i, x := range rank(p) {
				if holds(rank(q), x) {
					continue
				}
				worst := max(loads[q]+size(int(x)), loads[p]+size(int(e))-size(int(x)))
				if to < 0 || worst < least {
					to, from, slot, least = q, p, i, worst
				}
			}
		}
	}
	return to, from, slot
}
