package ramp

import (
	"slices"
	"time"
)

const (
	// slowMultiple and coldMultiple are the multiples of the baseline service
	// time above which the limit is halved or reset to cold.
	slowMultiple = 2
	coldMultiple = 4
	// medianWindow is the number of service times of which the median is taken,
	// so that a single long prompt does not count as overload.
	medianWindow = 5
	// minServiceTime is the lower bound of service times, so that timer noise of
	// very fast upstreams does not count as overload.
	minServiceTime = 5 * time.Millisecond
	// baselineWeight is the weight of a new service time in the baseline.
	baselineWeight = 0.05
	// slowBaselineWeight is the weight of a slow service time in the baseline
	// while the limit is at ColdLimit.
	slowBaselineWeight = 0.01
)

// rampState is the state of the ramp. It is not safe for concurrent use.
type rampState struct {
	limit int
	// cleanCompletions counts completions without overload since the last change
	// of limit.
	cleanCompletions int
	baseline         time.Duration
	recent           []time.Duration
}

// resetToCold resets the limit to coldLimit. The baseline is kept: it was
// measured on a warm upstream, and a cold one must not count as warm.
func (s *rampState) resetToCold(coldLimit int) {
	s.limit = coldLimit
	s.cleanCompletions = 0
	s.recent = s.recent[:0]
}

// recordCompletion adjusts the limit to the service time of a completed request.
// It reports whether it has reduced the limit.
func (s *rampState) recordCompletion(slot *Slot, cfg Config) (cut bool) {
	serviceTime := max(slot.serviceTime, minServiceTime)
	s.recent = append(s.recent, serviceTime)
	if len(s.recent) > medianWindow {
		s.recent = s.recent[1:]
	}
	if s.baseline == 0 {
		s.baseline = serviceTime
	}
	median := s.median()
	switch {
	case median > coldMultiple*s.baseline:
		s.resetToCold(cfg.ColdLimit)
		return true
	case median > slowMultiple*s.baseline:
		s.halveLimit(cfg.ColdLimit)
		return true
	}
	if serviceTime > slowMultiple*s.baseline {
		// A slow response does not let the limit grow. It changes the baseline
		// only at the cold limit, which cannot be reduced further: otherwise the
		// limit of a service that has become permanently slower would never grow
		// again.
		if s.limit <= cfg.ColdLimit {
			s.baseline += time.Duration(slowBaselineWeight * float64(serviceTime-s.baseline))
		}
		return false
	}
	s.baseline += time.Duration(baselineWeight * float64(serviceTime-s.baseline))
	if slot.halfFull {
		s.cleanCompletions++
	}
	if s.cleanCompletions >= cfg.CompletionsPerStep && s.limit < cfg.Limit {
		s.limit++
		s.cleanCompletions = 0
	}
	return false
}

// halveLimit halves the limit, but not below coldLimit. The recent service times
// are discarded, so that a burst of slow responses halves it only once.
func (s *rampState) halveLimit(coldLimit int) {
	s.limit = max(coldLimit, s.limit/2)
	s.cleanCompletions = 0
	s.recent = s.recent[:0]
}

// median returns the median of the recent service times, or zero if there are
// too few of them.
func (s *rampState) median() time.Duration {
	if len(s.recent) < medianWindow {
		return 0
	}
	sorted := slices.Clone(s.recent)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
