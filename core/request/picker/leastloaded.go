package picker

import (
	"time"

	"parsleyroute.example/core"
)

// LeastLoaded takes the candidate with credit whose last report shows the
// lowest load, whatever the report's age. Equal candidates are taken at random.
type LeastLoaded struct {
	// IntN returns a random number in [0, n); default math/rand/v2.
	IntN func(n int) int
}

// Pick implements core.Picker.
func (p *LeastLoaded) Pick(now time.Time, candidates []core.Candidate) int {
	chosen, ties, lowest := -1, 0, 0.0
	for i := range candidates {
		c := &candidates[i]
		if !open(now, c) {
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
