package policy

import (
	"sync"
	"time"
)

const (
	// leaseHeartbeats is the number of heartbeat intervals without a write after which the
	// store removes an entry. The last write precedes an outage by up to one of them, so
	// that the store must be away for the others before an entry lapses.
	leaseHeartbeats = 3
	// heartbeatSpread is the fraction of an interval by which a write may be late.
	heartbeatSpread = 0.1
	// ReturnTime is how long after an outage of the store, or after it has come back from a
	// copy, the entries of running upstreams may still be missing. They are back within
	// about two seconds.
	ReturnTime = 2500 * time.Millisecond
)

// StoreOutage decides from the calls to the store whether entries that are removed may have
// lapsed in an outage. A single failed call, such as a watch that was cut off, is none. Its
// exported field is set before use. It is safe for concurrent use.
type StoreOutage struct {
	// Heartbeat is the interval at which upstreams write their entries.
	Heartbeat time.Duration

	mu sync.Mutex
	// lastSuccess is the time of the last response. awaySince is the earliest time at which
	// the store may have gone away, zero while no call has failed since the last response.
	lastSuccess, awaySince time.Time
	// end is the end of the last outage.
	end time.Time
}

// minAway is the shortest time away in which an entry may lapse.
func (o *StoreOutage) minAway() time.Duration {
	return time.Duration(float64(o.Heartbeat) * (leaseHeartbeats - 1 - heartbeatSpread))
}

// Success records a response of the store.
func (o *StoreOutage) Success(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.awaySince.IsZero() && now.Sub(o.awaySince) >= o.minAway() {
		o.end = now
	}
	o.lastSuccess, o.awaySince = now, time.Time{}
}

// Failure records a call that began at the given time and had no response.
func (o *StoreOutage) Failure(began time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.awaySince.IsZero() {
		o.awaySince = began
		if o.lastSuccess.After(began) {
			o.awaySince = o.lastSuccess
		}
	}
}

// Stop records that this gate makes no more calls for now, so that nothing will show the end
// of an outage. It may be called often.
func (o *StoreOutage) Stop(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.awaySince.IsZero() && now.Sub(o.awaySince) >= o.minAway() {
		o.end = now
	}
	o.awaySince = time.Time{}
}

// Learn records for how long entries may come back by what a peer states.
func (o *StoreOutage) Learn(now time.Time, lapse time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if end := now.Add(lapse - ReturnTime); lapse > 0 && end.After(o.end) {
		o.end = end
	}
}

// LapseTime returns for how long an entry that is removed now may still come back, because it
// may have lapsed in an outage, and zero if it has not.
func (o *StoreOutage) LapseTime(now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.awaySince.IsZero() && now.Sub(o.awaySince) >= o.minAway() {
		return ReturnTime
	}
	if o.end.IsZero() {
		return 0
	}
	return max(0, o.end.Add(ReturnTime).Sub(now))
}
