package fleet

import (
	"math"
	"time"
)

// limitDrop is the fraction of a limit below which a new limit is told to the other
// gates at once.
const limitDrop = 0.75

// UpstreamLimit is the limit that an upstream has named to one gate.
type UpstreamLimit struct {
	// Key and StartTime identify the upstream, as in Upstream.
	Key       uint64
	StartTime int64
	// PerSecond is the number of requests per second that the upstream takes from all
	// gates together, infinite if its latest response named none.
	PerSecond float64
	// At is the time of that response.
	At time.Time
}

// ObserveLimit records a response of the upstream to this gate. perSecond is the limit
// that it names, infinite if it names none.
func (f *Fleet) ObserveLimit(now time.Time, u *Upstream, perSecond float64) {
	u.mu.Lock()
	former := u.limit.Rate(now)
	u.ownLimit.Observe(now, perSecond)
	changed := u.limit.Observe(now, perSecond)
	u.mu.Unlock()
	if !changed {
		return
	}
	f.logLimit(u, perSecond, former, "response", 0)
	if perSecond < limitDrop*former && f.OnLimitDrop != nil {
		f.OnLimitDrop()
	}
}

// LearnLimits records what upstreams have named to other gates. Only the control
// goroutine may call it.
func (f *Fleet) LearnLimits(now time.Time, limits []UpstreamLimit) {
	if len(limits) == 0 {
		return
	}
	byKey := make(map[uint64]*Upstream, len(f.upstreams))
	for _, u := range f.upstreams {
		byKey[u.Key] = u
	}
	for _, l := range limits {
		u := byKey[l.Key]
		if u == nil || u.StartTime != l.StartTime {
			continue
		}
		u.mu.Lock()
		former := u.limit.Rate(now)
		changed := u.limit.Observe(l.At, l.PerSecond)
		u.mu.Unlock()
		if changed {
			f.logLimit(u, l.PerSecond, former, "peer", now.Sub(l.At))
		}
	}
}

func (f *Fleet) logLimit(u *Upstream, perSecond, former float64, source string, age time.Duration) {
	event := "limit_named"
	if math.IsInf(perSecond, 1) {
		event = "limit_ended"
	}
	f.DecisionLog.Log(event, "upstream", u.ID, "pool", u.Entry().Pool, "limit", loggedRate(perSecond), "former", loggedRate(former), "source", source, "age", age)
}

// loggedRate returns a rate as it is logged, -1 if it is not limited. JSON has no infinite
// numbers.
func loggedRate(perSecond float64) float64 {
	if math.IsInf(perSecond, 1) {
		return -1
	}
	return perSecond
}

// LocalLimits returns the limits that upstreams have named to this gate, or that have
// ended.
func (f *Fleet) LocalLimits() []UpstreamLimit {
	now := time.Now()
	var limits []UpstreamLimit
	for _, u := range f.Snapshot().ByID {
		u.mu.Lock()
		rate, at, ok := u.ownLimit.Known(now)
		u.mu.Unlock()
		if ok {
			limits = append(limits, UpstreamLimit{Key: u.Key, StartTime: u.StartTime, PerSecond: rate, At: at})
		}
	}
	return limits
}
