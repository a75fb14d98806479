package policy

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// minReturn is the shortest time after which a refused caller is asked to come
	// back. A slot becomes free within that time, and a group that has all its ranks
	// forms.
	minReturn = 600 * time.Millisecond
	// returnDivisor divides the time that a caller has left to give the longest time
	// after which it is asked to come back. Callers ignore longer ones.
	returnDivisor = 3
	// returnSpread is the fraction by which the times are spread, so that callers
	// that were refused together do not come back together.
	returnSpread = 0.2
	// calmAfter is the time without a refusal after which a shortage has ended.
	calmAfter = time.Second
)

// Shortage estimates when a pool serves a refused caller. It answers outages and
// overloads of unknown length. Without other knowledge, a shortage that has lasted
// for some time is expected to last as long again: a caller that is refused early
// comes back soon, and one that is refused in a long shortage is not sent back into
// it and does not lose its last try there.
//
// The zero value is ready to use. It is safe for concurrent use.
type Shortage struct {
	mu sync.Mutex
	// since is when the first refused request of the present shortage began to wait,
	// and last the time of the latest refusal.
	since, last time.Time
}

// Refuse records the refusal of a request that has waited for the given time, and
// returns the time after which its caller is to come back, given the time that the
// caller has left.
func (s *Shortage) Refuse(now time.Time, waited, left time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.last) > calmAfter {
		s.since = now.Add(-waited)
	}
	s.last = now
	expected := max(minReturn, now.Sub(s.since))
	spread := 1 + returnSpread*(2*rand.Float64()-1)
	return max(0, min(time.Duration(spread*float64(expected)), left/returnDivisor))
}

// ReturnSchedule gives callers that were refused because of limits the times at which
// they come back, one after the other at the rate that the limits allow, so that those
// refused first come back first and not all at once. The zero value is ready to use. It
// is safe for concurrent use.
type ReturnSchedule struct {
	mu sync.Mutex
	// last is the latest time that was given.
	last time.Time
}

// Next returns the time after which a refused caller is to come back. at is when its
// request could be sent if nobody else was refused, interval the time between two
// requests, and left the time that the caller has left.
func (s *ReturnSchedule) Next(now, at time.Time, interval, left time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next := s.last.Add(interval); next.After(at) {
		at = next
	}
	longest := max(0, left/returnDivisor)
	wait := max(at.Sub(now), minReturn)
	if wait > longest {
		// Callers that cannot wait for their turn come back as late as they can, and
		// do not move the turns of others.
		return time.Duration((1 - returnSpread*rand.Float64()) * float64(longest))
	}
	s.last = at
	return wait
}
