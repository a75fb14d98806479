package policy

import (
	"sync"
	"time"
)

const (
	// minSilence is the shortest time without an event after which a stream may
	// count as silent. Forward passes are a tenth of that.
	minSilence = 900 * time.Millisecond
	// silenceFactor times the mean time that streams of the pool wait for an event
	// is the time after which a stream counts as silent. The wait for a first event
	// is spread widely when ranks read many prompts at once.
	silenceFactor = 3
	// maxActivityAge is the age of a pool's last event up to which the pool counts
	// as active. The streams of an inactive pool all wait for the same reason.
	maxActivityAge = 300 * time.Millisecond
	// minUpstreamSilence is the shortest time after which an upstream that has not
	// been heard counts as silent. It is two to three of the longest gaps between
	// events that routes allow.
	minUpstreamSilence = 300 * time.Millisecond
	// firstWaitWeight is the weight of a new wait in the moving average.
	firstWaitWeight = 0.1
)

// Silence decides whether a stream without events is to be resumed on another
// upstream. It answers a connection or an upstream that has gone silent while the
// rest of its pool makes progress. It must not fire when many prompts are read at
// once, as after an outage: all first events are late then, and a stream that is
// sent again has to be read again, which makes the others even later.
//
// The zero value is ready to use. It is safe for concurrent use.
type Silence struct {
	mu        sync.Mutex
	lastEvent time.Time
	// firstWait is the moving average of the waits for first events.
	firstWait time.Duration
}

// ObserveEvent records that a stream of the pool had an event, after waiting for
// it for the given time. first is set for the first event of an attempt.
func (s *Silence) ObserveEvent(now time.Time, wait time.Duration, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastEvent = now
	if first {
		s.firstWait += time.Duration(firstWaitWeight * float64(wait-s.firstWait))
	}
}

// Silent reports whether a stream that has been waiting for its next event for the
// given time is to be resumed elsewhere. started is set if the attempt has had an
// event.
func (s *Silence) Silent(now time.Time, wait time.Duration, started bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastEvent) >= maxActivityAge {
		return false
	}
	limit := time.Duration(minSilence)
	if !started {
		limit = max(limit, silenceFactor*s.firstWait)
	}
	return wait > limit
}

// UpstreamSilent reports whether an upstream is to get no more requests, since
// requests wait at it and nothing has been heard from it for the given time. It
// answers an upstream whose machine is frozen or that is cut off: what is written to
// it meanwhile reaches it long after the callers have left. Leaving out an upstream
// that is only slow costs little, so the limit is short.
func (s *Silence) UpstreamSilent(wait time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wait > max(minUpstreamSilence, silenceFactor*s.firstWait)
}
