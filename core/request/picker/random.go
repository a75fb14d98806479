package picker

import (
	"time"

	"parsleyroute.example/core"
)

// Random picks among the candidates with credit with equal probability.
type Random struct {
	// IntN returns a random number in [0, n); default math/rand/v2.
	IntN func(n int) int
}

// Pick implements core.Picker.
func (p *Random) Pick(now time.Time, candidates []core.Candidate) int {
	chosen, n := -1, 0
	for i := range candidates {
		if !hasCredit(now, &candidates[i]) {
			continue
		}
		n++
		if intN(p.IntN, n) == 0 {
			chosen = i
		}
	}
	return chosen
}
