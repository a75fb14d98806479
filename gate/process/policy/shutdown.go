package policy

import "time"

// Shutdown decides which requests a gate that shuts down still sends to upstreams.
type Shutdown struct {
	// EstimateUntil is the time up to which requests are accepted by an estimate of how
	// long their responses take. Those that are received later are sent only if they end
	// in time for certain.
	EstimateUntil time.Time
	// End is the time at which requests in flight are given up.
	End time.Time
}

// Sends reports whether a request is sent now that was received at the given time and gets
// its final response by its deadline. A request that may run only once must be able to use
// its whole time. Any other may be sent by the durations of its pool, since its caller would
// otherwise have to come back to another gate for nothing.
func (s Shutdown) Sends(now, received, deadline time.Time, repeatable bool, d *Durations) bool {
	if !deadline.After(s.End) {
		return true
	}
	return repeatable && received.Before(s.EstimateUntil) && d.EndsInTime(now, s.End)
}
