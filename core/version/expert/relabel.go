package expert

// relabel renumbers the ranks of packed so that they overlap with the ranks of
// current. It matches the pairs with the greatest overlap first.
func relabel(packed, current []uint32, ranks, perRank int) {
	buckets := make([][][2]int, perRank+1)
	for a := range ranks {
		for b := range ranks {
			n := 0
			for _, e := range packed[a*perRank : (a+1)*perRank] {
				if holds(current[b*perRank:(b+1)*perRank], e) {
					n++
				}
			}
			buckets[n] = append(buckets[n], [2]int{a, b})
		}
	}
	assigned, taken := make([]bool, ranks), make([]bool, ranks)
	out := make([]uint32, len(packed))
	for n := perRank; n >= 0; n-- {
		for _, p := range buckets[n] {
			a, b := p[0], p[1]
			if assigned[a] || taken[b] {
				continue
			}
			assigned[a], taken[b] = true, true
			copy(out[b*perRank:(b+1)*perRank], packed[a*perRank:(a+1)*perRank])
		}
	}
	copy(packed, out)
}
