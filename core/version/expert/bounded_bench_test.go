package expert_test

import (
	"math"
	"testing"

	"parsleyroute.example/core"
	"parsleyroute.example/core/version/expert"
)

// BenchmarkBounded measures a plan for a group of 12 ranks, which the leader
// makes beside its traffic.
func BenchmarkBounded(b *testing.B) {
	load := make(core.ExpertLoad, 4)
	for s := range load {
		load[s] = make([]float64, 72)
		for e := range load[s] {
			load[s][e] = math.Pow(float64((e*29+s*7)%72+1), -1.3)
		}
	}
	lists := expert.InTurn(4, 12, 72)
	p := expert.Bounded{Places: 8, Spare: 3, RankSpare: 3, Target: 1.1, MoveCost: 0.03}
	for b.Loop() {
		p.Place(lists, load)
	}
}
