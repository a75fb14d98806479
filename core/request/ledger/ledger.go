// Package ledger records which non-idempotent attempts an agent has begun,
// completed, or promised never to begin (tombstones). The records are kept in
// memory only. An agent that restarts has a new incarnation, and the state of
// attempts that were addressed to the earlier incarnation is unknown to it.
package ledger

import (
	"sync"
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/core/wire"
)

// DefaultRetention is the time for which a completed attempt is kept after its
// outcome has been written to the store.
const DefaultRetention = 10 * time.Minute

// Ledger holds the attempts of one agent. It is safe for concurrent use. Exported
// fields are set before use.
type Ledger struct {
	Clock core.Clock
	// Incarnation is the current incarnation of the agent.
	Incarnation uint64
	// Retention is the time for which a completed attempt is kept; default
	// DefaultRetention.
	Retention time.Duration

	mu        sync.Mutex
	records   map[attemptID]*record
	lastSweep time.Time
}

type attemptID struct {
	key         string
	number      uint32
	incarnation uint64
}

type record struct {
	state      wire.AttemptState
	answer     *wire.Answer
	recordedAt time.Time // when the outcome was written to the store
}

// Begin records that the attempt is about to be sent to the upstream. It refuses
// an attempt that already has a record. An attempt that was addressed to an
// earlier incarnation is refused and becomes a tombstone: an entry sends each
// attempt only once, so the earlier incarnation has not received it.
func (l *Ledger) Begin(a *wire.Attempt) *core.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropExpired()
	if a.GetIncarnation() != l.Incarnation {
		l.set(a, &record{state: wire.AttemptState_ATTEMPT_STATE_TOMBSTONE})
		return core.NewRefusal(core.ReasonIncarnation, "the attempt was addressed to an earlier incarnation of the agent")
	}
	if r := l.records[idOf(a)]; r != nil {
		if r.state == wire.AttemptState_ATTEMPT_STATE_TOMBSTONE {
			return core.NewRefusal(core.ReasonTombstone, "the attempt was revoked before it arrived")
		}
		return &core.Refusal{Reason: core.ReasonClaimPending, Execution: core.ExecutionUnknown, Message: "the attempt has already begun"}
	}
	l.set(a, &record{state: wire.AttemptState_ATTEMPT_STATE_BEGUN})
	return nil
}

// UndoBegin reverts Begin for an attempt that is known not to have reached the
// upstream. The attempt becomes a tombstone.
func (l *Ledger) UndoBegin(a *wire.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set(a, &record{state: wire.AttemptState_ATTEMPT_STATE_TOMBSTONE})
}

// Complete records the outcome of an attempt that has begun. answer is nil if the
// upstream may or may not have run the attempt.
func (l *Ledger) Complete(a *wire.Attempt, answer *wire.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set(a, &record{state: wire.AttemptState_ATTEMPT_STATE_DONE, answer: answer})
}

// MarkRecorded records that the outcome has been written to the store, so that the
// attempt can be dropped after the retention.
func (l *Ledger) MarkRecorded(a *wire.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.records[idOf(a)]; r != nil {
		r.recordedAt = l.Clock.Now()
	}
}

// RecordRefusal records that a dispatch of the attempt was refused before Begin. It
// returns the resulting state, which is a tombstone unless the attempt has
// already begun or ended.
func (l *Ledger) RecordRefusal(a *wire.Attempt) (wire.AttemptState, *wire.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.records[idOf(a)]; r != nil {
		return r.state, r.answer
	}
	l.set(a, &record{state: wire.AttemptState_ATTEMPT_STATE_TOMBSTONE})
	return wire.AttemptState_ATTEMPT_STATE_TOMBSTONE, nil
}

// Query returns the state of an attempt and its answer, if there is one. The state
// is unknown if the attempt was addressed to an earlier incarnation and its
// dispatch has not arrived at this one.
func (l *Ledger) Query(a *wire.Attempt) (wire.AttemptState, *wire.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.query(a)
}

func (l *Ledger) query(a *wire.Attempt) (wire.AttemptState, *wire.Answer) {
	if r := l.records[idOf(a)]; r != nil {
		return r.state, r.answer
	}
	if a.GetIncarnation() != l.Incarnation {
		return wire.AttemptState_ATTEMPT_STATE_UNKNOWN, nil
	}
	return wire.AttemptState_ATTEMPT_STATE_ABSENT, nil
}

// Tombstone records that an absent attempt will never begin, and returns the
// resulting state. Tombstones are kept until the process ends, because the entry
// that owns the attempt may be paused for any length of time.
func (l *Ledger) Tombstone(a *wire.Attempt) (wire.AttemptState, *wire.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state, answer := l.query(a)
	if state == wire.AttemptState_ATTEMPT_STATE_ABSENT {
		state = wire.AttemptState_ATTEMPT_STATE_TOMBSTONE
		l.set(a, &record{state: state})
	}
	return state, answer
}

func (l *Ledger) set(a *wire.Attempt, r *record) {
	if l.records == nil {
		l.records = map[attemptID]*record{}
	}
	l.records[idOf(a)] = r
}

// dropExpired drops the attempts whose outcome has been in the store for longer
// than the retention. It does so at most once a minute.
func (l *Ledger) dropExpired() {
	now := l.Clock.Now()
	if now.Sub(l.lastSweep) < time.Minute {
		return
	}
	l.lastSweep = now
	retention := l.Retention
	if retention == 0 {
		retention = DefaultRetention
	}
	for id, r := range l.records {
		if !r.recordedAt.IsZero() && now.Sub(r.recordedAt) > retention {
			delete(l.records, id)
		}
	}
}

func idOf(a *wire.Attempt) attemptID {
	return attemptID{key: a.GetKey(), number: a.GetNumber(), incarnation: a.GetIncarnation()}
}
