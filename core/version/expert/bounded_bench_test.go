package expert_test

import (
	"testing"

	"parsleyroute.example/core/version/expert"
)

// BenchmarkBounded measures a plan for a group of 12 ranks, which the leader
// makes beside its traffic.
func BenchmarkBounded(b *testing.B) {
	load := engineLoad()
	lists := expert.InTurn(4, 12, 72)
	p := expert.Bounded{Places: 8, Spare: 3, RankSpare: 3, Target: 1.1, MoveCost: 0.03}
	for b.Loop() {
		p.Place(lists, load)
	}
}
