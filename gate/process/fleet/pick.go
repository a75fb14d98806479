package fleet

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"parsleyroute.example/core"
	"parsleyroute.example/gate/process/policy"
)

const (
	// failureWeight is the weight of the failure rate in the score. At 6, an
	// upstream that fails half of its requests counts as four times as loaded and
	// gets a quarter of the requests.
	failureWeight = 6
	// queuedPerSlot is the number of requests that may be queued at a plain
	// upstream for each of its slots.
	queuedPerSlot = 1
	// queuedPerEngine is the number of requests that may be queued at an engine,
	// so that the next forward pass fills a slot that has become free.
	queuedPerEngine = 3
	// slowThreshold is the slowdown from which a rank gets no requests, unless more
	// than maxSlowShare of the ranks are that slow.
	slowThreshold = 1.8
	maxSlowShare  = 0.5
	// zonePenalty is the cost of sending to another zone, in requests.
	zonePenalty = 0.4
	// defaultSlots is assumed for an upstream whose entry states no slots.
	defaultSlots = 8
)

// Picker selects the upstream of a request.
type Picker struct {
	Fleet *Fleet
	// Zone is the gate's own zone.
	Zone string
}

// Pick returns the upstream of the pool with the lowest score of load, failure
// rate and slowdown, or nil if none has free capacity. It skips excluded upstreams.
// It counts the request at the upstream, as Fleet.BeginRequest does.
func (p *Picker) Pick(now time.Time, pool *core.PoolConfig, excluded []*Upstream) *Upstream {
	upstreams := p.Fleet.Snapshot().Pools[pool.Name]
	for range upstreams {
		u := p.bestCandidate(now, pool, upstreams, excluded)
		if u == nil {
			return nil
		}
		if u.take(now, p.Fleet.coldQuota(pool)) {
			p.Fleet.BeginRequest(u)
			p.Fleet.recordTrial(now, u)
			return u
		}
		excluded = append(slices.Clip(excluded), u)
	}
	return nil
}

// bestCandidate returns the available upstream with the lowest score, or nil.
func (p *Picker) bestCandidate(now time.Time, pool *core.PoolConfig, upstreams, excluded []*Upstream) *Upstream {
	var best *Upstream
	bestScore := math.Inf(1)
	capacity := p.capacityFunc(now, pool, upstreams)
	cold := p.Fleet.coldQuota(pool)
	// A random start balances the choice between upstreams with equal scores.
	start := rand.IntN(max(1, len(upstreams)))
	for i := range upstreams {
		u := upstreams[(start+i)%len(upstreams)]
		if slices.Contains(excluded, u) || u.unavailable(now) || u.Load() >= capacity(u) || !p.Fleet.admitsRequests(u) || u.free(now, cold) == 0 {
			continue
		}
		score := (float64(u.Load()) + 1) * (1 + failureWeight*u.FailureRate(now)) * u.Slowdown()
		if u.Zone != p.Zone {
			score += zonePenalty
		}
		if score < bestScore {
			best, bestScore = u, score
		}
	}
	return best
}

// capacityFunc returns a function that computes the number of requests, running
// and queued, that an upstream of the pool may have at once.
func (p *Picker) capacityFunc(now time.Time, pool *core.PoolConfig, upstreams []*Upstream) func(*Upstream) int {
	if pool.Engine != nil {
		n := p.Fleet.maxSequences(now, pool, upstreams)
		slow := lo.CountBy(upstreams, func(u *Upstream) bool { return u.Slowdown() >= slowThreshold })
		avoidSlow := float64(slow) <= maxSlowShare*float64(len(upstreams))
		return func(u *Upstream) int {
			if avoidSlow && u.Slowdown() >= slowThreshold {
				// All ranks of a group wait for the slowest one. A prompt that is read
				// there makes the passes of all other requests longer.
				return 0
			}
			return max(1, int(float64(n)/u.Slowdown()))
		}
	}
	return func(u *Upstream) int {
		// Without an engine, the entry's MaxSequences is the number of requests
		// that the upstream runs at once.
		slots := u.Entry().MaxSequences
		if slots <= 0 {
			slots = defaultSlots
		}
		return slots * (1 + queuedPerSlot)
	}
}

// PoolState tells whether a pool accepts requests.
type PoolState int

// An upstream is available unless it was replaced, is in backoff after lost
// connections, belongs to a group that stands, leaves, or has asked for no requests for
// some time.
const (
	// PoolAvailable: at least one upstream has free capacity.
	PoolAvailable PoolState = iota
	// PoolLimited: limits hold requests back from each available upstream that has
	// free capacity.
	PoolLimited
	// PoolFull: no available upstream has free capacity.
	PoolFull
	// PoolPaused: no upstream is available, and one has asked for no requests for some
	// time.
	PoolPaused
	// PoolDown: no upstream is available.
	PoolDown
	// PoolLeaving: all upstreams leave.
	PoolLeaving
)

// PoolState returns whether the pool has an available upstream and, if so,
// whether one of them has free capacity that limits do not hold back.
func (p *Picker) PoolState(now time.Time, pool *core.PoolConfig) PoolState {
	upstreams := p.Fleet.Snapshot().Pools[pool.Name]
	if len(upstreams) == 0 {
		return PoolDown
	}
	state := PoolLeaving
	capacity := p.capacityFunc(now, pool, upstreams)
	cold := p.Fleet.coldQuota(pool)
	for _, u := range upstreams {
		if state = min(state, p.upstreamState(now, u, capacity, cold)); state == PoolAvailable {
			return state
		}
	}
	return state
}

// upstreamState returns the state of a pool that has only the given upstream.
func (p *Picker) upstreamState(now time.Time, u *Upstream, capacity func(*Upstream) int, cold policy.Quota) PoolState {
	switch {
	case u.leaving.Load():
		return PoolLeaving
	case u.broken(now) || !p.Fleet.admitsRequests(u):
		return PoolDown
	case u.paused(now):
		return PoolPaused
	case u.Load() >= capacity(u):
		return PoolFull
	case u.free(now, cold) > 0:
		return PoolAvailable
	}
	return PoolLimited
}
