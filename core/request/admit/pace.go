package admit

import (
	"slices"
	"time"
)

// pace measures the interval between grants while requests wait.
type pace struct {
	mean time.Duration
	last time.Time
}

// smooth is the weight of a new interval in the mean: the mean follows a change
// of the rate within about ten grants.
const smooth = 0.1

// begin marks the start of a time in which requests wait.
func (p *pace) begin(now time.Time) { p.last = now }

// granted counts a grant.
func (p *pace) granted(now time.Time) {
	d := now.Sub(p.last)
	if p.mean == 0 {
		p.mean = d
	} else {
		p.mean += time.Duration(smooth * float64(d-p.mean))
	}
	p.last = now
}

// interval returns the expected time between grants. A grant that is overdue
// counts as far as it is late. It is zero before the first grant.
func (p *pace) interval(now time.Time) time.Duration {
	if p.mean == 0 {
		return 0
	}
	return max(p.mean, now.Sub(p.last))
}

// estimate returns how long an item that arrives now will wait: the items of
// its team before it, at the team's share of the grants, but no longer than
// until all that wait have been served. It is zero for an empty queue, so that
// a pace measured during a stall cannot keep the queue empty, and thereby
// unmeasured, for ever.
func (q *Queue) estimate(now time.Time, it *Item) time.Duration {
	if q.waiting == 0 {
		return 0
	}
	d := q.pace.interval(now)
	w := weight(it)
	var sum float64
	ahead := 0
	for _, f := range q.teams {
		if len(f.items) == 0 {
			continue
		}
		if f.team == it.Team {
			ahead, _ = slices.BinarySearchFunc(f.items, it, before)
			continue
		}
		sum += f.weight
	}
	grants := min(float64(ahead+1)*(sum+w)/w, float64(q.waiting+1))
	return time.Duration(grants * float64(d))
}
