// Package ledger records which non-idempotent attempts an agent has begun,
// ended, or promised never to begin. It lives in memory: an agent that
// restarts has a new incarnation and answers unknown for attempts that were
// addressed to the earlier one.
package ledger

import (
	"sync"
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/core/wire"
)

// DefaultRetention is how long an ended attempt is kept once its outcome is in
// the store.
const DefaultRetention = 10 * time.Minute

// Ledger is safe for concurrent use. Exported fields are set before use.
type Ledger struct {
	Clock core.Clock
	// Incarnation is that of the agent.
	Incarnation uint64
	// Retention is DefaultRetention if zero.
	Retention time.Duration

	mu      sync.Mutex
	records map[id]*record
	swept   time.Time
}

type id struct {
	key         string
	number      uint32
	incarnation uint64
}

type record struct {
	state    wire.AttemptState
	answer   *wire.Answer
	recorded time.Time
}

// Begin records that the attempt is about to be sent to the upstream. It
// refuses an attempt that is already known. An attempt that was addressed to an
// earlier incarnation becomes a tombstone: an entry sends each attempt once, so
// the earlier incarnation has not got it.
func (l *Ledger) Begin(a *wire.Attempt) *core.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep()
	if a.GetIncarnation() != l.Incarnation {
		l.put(a, &record{state: wire.AttemptState_ATTEMPT_STATE_TOMBSTONE})
		return core.NewRefusal(core.ReasonIncarnation, "the attempt was addressed to an earlier incarnation of the agent")
	}
	if r := l.records[key(a)]; r != nil {
		if r.state == wire.AttemptState_ATTEMPT_STATE_TOMBSTONE {
			return core.NewRefusal(core.ReasonTombstone, "the attempt was given up before it arrived")
		}
		return &core.Refusal{Reason: core.ReasonClaimPending, Execution: core.ExecutionUnknown, Message: "the attempt was already begun"}
	}
	l.put(a, &record{state: wire.AttemptState_ATTEMPT_STATE_BEGUN})
	return nil
}

// Forget undoes Begin for an attempt that is known not to have reached the
// upstream. The attempt becomes a tombstone.
func (l *Ledger) Forget(a *wire.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.put(a, &record{state: wire.AttemptState_ATTEMPT_STATE_TOMBSTONE})
}

// Done records the outcome of a begun attempt.
func (l *Ledger) Done(a *wire.Attempt, answer *wire.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.put(a, &record{state: wire.AttemptState_ATTEMPT_STATE_DONE, answer: answer})
}

// Recorded tells that the outcome is in the store, so that the attempt can be
// dropped after the retention.
func (l *Ledger) Recorded(a *wire.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.records[key(a)]; r != nil {
		r.recorded = l.Clock.Now()
	}
}

// Refuse records that a dispatch of the attempt arrived and was refused before
// Begin. It returns the state after that: a tombstone, unless the attempt was
// already begun.
func (l *Ledger) Refuse(a *wire.Attempt) (wire.AttemptState, *wire.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.records[key(a)]; r != nil {
		return r.state, r.answer
	}
	l.put(a, &record{state: wire.AttemptState_ATTEMPT_STATE_TOMBSTONE})
	return wire.AttemptState_ATTEMPT_STATE_TOMBSTONE, nil
}

// Query returns the state of an attempt. It is unknown if the attempt was
// addressed to an earlier incarnation and its dispatch has not arrived here.
func (l *Ledger) Query(a *wire.Attempt) (wire.AttemptState, *wire.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.query(a)
}

func (l *Ledger) query(a *wire.Attempt) (wire.AttemptState, *wire.Answer) {
	if r := l.records[key(a)]; r != nil {
		return r.state, r.answer
	}
	if a.GetIncarnation() != l.Incarnation {
		return wire.AttemptState_ATTEMPT_STATE_UNKNOWN, nil
	}
	return wire.AttemptState_ATTEMPT_STATE_ABSENT, nil
}

// Tombstone records that an absent attempt will never be begun, and returns
// the attempt's state after that. Tombstones are kept as long as the process
// lives, because the entry that owns the attempt may be paused for any time.
func (l *Ledger) Tombstone(a *wire.Attempt) (wire.AttemptState, *wire.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state, answer := l.query(a)
	if state == wire.AttemptState_ATTEMPT_STATE_ABSENT {
		state = wire.AttemptState_ATTEMPT_STATE_TOMBSTONE
		l.put(a, &record{state: state})
	}
	return state, answer
}

func (l *Ledger) put(a *wire.Attempt, r *record) {
	if l.records == nil {
		l.records = map[id]*record{}
	}
	l.records[key(a)] = r
}

// sweep drops recorded outcomes past the retention, at most once a minute.
func (l *Ledger) sweep() {
	now := l.Clock.Now()
	if now.Sub(l.swept) < time.Minute {
		return
	}
	l.swept = now
	retention := l.Retention
	if retention == 0 {
		retention = DefaultRetention
	}
	for k, r := range l.records {
		if !r.recorded.IsZero() && now.Sub(r.recorded) > retention {
			delete(l.records, k)
		}
	}
}

func key(a *wire.Attempt) id {
	return id{key: a.GetKey(), number: a.GetNumber(), incarnation: a.GetIncarnation()}
}
