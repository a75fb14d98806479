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
	replicaLoad := func(e int) float64 { return load[e] / float64(n[e]) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(replicaLoad(b), replicaLoad(a)) })
	used := make([]int, ranks)
	loads := make([]float64, ranks)
	rank := func(r int) []uint32 { return dst[r*perRank : r*perRank+used[r]] }
	put := func(r int, e uint32) {
		dst[r*perRank+used[r]] = e
		used[r]++
		loads[r] += replicaLoad(int(e))
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
			// Every rank with a free slot already holds the expert. A full rank
			// therefore gives one of its experts to such a rank and takes this
			// one. A suitable pair always exists, since the full rank holds more
			// experts.
			to, from, slot := findExchange(rank, used, loads, uint32(e), perRank, replicaLoad)
			x := dst[from*perRank+slot]
			dst[from*perRank+slot] = uint32(e)
			loads[from] += replicaLoad(e) - replicaLoad(int(x))
			put(to, x)
		}
	}
}

// findExchange returns a rank to with a free slot, and the full rank from and the
// slot whose expert it takes. It minimizes the greater load of the two ranks.
func findExchange(rank func(int) []uint32, used []int, loads []float64, e uint32, perRank int, replicaLoad func(int) float64) (to, from, slot int) {
	to = -1
	minLoad := 0.0
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
				load := max(loads[q]+replicaLoad(int(x)), loads[p]+replicaLoad(int(e))-replicaLoad(int(x)))
				if to < 0 || load < minLoad {
					to, from, slot, minLoad = q, p, i, load
				}
			}
		}
	}
	return to, from, slot
}
