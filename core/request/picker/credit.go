package picker

import (
	"math/rand/v2"
	"time"

	"parsleyroute.example/core"
)

// probeAfter is the age of a report without credit after which the entry may
// send one request. Load reports arrive only with responses, so an entry that
// stops sending would otherwise never receive new credit.
const probeAfter = time.Second

// drainProbeAfter is the corresponding age for a draining agent. It is longer
// because a draining agent usually shuts down.
const drainProbeAfter = 10 * time.Second

// Credit returns the number of requests that the entry may have in flight at
// the candidate. It is 1 before the first report, and becomes 1 when a report
// without credit is old enough.
func Credit(now time.Time, c *core.Candidate) int {
	if c.Load.ReceivedAt.IsZero() {
		return 1
	}
	age := now.Sub(c.Load.ReceivedAt)
	if c.Load.Draining {
		if age > drainProbeAfter {
			return 1
		}
		return 0
	}
	if c.Load.Credit < 1 && age > probeAfter {
		return 1
	}
	return c.Load.Credit
}

func hasCredit(now time.Time, c *core.Candidate) bool { return c.OwnInflight < Credit(now, c) }

func limit(c *core.Candidate) float64 { return float64(max(c.Limit, 1)) }

func intN(f func(int) int, n int) int {
	if f == nil {
		return rand.IntN(n)
	}
	return f(n)
}
