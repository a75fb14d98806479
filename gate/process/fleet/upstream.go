package fleet

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyroute.example/core"
	"parsleyroute.example/gate/conn/outlet"
	"parsleyroute.example/gate/process/policy"
)

// Outcome is the result of a request as evidence of the upstream's health.
type Outcome int

// Outcomes of one attempt at an upstream.
const (
	// Succeeded: the upstream's own response arrived and is no server error.
	Succeeded Outcome = iota
	// Failed: the response is a server error or invalid.
	Failed
	// ConnectionLost: the connection ended or stalled before the response was
	// complete.
	ConnectionLost
	// Unreachable: the connection could not be opened.
	Unreachable
	// Inconclusive: the result says nothing about the upstream's health.
	Inconclusive
)

const (
	// failureHalfLife is the age at which the weight of an outcome has halved.
	// Upstreams that fail usually do so for some seconds.
	failureHalfLife = 3 * time.Second
	// lossesBeforeBackoff is the number of consecutive lost connections after
	// which an upstream gets no requests for the backoff time. An unreachable
	// upstream gets none after the first failure.
	lossesBeforeBackoff = 2
	// minBackoff and maxBackoff limit the backoff time, which doubles each time.
	minBackoff = 400 * time.Millisecond
	maxBackoff = 3200 * time.Millisecond
)

// processStart has a monotonic clock reading. Times that are stored as durations
// are relative to it.
var processStart = time.Now()

// Upstream is one process that requests are sent to. A later process with the
// same ID is another Upstream. The exported fields are immutable.
type Upstream struct {
	ID string
	// StartTime distinguishes processes with the same ID. A later one has a higher
	// value.
	StartTime int64
	// Key is a hash of ID. It identifies the upstream in messages between gates.
	Key   uint64
	Conns *outlet.Pool
	Zone  string

	entry atomic.Pointer[core.ListedUpstream]
	// local counts this gate's requests in flight, remote those of other gates.
	local  atomic.Int64
	remote atomic.Int64

	// lastHeard is the time at which anything was last received from the upstream,
	// busySince the time since which this gate has requests in flight at it, both in
	// nanoseconds since processStart.
	lastHeard atomic.Int64
	busySince atomic.Int64
	// silent is set while this gate takes the upstream to be silent, remoteSilent
	// while another one does.
	silent       atomic.Bool
	remoteSilent atomic.Bool
	// slowdown holds the result of Slowdown as the bits of a float64.
	slowdown atomic.Uint64
	// replaced is set once another process has responded at the address.
	replaced atomic.Bool
	// leaving is set once the process has said that it leaves. pausedUntil is the end of
	// the time for which it wants no requests of this gate, in nanoseconds since
	// processStart.
	leaving     atomic.Bool
	pausedUntil atomic.Int64
	// backoffUntil is the end of the backoff after lost connections, in
	// nanoseconds since processStart, so that wall clock steps do not matter.
	backoffUntil atomic.Int64

	mu sync.Mutex
	// failures and total are exponentially decayed counts of failed and of all
	// outcomes as of decayedAt.
	failures, total   float64
	decayedAt         time.Time
	consecutiveLosses int
	backoff           time.Duration
	// The upstream is cold until coldUntil.
	coldUntil time.Time
	// limit is the limit that the upstream names, from the responses to all gates, and
	// ownLimit the same from the responses to this gate.
	limit, ownLimit policy.RateLimit
	// shares determines this gate's part of the quotas of the upstream, and sends holds
	// the times of its requests while there is a quota. limited is set while the limit
	// is one of them.
	shares  policy.ShareHistory
	sends   policy.SendLog
	limited bool
}

func newUpstream(entry *core.ListedUpstream, conns *outlet.Pool) *Upstream {
	u := &Upstream{ID: entry.ID, StartTime: entry.StartTime, Key: xxhash.Sum64String(entry.ID), Conns: conns, Zone: entry.Zone}
	u.entry.Store(entry)
	u.slowdown.Store(math.Float64bits(1))
	return u
}

// Slowdown returns the time that the upstream takes per token relative to a healthy
// one, or 1 if it is not known to be slow.
func (u *Upstream) Slowdown() float64 { return math.Float64frombits(u.slowdown.Load()) }

// Entry returns the latest entry of the upstream in the store.
func (u *Upstream) Entry() *core.ListedUpstream { return u.entry.Load() }

// Load returns the known number of requests in flight at the upstream.
func (u *Upstream) Load() int { return int(u.local.Load() + u.remote.Load()) }

// LocalLoad returns the number of this gate's requests in flight at the upstream.
func (u *Upstream) LocalLoad() int { return int(u.local.Load()) }

// LastHeard returns the time at which anything was last received from the upstream, or the
// given time if that is later.
func (u *Upstream) LastHeard(since time.Time) time.Time {
	if heard := processStart.Add(time.Duration(u.lastHeard.Load())); heard.After(since) {
		return heard
	}
	return since
}

// MarkReplaced records that another process has responded at the address of the
// upstream, which therefore gets no more requests.
func (u *Upstream) MarkReplaced() { u.replaced.Store(true) }

// observe updates the failure rate and the backoff with the outcome of a request.
func (u *Upstream) observe(now time.Time, o Outcome) {
	if o == Inconclusive {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.decay(now)
	u.total++
	switch o {
	case Succeeded:
		u.consecutiveLosses, u.backoff = 0, 0
		return
	case Failed:
		u.failures++
		u.consecutiveLosses = 0
		return
	}
	u.failures++
	if u.consecutiveLosses++; u.consecutiveLosses >= lossesBeforeBackoff || o == Unreachable {
		u.backoff = min(max(minBackoff, 2*u.backoff), maxBackoff)
		u.backoffUntil.Store(int64(now.Add(u.backoff).Sub(processStart)))
	}
}

// decay reduces the weight of the counted outcomes by their age.
func (u *Upstream) decay(now time.Time) {
	if !u.decayedAt.IsZero() {
		factor := math.Exp2(-now.Sub(u.decayedAt).Seconds() / failureHalfLife.Seconds())
		u.failures *= factor
		u.total *= factor
	}
	u.decayedAt = now
}

// priorOutcomes is the number of successful outcomes that are assumed in addition
// to the observed ones, so that few outcomes cannot yield a high failure rate.
const priorOutcomes = 3

// FailureRate returns the recent fraction of failed requests, in [0, 1].
func (u *Upstream) FailureRate(now time.Time) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.decay(now)
	return u.failures / (u.total + priorOutcomes)
}

// unavailable reports whether the upstream gets no requests because it was replaced, is in
// backoff after lost connections, is silent, leaves or has asked for none for some time.
func (u *Upstream) unavailable(now time.Time) bool {
	return u.leaving.Load() || u.paused(now) || u.broken(now)
}

// broken reports whether the upstream gets no requests because it was replaced, is in
// backoff after lost connections or is silent.
func (u *Upstream) broken(now time.Time) bool {
	return u.replaced.Load() || int64(now.Sub(processStart)) < u.backoffUntil.Load() || u.leftAlone(now)
}

// extendCold makes the upstream count as cold until the given time or longer.
func (u *Upstream) extendCold(until time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if until.After(u.coldUntil) {
		u.coldUntil = until
	}
}

// Cold reports whether the upstream is cold.
func (u *Upstream) Cold(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now.Before(u.coldUntil)
}
