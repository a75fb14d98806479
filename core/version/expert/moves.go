package expert

import "parsleyroute.example/core"

// Moves returns the number of replicas that ranks must load to change from map a
// to map b: those that a rank holds in b but not in a. The order of a rank's
// slots does not matter. Both maps must have the same shape.
func Moves(a, b *core.ExpertMap) int {
	n := 0
	for l := range a.Layers {
		n += layerMoves(layerSlots(a, l), layerSlots(b, l), a.SlotsPerRank)
	}
	return n
}

func layerMoves(a, b []uint32, perRank int) int {
	n := 0
	for i := 0; i < len(a); i += perRank {
		for _, e := range b[i : i+perRank] {
			if !holds(a[i:i+perRank], e) {
				n++
			}
		}
	}
	return n
}

func holds(rank []uint32, e uint32) bool {
	for _, x := range rank {
		if x == e {
			return true
		}
	}
	return false
}
