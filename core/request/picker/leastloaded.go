package picker

import (
	"time"

	"parsleyroute.example/core"
)

// LeastLoaded picks the candidate with credit whose last report shows the lowest
// load, regardless of the report's age. Ties are broken at random.
type LeastLoaded struct {
	// IntN returns a random number in [0, n); default math/rand/v2.
	IntN func(n int) int
}

// Pick implements core.Picker.
func (p *LeastLoaded) Pick(now time.Time, candidates []core.Candidate) int {
	chosen, ties, lowest := -1, 0, 0.0
	for i := range candidates {
		c := &candidates[i]
		if !hasCredit(now, c) {
			continue
		}
		load := float64(c.Load.Inflight) / limit(c)
		switch {
		case chosen < 0 || load < lowest:
			chosen, ties, lowest = i, 1, load
		case load == lowest:
			ties++
			if intN(p.IntN, ties) == 0 {
				chosen = i
			}
		}
	}
	return chosen
}
