package admit

import (
	"container/list"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"parsleyroute.example/core"
)

// DefaultMaxTeams is the default of Limiter.MaxTeams: twice the 8,700 teams that
// the system is designed for.
const DefaultMaxTeams = 17400

// Limiter holds a token bucket for each team. A team's rate and burst apply to
// the whole fleet. Each entry enforces an equal share of both, with a burst of
// at least one.
type Limiter struct {
	// Clock is required.
	Clock core.Clock
	// MaxTeams is the maximum number of buckets; default DefaultMaxTeams. The
	// least recently used bucket is evicted first: it is the most likely to be
	// full, and evicting a full bucket loses no state.
	MaxTeams int

	mu      sync.Mutex
	table   *core.Table
	entries int // live entries
	buckets map[string]*list.Element
	recency list.List // of *bucket, least recently used first
}

type bucket struct {
	team string
	*rate.Limiter
}

// Update sets the teams and the number of live entries, this one included. Teams
// that are also in the previous table keep the state of their buckets.
func (l *Limiter) Update(table *core.Table, entries int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table, l.entries = table, entries
	now := l.Clock.Now()
	for name, el := range l.buckets {
		team := table.Teams[name]
		if team == nil {
			l.recency.Remove(el)
			delete(l.buckets, name)
			continue
		}
		b := el.Value.(*bucket)
		r, burst := entryShare(team, entries)
		if b.Limit() != r {
			b.SetLimitAt(now, r)
		}
		if b.Burst() != burst {
			b.SetBurstAt(now, burst)
		}
	}
}

// entryShare returns one entry's share of a team's rate and burst. A team
// without a declared burst may use one second's worth of its rate at once.
func entryShare(team *core.TeamState, entries int) (rate.Limit, int) {
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

// Allow takes one token from the team's bucket. If the bucket is empty, it
// returns a refusal with core.ReasonRateLimited and the time after which a token
// is available. If the team is not in the table, the reason is
// core.ReasonUnauthenticated.
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
		refusal := core.NewRefusal(core.ReasonRateLimited, "team "+team+" exceeds its rate limit")
		refusal.RetryAfter = min(wait, time.Hour)
		return refusal
	}
	return nil
}

// bucket returns the team's bucket, and creates it if necessary.
func (l *Limiter) bucket(team string) *bucket {
	if el := l.buckets[team]; el != nil {
		l.recency.MoveToBack(el)
		return el.Value.(*bucket)
	}
	if l.buckets == nil {
		l.buckets = map[string]*list.Element{}
	}
	limit := l.MaxTeams
	if limit <= 0 {
		limit = DefaultMaxTeams
	}
	for l.recency.Len() >= limit {
		delete(l.buckets, l.recency.Remove(l.recency.Front()).(*bucket).team)
	}
	r, burst := entryShare(l.table.Teams[team], l.entries)
	b := &bucket{team: team, Limiter: rate.NewLimiter(r, burst)}
	l.buckets[team] = l.recency.PushBack(b)
	return b
}
