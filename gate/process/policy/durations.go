package policy

import (
	"sync"
	"time"
)

const (
	// durationWindow is the time for which durations are kept, once to twice as long.
	durationWindow = time.Minute
	// minDurations is the number of complete responses from which their longest duration
	// says how long another one takes.
	minDurations = 20
	// durationFactor times the longest duration, and durationMargin more, is the time in
	// which a response is expected to be complete.
	durationFactor = 1.25
	durationMargin = 250 * time.Millisecond
)

// Durations estimates how long the responses of a pool take. The zero value is ready to
// use. It is safe for concurrent use.
type Durations struct {
	mu sync.Mutex
	// current began at since, and former is the window before.
	current, former durationStats
	since           time.Time
}

type durationStats struct {
	complete int
	longest  time.Duration
}

func (d *Durations) advance(now time.Time) {
	switch age := now.Sub(d.since); {
	case age < durationWindow:
	case age < 2*durationWindow:
		d.former, d.current, d.since = d.current, durationStats{}, d.since.Add(durationWindow)
	default:
		d.former, d.current, d.since = durationStats{}, durationStats{}, now
	}
}

// Observe records that a response took the given time from when its request was sent. One
// that is not complete would have taken longer.
func (d *Durations) Observe(now time.Time, took time.Duration, complete bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
	d.current.longest = max(d.current.longest, took)
	if complete {
		d.current.complete++
	}
}

// Expected returns the time in which a response is expected to be complete. It returns
// false if too few are known.
func (d *Durations) Expected(now time.Time) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
	longest := max(d.current.longest, d.former.longest)
	return time.Duration(durationFactor*float64(longest)) + durationMargin, d.current.complete+d.former.complete >= minDurations
}

// EndsInTime reports whether a request that is sent now can be expected to have its whole
// response by the given time, although its own deadline may be later.
func (d *Durations) EndsInTime(now, until time.Time) bool {
	expected, ok := d.Expected(now)
	return ok && !now.Add(expected).After(until)
}
