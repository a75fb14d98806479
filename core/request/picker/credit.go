package picker

import (
	"math/rand/v2"
	"time"

	"parsleyroute.example/core"
)

// probeAfter is the age at which a report without credit no longer keeps an
// entry from sending one request. Reports come with answers only, so an entry
// that stops sending would otherwise never learn of new credit.
const probeAfter = time.Second

// drainAfter is the same for an agent that drains. It is longer because such
// an agent is expected to end rather than to recover.
const drainAfter = 10 * time.Second

// Credit returns the number of requests that the entry may have in flight at
// the candidate. It is 1 before the first report. It can grow with time alone,
// when a report without credit gets old.
func Credit(now time.Time, c *core.Candidate) int {
	if c.Load.ReceivedAt.IsZero() {
		return 1
	}
	age := now.Sub(c.Load.ReceivedAt)
	if c.Load.Draining {
		if age > drainAfter {
			return 1
		}
		return 0
	}
	if c.Load.Credit < 1 && age > probeAfter {
		return 1
	}
	return c.Load.Credit
}

func open(now time.Time, c *core.Candidate) bool { return c.OwnInflight < Credit(now, c) }

func limit(c *core.Candidate) float64 { return float64(max(c.Limit, 1)) }

func intN(f func(int) int, n int) int {
	if f == nil {
		return rand.IntN(n)
	}
	return f(n)
}
