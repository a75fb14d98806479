package expert_test

import (
	"testing"

	"parsleyroute.example/core/version/expert"
)

// BenchmarkBounded measures the planning of a map for a group of 12 ranks, which
// the leader does while it serves traffic.
func BenchmarkBounded(b *testing.B) {
	load := skewedLoad()
	placement := expert.RoundRobin(4, 12, 72)
	p := expert.Bounded{MaxPerSet: 8, MaxNewPerSet: 3, MaxNewPerRank: 3, TargetSkew: 1.1, MoveCost: 0.03}
	for b.Loop() {
		p.Place(placement, load)
	}
}
