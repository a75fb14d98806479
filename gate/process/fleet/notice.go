package fleet

import (
	"math"
	"slices"
	"time"

	"parsleyroute.example/core"
)

// maxNotices limits the processes whose notices are kept.
const maxNotices = 1024

// Departure identifies a process that has said that it leaves.
type Departure struct {
	// Key and StartTime identify the upstream, as in Upstream.
	Key       uint64
	StartTime int64
}

// notice is what a process has said of the requests that it wants. It is kept apart from
// the upstream, since the entry of a process may lapse and come back.
type notice struct {
	leaving     bool
	pausedUntil time.Time
	at          time.Time
}

// ObserveLeaving records that the upstream has said in a response to this gate that it
// leaves. It gets no more requests, whatever its entry says.
func (f *Fleet) ObserveLeaving(now time.Time, u *Upstream) {
	if f.recordLeaving(now, Departure{u.Key, u.StartTime}, u) {
		f.DecisionLog.Log("upstream_leaving", "upstream", u.ID, "pool", u.Entry().Pool, "source", "response", "draining", u.Entry().Draining)
		if f.OnDeparture != nil {
			f.OnDeparture()
		}
	}
}

// recordLeaving reports whether the departure was unknown. u may be nil.
func (f *Fleet) recordLeaving(now time.Time, d Departure, u *Upstream) bool {
	if u != nil && !u.leaving.CompareAndSwap(false, true) {
		return false
	}
	f.departures.Store(true)
	return f.updateNotice(now, d, func(n *notice) bool {
		known := n.leaving
		n.leaving = true
		return !known
	})
}

// ObservePause records that the upstream has refused a request of this gate and wants none
// for some time.
func (f *Fleet) ObservePause(now time.Time, u *Upstream, d time.Duration) {
	until := now.Add(d)
	sinceStart := int64(until.Sub(processStart))
	for {
		former := u.pausedUntil.Load()
		if sinceStart <= former {
			return
		}
		if u.pausedUntil.CompareAndSwap(former, sinceStart) {
			break
		}
	}
	for {
		former := f.pausesUntil.Load()
		if sinceStart <= former || f.pausesUntil.CompareAndSwap(former, sinceStart) {
			break
		}
	}
	f.updateNotice(now, Departure{u.Key, u.StartTime}, func(n *notice) bool {
		if until.After(n.pausedUntil) {
			n.pausedUntil = until
		}
		return true
	})
	f.DecisionLog.Log("upstream_paused", "upstream", u.ID, "pool", u.Entry().Pool, "for", d)
}

// updateNotice changes the notice of a process.
func (f *Fleet) updateNotice(now time.Time, d Departure, change func(n *notice) bool) bool {
	f.noticeMu.Lock()
	defer f.noticeMu.Unlock()
	if d.StartTime == 0 {
		// Later processes with the same id could not be told from this one.
		return change(&notice{})
	}
	n, ok := f.notices[d]
	if !ok && len(f.notices) >= maxNotices {
		oldest, at := Departure{}, time.Time{}
		for other, o := range f.notices {
			if at.IsZero() || o.at.Before(at) {
				oldest, at = other, o.at
			}
		}
		delete(f.notices, oldest)
	}
	n.at = now
	changed := change(&n)
	if f.notices == nil {
		f.notices = map[Departure]notice{}
	}
	f.notices[d] = n
	return changed
}

// restoreNotice applies what the process of a new upstream has said before.
func (f *Fleet) restoreNotice(u *Upstream) {
	f.noticeMu.Lock()
	defer f.noticeMu.Unlock()
	n := f.notices[Departure{u.Key, u.StartTime}]
	u.leaving.Store(n.leaving)
	if !n.pausedUntil.IsZero() {
		u.pausedUntil.Store(int64(n.pausedUntil.Sub(processStart)))
	}
}

// LearnDepartures records the departures that other gates report. Only the control goroutine
// may call it.
func (f *Fleet) LearnDepartures(now time.Time, departures []Departure) {
	if len(departures) == 0 {
		return
	}
	byProcess := make(map[Departure]*Upstream, len(f.upstreams))
	for _, u := range f.upstreams {
		byProcess[Departure{u.Key, u.StartTime}] = u
	}
	for _, d := range departures {
		u := byProcess[d]
		if f.recordLeaving(now, d, u) && u != nil {
			f.DecisionLog.Log("upstream_leaving", "upstream", u.ID, "pool", u.Entry().Pool, "source", "peer", "draining", u.Entry().Draining)
		}
	}
}

// Departures returns the listed upstreams that are known to leave, in random order.
func (f *Fleet) Departures() []Departure {
	if !f.departures.Load() {
		return nil
	}
	var list []Departure
	for _, u := range f.Snapshot().ByID {
		if u.leaving.Load() {
			list = append(list, Departure{u.Key, u.StartTime})
		}
	}
	return list
}

// paused reports whether the upstream has asked this gate for no requests.
func (u *Upstream) paused(now time.Time) bool {
	return int64(now.Sub(processStart)) < u.pausedUntil.Load()
}

// Outlook tells whether a pool is expected to accept a request.
type Outlook struct {
	State PoolState
	// PausedUntil is when the first upstream accepts requests again, if State is PoolPaused.
	PausedUntil time.Time
}

// Outlook returns the state of a pool for a request that has tried some upstreams. If it has
// tried all, those that leave or have paused count, since a request that they have refused
// has nowhere to go.
func (p *Picker) Outlook(now time.Time, pool *core.PoolConfig, tried []*Upstream) Outlook {
	upstreams := p.Fleet.Snapshot().Pools[pool.Name]
	capacity := p.capacityFunc(now, pool, upstreams)
	cold := p.Fleet.coldQuota(pool)
	state, until := PoolState(-1), int64(math.MaxInt64)
	for _, u := range upstreams {
		if slices.Contains(tried, u) {
			continue
		}
		s := p.upstreamState(now, u, capacity, cold)
		if s == PoolPaused {
			until = min(until, u.pausedUntil.Load())
		}
		if state < 0 || s < state {
			state = s
		}
	}
	switch state {
	case -1:
		if len(tried) > 0 {
			if o := p.Outlook(now, pool, nil); o.State == PoolPaused || o.State == PoolLeaving {
				return o
			}
		}
		return Outlook{State: PoolDown}
	case PoolPaused:
		return Outlook{State: state, PausedUntil: processStart.Add(time.Duration(until))}
	}
	return Outlook{State: state}
}

// Unreachable reports whether a request that waits until the given time gets no upstream,
// since all that it could be sent to leave, or want no requests for longer.
func (p *Picker) Unreachable(now time.Time, pool *core.PoolConfig, tried []*Upstream, until time.Time) bool {
	if !p.Fleet.departures.Load() && int64(now.Sub(processStart)) >= p.Fleet.pausesUntil.Load() {
		return false
	}
	o := p.Outlook(now, pool, tried)
	return o.State == PoolLeaving || o.State == PoolPaused && o.PausedUntil.After(until)
}
