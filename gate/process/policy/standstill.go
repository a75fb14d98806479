package policy

import (
	"time"
)

const (
	// minStandstill is the shortest time without any event after which a group of
	// ranks counts as standing. It is two to three of the longest gaps between
	// events that routes allow.
	minStandstill = 300 * time.Millisecond
	// standstillGaps times the mean gap between events is that time while forward
	// passes are long.
	standstillGaps = 4
	// minWaitingStreams is the number of streams that must wait for an event. A
	// single one may wait for a reason of its own.
	minWaitingStreams = 2
	// trialTimeout is how long a trial may wait for the first event. It covers the
	// reading of a long prompt with the experts unevenly placed.
	trialTimeout = time.Second
	// minTrialPause and maxTrialPause limit the time after a failed trial in which
	// there is no other. It doubles each time.
	minTrialPause = 500 * time.Millisecond
	maxTrialPause = 4 * time.Second
)

// GroupState tells whether a group of ranks gets requests.
type GroupState int

// States of a group.
const (
	// GroupRuns is the state of a group that runs forward passes, as far as is known.
	GroupRuns GroupState = iota
	// GroupStands is the state of a group that runs no passes and gets no requests.
	GroupStands
	// GroupOnTrial is the state of a group that may run again. It gets a few requests,
	// until one of them has had an event.
	GroupOnTrial
)

// Standstill decides whether a group of ranks gets requests. All ranks of a group
// run each forward pass together, so that one rank that is frozen, dead or cut off
// stops all of them, and each request that is sent to any of them is in vain: it
// takes a slot, may use up the request's attempts and reaches the rank after its
// caller has left.
//
// The group stands once no stream at it has had an event for several passes,
// although some wait for one. It runs again with the next event, of whatever gate.
// What a single rank says of itself is no evidence: a rank that is well answers
// also while another one keeps it waiting. Without streams, a group that has formed
// anew, or all of whose ranks answer, is put on trial.
//
// The zero value is a group that runs. It is not safe for concurrent use.
type Standstill struct {
	state GroupState
	// epoch is the group's epoch when it was found standing, and since the time.
	epoch uint64
	since time.Time
	// lastEvent is the time of the last event of any gate's stream.
	lastEvent time.Time
	// trialSince is when the trial began, trialPause the pause after the next
	// failure, and noTrialUntil the end of the present one.
	trialSince   time.Time
	trialPause   time.Duration
	noTrialUntil time.Time
}

// State returns whether the group gets requests.
func (s *Standstill) State() GroupState { return s.state }

// Epoch returns the epoch in which the group was found standing.
func (s *Standstill) Epoch() uint64 { return s.epoch }

// Since returns when the group was found standing.
func (s *Standstill) Since() time.Time { return s.since }

// Idle returns the time since the last event.
func (s *Standstill) Idle(now time.Time) time.Duration { return now.Sub(s.lastEvent) }

// ObserveEvent records an event of a stream at the group at the given time. It
// reports whether the group runs again by that.
func (s *Standstill) ObserveEvent(at time.Time) bool {
	if at.After(s.lastEvent) {
		s.lastEvent = at
	}
	if s.state == GroupRuns || !at.After(s.since) {
		return false
	}
	s.state, s.trialPause = GroupRuns, 0
	return true
}

// Check reports whether the group is found standing now. waiting is the number of
// streams, of all gates, that wait for their next event, and meanGap the mean time
// between two events of a stream.
func (s *Standstill) Check(now time.Time, epoch uint64, waiting int, meanGap time.Duration) bool {
	switch s.state {
	case GroupRuns:
		return waiting >= minWaitingStreams && now.Sub(s.lastEvent) > max(minStandstill, standstillGaps*meanGap) && s.Stop(now, epoch)
	case GroupOnTrial:
		if waiting > 0 || s.trialSince.IsZero() || now.Sub(s.trialSince) <= trialTimeout {
			return false
		}
		s.failTrial(now)
		return true
	case GroupStands:
	}
	return false
}

// Stop records that the list of upstreams says that the group is broken in the
// given epoch. It reports whether that is news.
func (s *Standstill) Stop(now time.Time, epoch uint64) bool {
	if s.state == GroupStands || s.state == GroupOnTrial && epoch <= s.epoch {
		return false
	}
	s.state, s.epoch, s.since = GroupStands, epoch, now
	return true
}

// Refuse records that a rank refused a request because of another rank, or that a
// stream was lost without any events. It reports whether the group stands by that
// and did not before.
func (s *Standstill) Refuse(now time.Time, epoch uint64) bool {
	if s.state == GroupOnTrial {
		s.failTrial(now)
		return true
	}
	return s.Stop(now, epoch)
}

func (s *Standstill) failTrial(now time.Time) {
	s.state, s.since = GroupStands, now
	s.trialPause = min(max(minTrialPause, 2*s.trialPause), maxTrialPause)
	s.noTrialUntil = now.Add(s.trialPause)
}

// BeginTrial puts a standing group on trial: it has formed anew in the given epoch,
// or all its ranks answer in the same one. It reports whether the trial begins.
func (s *Standstill) BeginTrial(now time.Time, epoch uint64) bool {
	if s.state != GroupStands || epoch < s.epoch || epoch == s.epoch && now.Before(s.noTrialUntil) {
		return false
	}
	s.state, s.epoch, s.trialSince = GroupOnTrial, epoch, time.Time{}
	return true
}

// RecordTrial records that a request was sent to a group on trial.
func (s *Standstill) RecordTrial(now time.Time) {
	if s.trialSince.IsZero() {
		s.trialSince = now
	}
}

// TrialShare returns the number of requests that one gate may have at a group on
// trial.
func TrialShare(ranks, gates int) int { return max(1, ranks/max(1, gates)) }
