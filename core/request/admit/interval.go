package admit

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

// grantInterval tracks the average interval between grants while requests wait.
type grantInterval struct {
	mean time.Duration
	last time.Time
}

// smoothing is the weight of a new interval in the moving average, which then
// follows a change of the rate within about ten grants.
const smoothing = 0.1

// restart starts a new interval when the queue becomes non-empty.
func (g *grantInterval) restart(now time.Time) { g.last = now }

// recordGrant adds the interval since the last grant or restart to the average.
func (g *grantInterval) recordGrant(now time.Time) {
	d := now.Sub(g.last)
	if g.mean == 0 {
		g.mean = d
	} else {
		g.mean += time.Duration(smoothing * float64(d-g.mean))
	}
	g.last = now
}

// expected returns the expected interval between grants: the average, or the time
// since the last grant if that is longer. It is zero before the first grant.
func (g *grantInterval) expected(now time.Time) time.Duration {
	if g.mean == 0 {
		return 0
	}
	return max(g.mean, now.Sub(g.last))
}

// estimateWait returns how long an item that arrives now is expected to wait. It
// assumes that the items of its team ahead of it are granted at the team's share
// of the grant rate, and is at most the time to grant all waiting items. It is
// zero for an empty queue: otherwise a long interval measured during a stall
// could keep all requests out, so that the interval is never measured again.
func (q *Queue) estimateWait(now time.Time, it *Item) time.Duration {
	if q.waiting == 0 {
		return 0
	}
	interval := q.interval.expected(now)
	w := weight(it)
	var otherWeights float64
	ahead, waiting := 0, 0
	for _, f := range q.teams {
		// Late items do not delay one that is not.
		rivals := len(f.items)
		if !it.Late {
			rivals = lo.CountBy(f.items, func(other *Item) bool { return !other.Late })
		}
		if rivals == 0 {
			continue
		}
		waiting += rivals
		if f.team == it.Team {
			ahead, _ = slices.BinarySearchFunc(f.items, it, compareItems)
			continue
		}
		otherWeights += f.weight
	}
	if waiting == 0 {
		return 0
	}
	grants := min(float64(ahead+1)*(otherWeights+w)/w, float64(waiting+1))
	return time.Duration(grants * float64(interval))
}
