package ledger_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/clock"
	"parsleyroute.example/core/request/ledger"
	_ "parsleyroute.example/core/suite/seed"
	"parsleyroute.example/core/wire"
)

// Guards against an attempt that runs twice, or that runs after a tombstone was
// returned for it, in any order of calls and across a restart of the agent.
func TestLedgerRunsAnAttemptAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clock.NewManual(time.Unix(1000, 0))
		l := &ledger.Ledger{Clock: c, Incarnation: 1}
		runs := map[uint32]int{}
		promised := map[uint32]bool{}
		recorded := map[uint32]bool{}
		for range rapid.IntRange(1, 100).Draw(t, "ops") {
			n := uint32(rapid.IntRange(1, 3).Draw(t, "attempt"))
			a := &wire.Attempt{RequestId: "r", Key: "k", Number: n, Incarnation: 1}
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0, 1:
				// The owner of an attempt sends it once. A second send simulates
				// a duplicate that arrives before the outcome is recorded.
				if !recorded[n] && l.Begin(a) == nil {
					runs[n]++
				}
			case 2:
				if state, _ := l.Tombstone(a); state == wire.AttemptState_ATTEMPT_STATE_TOMBSTONE {
					promised[n] = true
					if runs[n] > 0 && !recorded[n] {
						t.Fatalf("tombstone for attempt %d, which ran", n)
					}
				}
			case 3:
				if state, _ := l.Query(a); state == wire.AttemptState_ATTEMPT_STATE_BEGUN {
					l.Complete(a, &wire.Answer{Status: 200})
				}
			case 4:
				if state, _ := l.Query(a); state == wire.AttemptState_ATTEMPT_STATE_DONE {
					l.MarkRecorded(a)
					recorded[n] = true
				}
			case 5:
				c.Advance(time.Duration(rapid.IntRange(0, 20).Draw(t, "minutes")) * time.Minute)
			}
			if runs[n] > 1 {
				t.Fatalf("attempt %d ran %d times", n, runs[n])
			}
			if promised[n] && !recorded[n] && runs[n] > 0 {
				t.Fatalf("attempt %d ran after its tombstone", n)
			}
		}
		restarted := &ledger.Ledger{Clock: c, Incarnation: 2}
		old := &wire.Attempt{RequestId: "r", Key: "k", Number: 1, Incarnation: 1}
		if state, _ := restarted.Tombstone(old); state != wire.AttemptState_ATTEMPT_STATE_UNKNOWN {
			t.Fatalf("a restarted agent reports %s for an old attempt", state)
		}
		// The only dispatch of the attempt arrives here, so it has not run.
		if r := restarted.Begin(old); r == nil || r.Execution != core.NotExecuted {
			t.Fatalf("a restarted agent did not refuse an old attempt with run: no: %v", r)
		}
		if state, _ := restarted.Tombstone(old); state != wire.AttemptState_ATTEMPT_STATE_TOMBSTONE {
			t.Fatalf("state after a refused dispatch is %s", state)
		}
	})
}
