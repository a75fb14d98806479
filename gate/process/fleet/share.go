package fleet

import (
	"math"
	"slices"
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/gate/process/policy"
)

// SetMembers sets the gates that may be sending requests. They share the quotas and the
// connections of each upstream. Only the control goroutine may call it.
func (f *Fleet) SetMembers(now time.Time, m policy.Members) {
	first := f.shareFrom.IsZero()
	if !first && f.members.Equal(m) {
		return
	}
	if first {
		f.shareFrom = now
	}
	f.members = m
	f.gateCount.Store(int64(m.Count()))
	for _, u := range f.upstreams {
		if first {
			u.mu.Lock()
			u.shares = policy.NewShareHistory(now)
			u.mu.Unlock()
		}
		f.updateShares(now, u)
		u.Conns.SetMaxConnections(f.maxConnections(u.Entry().Pool))
	}
}

// GateCount returns the number of gates that may be sending requests.
func (f *Fleet) GateCount() int { return int(max(1, f.gateCount.Load())) }

// updateShares applies the present gates to the shares of an upstream.
func (f *Fleet) updateShares(now time.Time, u *Upstream) {
	if f.shareFrom.IsZero() {
		return
	}
	rank := f.members.Rank(u.Key)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.shares.Update(now, rank, f.members.Count())
}

// coldQuota returns the number of requests that all gates together may send to one
// cold upstream of the pool.
func (f *Fleet) coldQuota(pool *core.PoolConfig) policy.Quota {
	limit := f.ColdLimit
	return policy.Quota{
		Count:  int((pool.ColdRate*limit.Overshoot + limit.Slack) * coldRateMargin),
		Window: coldWindow,
	}
}

// eachQuota calls f with this gate's share of each quota that is in force. u.mu must be
// locked.
func (u *Upstream) eachQuota(now time.Time, cold policy.Quota, f func(policy.Quota)) {
	limit, limited := u.limit.Quota(now)
	if limited && !u.limited {
		rank, gates := u.shares.Place()
		u.sends.Spread(now, limit, rank, gates)
	}
	u.limited = limited
	isCold := now.Before(u.coldUntil)
	if !limited && !isCold {
		u.sends.Clear()
		return
	}
	if limited {
		f(u.shares.Share(now, limit))
	}
	if isCold {
		f(u.shares.Share(now, cold))
	}
}

// free returns how many more requests the quotas of the upstream allow this gate now.
func (u *Upstream) free(now time.Time, cold policy.Quota) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := math.MaxInt
	u.eachQuota(now, cold, func(q policy.Quota) { n = min(n, u.sends.Free(now, q)) })
	return n
}

// take counts a request against the quotas of the upstream and reports whether they
// allow it.
func (u *Upstream) take(now time.Time, cold policy.Quota) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	allowed, counted := true, false
	u.eachQuota(now, cold, func(q policy.Quota) {
		allowed, counted = allowed && u.sends.Free(now, q) > 0, true
	})
	if allowed && counted {
		u.sends.Expire(now, policy.MaxQuotaWindow)
		u.sends.Add(now)
	}
	return allowed
}

// NextShare is when this gate may send a request to an upstream that only its limit
// holds back.
type NextShare struct {
	// Upstream is the upstream that allows the next request, Limit the requests per
	// second that it takes, and Age the time since it named its limit or the end of it.
	Upstream *Upstream
	Limit    float64
	Age      time.Duration
	// Share is this gate's part of the quota of all Gates.
	Share policy.Quota
	Gates int
	// HasShare is set if this gate has a share of some quota.
	HasShare bool
	// At is the time at which a request may be sent, and Interval the mean time between
	// two requests. If this gate has no share, they are estimates from the rate of all
	// gates.
	At       time.Time
	Interval time.Duration
}

// NextShare returns when this gate may send another request to the pool after the given
// number of others, if upstreams that are not excluded have free slots and only their
// limits hold requests back.
func (p *Picker) NextShare(now time.Time, pool *core.PoolConfig, excluded []*Upstream, ahead int) (s NextShare, ok bool) {
	upstreams := p.Fleet.Snapshot().Pools[pool.Name]
	capacity := p.capacityFunc(now, pool, upstreams)
	var times, own []time.Time
	ownRate, totalRate := 0.0, 0.0
	for _, u := range upstreams {
		if slices.Contains(excluded, u) || u.unavailable(now) || u.Load() >= capacity(u) || !p.Fleet.admitsRequests(u) {
			continue
		}
		u.mu.Lock()
		quota, limited := u.limit.Quota(now)
		if limited {
			share := u.shares.Share(now, quota)
			ownRate += float64(share.Count) / share.Window.Seconds()
			totalRate += float64(quota.Count) / quota.Window.Seconds()
			own = u.sends.Next(own[:0], now, share)
			times = append(times, own...)
			if !ok || len(own) > 0 && (s.At.IsZero() || own[0].Before(s.At)) {
				_, at, _ := u.limit.Known(now)
				s = NextShare{Upstream: u, Limit: u.limit.Rate(now), Age: now.Sub(at), Share: share, Gates: p.Fleet.GateCount()}
				if len(own) > 0 {
					s.At = own[0]
				}
			}
			ok = true
		}
		u.mu.Unlock()
	}
	if !ok {
		return NextShare{}, false
	}
	slices.SortFunc(times, time.Time.Compare)
	s.HasShare = len(times) > 0
	rate := totalRate
	if s.HasShare {
		rate = ownRate
	}
	s.Interval = time.Duration(float64(time.Second) / rate)
	switch {
	case ahead < len(times):
		s.At = times[ahead]
	case s.HasShare:
		s.At = times[len(times)-1].Add(time.Duration(ahead+1-len(times)) * s.Interval)
	default:
		s.At = now.Add(time.Duration(ahead+1) * s.Interval)
	}
	return s, true
}
