package ramp

import (
	"slices"
	"time"
)

const (
	// slowFactor and coldFactor are multiples of the baseline service time.
	slowFactor = 2
	coldFactor = 4
	// window is the number of service times of which the median is taken, so
	// that one long prompt does not count as overload.
	window = 5
	// minService keeps timer noise of very fast upstreams from counting as
	// overload.
	minService = 5 * time.Millisecond
	// baselineGain is the weight of a new service time in the baseline.
	baselineGain = 0.05
	// coldGain is the weight of a slow service time at the cold limit.
	coldGain = 0.01
)

// warmth is the state of the ramp. It is not safe for concurrent use.
type warmth struct {
	limit int
	// clean counts completions at the current limit without overload.
	clean    int
	baseline time.Duration
	recent   []time.Duration
}

// cool returns the limit to cold. The baseline is kept: it was measured on a
// warm upstream, and a cold one must not pass for it.
func (s *warmth) cool(cold int) {
	s.limit = cold
	s.clean = 0
	s.recent = s.recent[:0]
}

// completed takes the service time of one answer and adjusts the limit.
func (s *warmth) completed(slot *Slot, cfg Config) (cut bool) {
	service := max(slot.service, minService)
	s.recent = append(s.recent, service)
	if len(s.recent) > window {
		s.recent = s.recent[1:]
	}
	if s.baseline == 0 {
		s.baseline = service
	}
	typical := s.median()
	switch {
	case typical > coldFactor*s.baseline:
		s.cool(cfg.ColdLimit)
		return true
	case typical > slowFactor*s.baseline:
		s.overloaded(cfg.ColdLimit)
		return true
	}
	if service > slowFactor*s.baseline {
		// A slow answer shows no room for more. It moves the baseline only
		// at the cold limit, where nothing is left to cut: otherwise a service
		// that has become slower for good would never be warm again.
		if s.limit <= cfg.ColdLimit {
			s.baseline += time.Duration(coldGain * float64(service-s.baseline))
		}
		return false
	}
	s.baseline += time.Duration(baselineGain * float64(service-s.baseline))
	if slot.atLimit {
		s.clean++
	}
	if s.clean >= cfg.CompletionsPerStep && s.limit < cfg.Limit {
		s.limit++
		s.clean = 0
	}
	return false
}

// overloaded cuts the limit by half. The recent service times are dropped, so
// that one burst of slow answers causes one cut.
func (s *warmth) overloaded(cold int) {
	s.limit = max(cold, s.limit/2)
	s.clean = 0
	s.recent = s.recent[:0]
}

// median returns the median of the recent service times, or zero if there are
// too few of them.
func (s *warmth) median() time.Duration {
	if len(s.recent) < window {
		return 0
	}
	sorted := slices.Clone(s.recent)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
