package picker

import (
	"sync/atomic"
	"time"

	"parsleyroute.example/core"
)

// RoundRobin picks the candidates with credit in turn.
type RoundRobin struct {
	next atomic.Uint64
}

// Pick implements core.Picker.
func (p *RoundRobin) Pick(now time.Time, candidates []core.Candidate) int {
	n := uint64(len(candidates))
	for range n {
		i := int((p.next.Add(1) - 1) % n)
		if hasCredit(now, &candidates[i]) {
			return i
		}
	}
	return -1
}
