package ramp_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/clock"
	"parsleyroute.example/core/process/ramp"
	_ "parsleyroute.example/core/suite/seed"
)

const warmServiceTime = 20 * time.Millisecond

func newLimiter(cfg ramp.Config) (*ramp.Limiter, *clock.Manual) {
	c := clock.NewManual(time.Unix(1000, 0))
	limiter := &ramp.Limiter{Clock: c, Incarnation: 7}
	limiter.Configure(cfg)
	return limiter, c
}

// fill acquires slots until the limiter refuses one.
func fill(limiter *ramp.Limiter) []*ramp.Slot {
	var slots []*ramp.Slot
	for {
		s, refusal := limiter.Acquire("e")
		if refusal != nil {
			return slots
		}
		slots = append(slots, s)
	}
}

// runFullRounds repeatedly fills the limiter and completes all requests after
// serviceTime.
func runFullRounds(limiter *ramp.Limiter, c *clock.Manual, rounds int, serviceTime time.Duration) {
	for range rounds {
		slots := fill(limiter)
		c.Advance(serviceTime)
		for _, s := range slots {
			s.RecordFirstByte()
			s.Release(false)
		}
	}
}

// Guards against a limit that is exceeded, against a limiter that is not cold
// after its start or a reset, and against in-flight counts that do not return to
// zero, under random schedules.
func TestLimiterNeverExceedsItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := ramp.Config{
			Limit:              rapid.IntRange(1, 40).Draw(t, "limit"),
			ColdLimit:          rapid.IntRange(1, 4).Draw(t, "cold"),
			CompletionsPerStep: rapid.IntRange(1, 5).Draw(t, "step"),
		}
		limiter, c := newLimiter(cfg)
		var slots []*ramp.Slot
		for range rapid.IntRange(1, 200).Draw(t, "ops") {
			before := limiter.Load("")
			switch rapid.IntRange(0, 9).Draw(t, "op") {
			case 0, 1, 2, 3:
				s, refusal := limiter.Acquire(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "entry"))
				if refusal == nil {
					slots = append(slots, s)
				}
				// Acquire may reduce the limit because of a stalled request before
				// it decides.
				if limit := limiter.Load("").Limit; (refusal == nil) != (before.Inflight < limit) {
					t.Fatalf("in flight %d, limit %d, refusal %v", before.Inflight, limit, refusal)
				}
				if refusal != nil && refusal.Execution != core.NotExecuted {
					t.Fatalf("refusal before the request was sent has run %q", refusal.Execution)
				}
			case 4, 5, 6, 7:
				if len(slots) > 0 {
					s := slots[0]
					slots = slots[1:]
					s.RecordFirstByte()
					s.Release(rapid.IntRange(0, 9).Draw(t, "failed") == 0)
					s.Release(true) // a second release must not count
				}
			case 8:
				c.Advance(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			case 9:
				limiter.ResetToCold()
				if got := limiter.Load("").Limit; got > cfg.ColdLimit {
					t.Fatalf("limit %d after the reset, cold limit is %d", got, cfg.ColdLimit)
				}
			}
			if after := limiter.Load(""); after.Inflight > before.Inflight && after.Inflight > before.Limit {
				t.Fatalf("in flight %d above the limit %d", after.Inflight, before.Limit)
			}
		}
		for _, s := range slots {
			s.Release(false)
		}
		if got := limiter.Load("").Inflight; got != 0 {
			t.Fatalf("%d in flight at the end", got)
		}
	})
}

// Guards against a limit that grows without load: an upstream that completes
// single requests has not shown that it can process more at once.
func TestLimitGrowsOnlyUnderLoad(t *testing.T) {
	limiter, c := newLimiter(ramp.Config{Limit: 16, ColdLimit: 4, CompletionsPerStep: 2})
	for range 200 {
		s, _ := limiter.Acquire("e")
		c.Advance(warmServiceTime)
		s.RecordFirstByte()
		s.Release(false)
	}
	if got := limiter.Load("").Limit; got != 4 {
		t.Fatalf("limit %d after single requests, want 4", got)
	}
	runFullRounds(limiter, c, 20, warmServiceTime)
	if got := limiter.Load("").Limit; got != 16 {
		t.Fatalf("limit %d after full rounds, want 16", got)
	}
}

// Guards against an upstream that has become cold without a notice and keeps the
// limit of a warm one. Slow responses and missing responses must both reset it.
func TestSlowResponsesResetLimitToCold(t *testing.T) {
	limiter, c := newLimiter(ramp.Config{Limit: 16, ColdLimit: 2, CompletionsPerStep: 1})
	runFullRounds(limiter, c, 30, warmServiceTime)
	runFullRounds(limiter, c, 1, 10*warmServiceTime)
	if got := limiter.Load("").Limit; got != 2 {
		t.Fatalf("limit %d after slow responses, want 2", got)
	}
	runFullRounds(limiter, c, 60, warmServiceTime)
	slots := fill(limiter)
	slots[0].Release(false)
	c.Advance(5 * warmServiceTime)
	if s, refusal := limiter.Acquire("e"); refusal == nil {
		s.Release(false)
		t.Fatal("a request was admitted while 15 had waited for five times the usual service time")
	}
	if got := limiter.Load("").Limit; got != 2 {
		t.Fatalf("limit %d while responses are missing, want 2", got)
	}
}

// Guards against new requests to an upstream that is out of service, draining or
// not yet configured.
func TestLimiterRefusesWithoutLimit(t *testing.T) {
	limiter := &ramp.Limiter{Clock: clock.NewManual(time.Unix(1, 0))}
	expectRefusal := func(want core.Reason) {
		t.Helper()
		if _, r := limiter.Acquire("e"); r == nil || r.Reason != want {
			t.Fatalf("got %v, want %s", r, want)
		}
		if load := limiter.Load("e"); load.Limit != 0 || load.Credit != 0 {
			t.Fatalf("limit %d, credit %d, want none", load.Limit, load.Credit)
		}
	}
	expectRefusal(core.ReasonNotReady)
	limiter.Configure(ramp.Config{Limit: 4, ColdLimit: 2, Out: true})
	expectRefusal(core.ReasonUpstreamOut)
	limiter.Configure(ramp.Config{Limit: 4, ColdLimit: 2})
	s, refusal := limiter.Acquire("e")
	if refusal != nil {
		t.Fatal(refusal)
	}
	idle := limiter.Drain()
	expectRefusal(core.ReasonDraining)
	select {
	case <-idle:
		t.Fatal("idle with a request in flight")
	default:
	}
	s.Release(false)
	<-idle
}

// Guards against new requests to an upstream whose instance is listed as leaving,
// and against an upstream that still refuses requests when it is no longer listed
// as leaving.
func TestLimiterRefusesWhileLeaving(t *testing.T) {
	cfg := ramp.Config{Limit: 4, ColdLimit: 2, CompletionsPerStep: 1}
	limiter, _ := newLimiter(cfg)
	held, _ := limiter.Acquire("e")
	cfg.Leaving = true
	limiter.Configure(cfg)
	if _, refusal := limiter.Acquire("e"); refusal == nil || refusal.Reason != core.ReasonDraining || refusal.Execution != core.NotExecuted {
		t.Fatalf("refusal %v while leaving", refusal)
	}
	if load := limiter.Load("e"); !load.Draining || load.Credit != 0 || load.Limit != 0 || load.Inflight != 1 {
		t.Fatalf("load %+v while leaving", load)
	}
	held.Release(false)
	cfg.Leaving = false
	limiter.Configure(cfg)
	if slots := fill(limiter); len(slots) != 2 {
		t.Fatalf("%d requests admitted after leaving was reset", len(slots))
	}
}
