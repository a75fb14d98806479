package admit

import (
	"container/list"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"parsleyroute.example/core"
)

// DefaultTeams is the default of Limiter.Teams: the 8,700 teams of the size to
// design for, and as many again.
const DefaultTeams = 17400

// Limiter holds a token bucket for each team. A team's rate and burst apply to
// the whole fleet; each entry grants its share, and at least a burst of one.
type Limiter struct {
	// Clock is needed.
	Clock core.Clock
	// Teams is the greatest number of buckets kept; default DefaultTeams. The
	// bucket used least recently is dropped first. It is the one most likely
	// to be full, and a full bucket carries no state.
	Teams int

	mu      sync.Mutex
	table   *core.Table
	entries int
	buckets map[string]*list.Element
	order   list.List
}

type bucket struct {
	team string
	*rate.Limiter
}

// Update takes over the teams of a table and the number of live entries, this
// one included. Teams that remain keep the state of their buckets.
func (l *Limiter) Update(table *core.Table, entries int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table, l.entries = table, entries
	now := l.Clock.Now()
	for name, el := range l.buckets {
		team := table.Teams[name]
		if team == nil {
			l.order.Remove(el)
			delete(l.buckets, name)
			continue
		}
		b := el.Value.(*bucket)
		r, burst := share(team, entries)
		if b.Limit() != r {
			b.SetLimitAt(now, r)
		}
		if b.Burst() != burst {
			b.SetBurstAt(now, burst)
		}
	}
}

// share returns one entry's share of a team's rate and burst. Without a
// declared burst a team may use one second's worth of its rate at once.
func share(team *core.TeamState, entries int) (rate.Limit, int) {
	n := max(entries, 1)
	if team.Rate <= 0 {
		return rate.Inf, 1
	}
	burst := team.Burst
	if burst <= 0 {
		burst = int(team.Rate)
	}
	return rate.Limit(team.Rate / float64(n)), max(burst/n, 1)
}

// Allow takes a token of the team. The refusal is core.ReasonRateLimited with
// the time after which a token is there, or core.ReasonUnauthenticated if the
// team is not in the table.
func (l *Limiter) Allow(team string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.table == nil || l.table.Teams[team] == nil {
		return core.NewRefusal(core.ReasonUnauthenticated, "team "+team+" is not declared")
	}
	now := l.Clock.Now()
	r := l.bucket(team).ReserveN(now, 1)
	if wait := r.DelayFrom(now); wait > 0 {
		r.CancelAt(now)
		refusal := core.NewRefusal(core.ReasonRateLimited, "team "+team+" is over its rate")
		refusal.RetryAfter = min(wait, time.Hour)
		return refusal
	}
	return nil
}

func (l *Limiter) bucket(team string) *bucket {
	if el := l.buckets[team]; el != nil {
		l.order.MoveToBack(el)
		return el.Value.(*bucket)
	}
	if l.buckets == nil {
		l.buckets = map[string]*list.Element{}
	}
	limit := l.Teams
	if limit <= 0 {
		limit = DefaultTeams
	}
	for l.order.Len() >= limit {
		delete(l.buckets, l.order.Remove(l.order.Front()).(*bucket).team)
	}
	r, burst := share(l.table.Teams[team], l.entries)
	b := &bucket{team: team, Limiter: rate.NewLimiter(r, burst)}
	l.buckets[team] = l.order.PushBack(b)
	return b
}
