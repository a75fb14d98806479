package fleet

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyroute.example/core"
	"parsleyroute.example/gate/conn/outlet"
)

// Outcome is how a request ended at an upstream, as far as it tells of the
// upstream's health.
type Outcome int

// The outcomes.
const (
	// Sound is an answer of the upstream's own that is no server error.
	Sound Outcome = iota
	// Failed is a server error, or an answer that cannot be right.
	Failed
	// Lost is a connection that ended or went silent before the answer's end.
	Lost
	// Unreachable is a connection that could not be opened.
	Unreachable
	// Neutral says nothing of the upstream's health.
	Neutral
)

const (
	// failureHalfLife is the age at which an outcome counts half. Sick upstreams
	// stay so for some seconds.
	failureHalfLife = 3 * time.Second
	// lostInRow is the number of lost or unreachable connections in a row after
	// which an upstream gets no work for a while.
	lostInRow = 2
	// firstPause and longestPause bound that while; it doubles each time.
	firstPause   = 400 * time.Millisecond
	longestPause = 3200 * time.Millisecond
	// coldWindow is the time over which the requests to a cold upstream are
	// counted.
	coldWindow = time.Second
)

// started is a time with a monotonic reading.
var started = time.Now()

// Upstream is one incarnation of a back end. Its exported fields do not change.
type Upstream struct {
	ID   string
	Born int64
	// Key is the hash of ID that gates exchange.
	Key  uint64
	Conn *outlet.Pool
	Zone string

	peer atomic.Pointer[core.ListedUpstream]
	// own counts this gate's requests there, remote those of the others.
	own    atomic.Int64
	remote atomic.Int64

	// pace is the time that the upstream takes relative to a sound one, as the
	// bits of a float64.
	pace atomic.Uint64
	// gone is set once another upstream has answered at the address.
	gone atomic.Bool
	// until is when the upstream may get work again after lost connections, as
	// the time since started, which steps of the clock do not change.
	until atomic.Int64

	mu sync.Mutex
	// failures and total are decayed counts of outcomes as of at.
	failures, total float64
	at              time.Time
	inRow           int
	pause           time.Duration
	// coldUntil ends the time in which the upstream is cold; recent holds the
	// times of the requests in the last coldWindow.
	coldUntil time.Time
	recent    []time.Time
}

func newUpstream(p *core.ListedUpstream, conns *outlet.Pool) *Upstream {
	u := &Upstream{ID: p.ID, Born: p.StartTime, Key: xxhash.Sum64String(p.ID), Conn: conns, Zone: p.Zone}
	u.peer.Store(p)
	u.pace.Store(math.Float64bits(1))
	return u
}

// Pace returns the time that the upstream takes relative to a sound one, 1 if it
// is not known to be slow.
func (u *Upstream) Pace() float64 { return math.Float64frombits(u.pace.Load()) }

// Peer returns the upstream's last entry.
func (u *Upstream) Peer() *core.ListedUpstream { return u.peer.Load() }

// Load returns the number of requests at the upstream, as far as known.
func (u *Upstream) Load() int { return int(u.own.Load() + u.remote.Load()) }

// Own returns the number of this gate's requests at the upstream.
func (u *Upstream) Own() int { return int(u.own.Load()) }

// SetGone takes note that another upstream has answered at the address, so that
// this one gets no more work.
func (u *Upstream) SetGone() { u.gone.Store(true) }

// observe takes note of the outcome of a request.
func (u *Upstream) observe(now time.Time, o Outcome) {
	if o == Neutral {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.decay(now)
	u.total++
	switch o {
	case Sound:
		u.inRow, u.pause = 0, 0
		return
	case Failed:
		u.failures++
		u.inRow = 0
		return
	}
	u.failures++
	if u.inRow++; u.inRow >= lostInRow || o == Unreachable {
		u.pause = min(max(firstPause, 2*u.pause), longestPause)
		u.until.Store(int64(now.Add(u.pause).Sub(started)))
	}
}

func (u *Upstream) decay(now time.Time) {
	if !u.at.IsZero() {
		k := math.Exp2(-now.Sub(u.at).Seconds() / failureHalfLife.Seconds())
		u.failures *= k
		u.total *= k
	}
	u.at = now
}

// priorOutcomes is the weight of the assumption that an upstream is sound, in
// outcomes, until enough have been seen.
const priorOutcomes = 3

// FailureRate returns the recent share of requests that failed, in [0, 1].
func (u *Upstream) FailureRate(now time.Time) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.decay(now)
	return u.failures / (u.total + priorOutcomes)
}

// paused reports whether the upstream gets no work: it is gone, or connections
// to it were lost lately.
func (u *Upstream) paused(now time.Time) bool {
	return u.gone.Load() || int64(now.Sub(started)) < u.until.Load()
}

// setCold extends the time in which the upstream counts as cold.
func (u *Upstream) setCold(until time.Time) {
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

// admitCold counts a request to the upstream and reports whether it may be
// sent: while the upstream is cold, at most most are sent in coldWindow.
func (u *Upstream) admitCold(now time.Time, most int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !now.Before(u.coldUntil) {
		return true
	}
	live := u.recent[:0]
	for _, t := range u.recent {
		if now.Sub(t) < coldWindow {
			live = append(live, t)
		}
	}
	u.recent = live
	if len(u.recent) >= most {
		return false
	}
	u.recent = append(u.recent, now)
	return true
}
