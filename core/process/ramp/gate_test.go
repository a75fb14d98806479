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

const warmService = 20 * time.Millisecond

func newGate(cfg ramp.Config) (*ramp.Limiter, *clock.Manual) {
	c := clock.NewManual(time.Unix(1000, 0))
	g := &ramp.Limiter{Clock: c, Incarnation: 7}
	g.Configure(cfg)
	return g, c
}

// fill acquires slots until the gate refuses.
func fill(g *ramp.Limiter) []*ramp.Slot {
	var slots []*ramp.Slot
	for {
		s, refusal := g.Acquire("e")
		if refusal != nil {
			return slots
		}
		slots = append(slots, s)
	}
}

// serve runs full rounds at the gate with the given service time.
func serve(g *ramp.Limiter, c *clock.Manual, rounds int, service time.Duration) {
	for range rounds {
		slots := fill(g)
		c.Advance(service)
		for _, s := range slots {
			s.RecordFirstByte()
			s.Release(false)
		}
	}
}

// Guards against a limit that is exceeded under any schedule, against a start
// that is not cold, and against counts that do not return to zero.
func TestGateNeverExceedsItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := ramp.Config{
			Limit:              rapid.IntRange(1, 40).Draw(t, "limit"),
			ColdLimit:          rapid.IntRange(1, 4).Draw(t, "cold"),
			CompletionsPerStep: rapid.IntRange(1, 5).Draw(t, "step"),
		}
		g, c := newGate(cfg)
		var slots []*ramp.Slot
		for range rapid.IntRange(1, 200).Draw(t, "ops") {
			before := g.Load("")
			switch rapid.IntRange(0, 9).Draw(t, "op") {
			case 0, 1, 2, 3:
				s, refusal := g.Acquire(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "entry"))
				if refusal == nil {
					slots = append(slots, s)
				}
				// A stall seen by Acquire may lower the limit before it decides.
				if limit := g.Load("").Limit; (refusal == nil) != (before.Inflight < limit) {
					t.Fatalf("in flight %d, limit %d, refusal %v", before.Inflight, limit, refusal)
				}
				if refusal != nil && refusal.Run != core.RunNo {
					t.Fatalf("refusal before the upstream says %q", refusal.Run)
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
				g.ResetToCold()
				if got := g.Load("").Limit; got > cfg.ColdLimit {
					t.Fatalf("limit %d after cooling, cold is %d", got, cfg.ColdLimit)
				}
			}
			if after := g.Load(""); after.Inflight > before.Inflight && after.Inflight > before.Limit {
				t.Fatalf("in flight %d above the limit %d", after.Inflight, before.Limit)
			}
		}
		for _, s := range slots {
			s.Release(false)
		}
		if got := g.Load("").Inflight; got != 0 {
			t.Fatalf("%d in flight at the end", got)
		}
	})
}

// Guards against a limit that grows without load: an upstream that answers
// single requests has not shown that it bears more.
func TestGateGrowsOnlyUnderLoad(t *testing.T) {
	g, c := newGate(ramp.Config{Limit: 16, ColdLimit: 4, CompletionsPerStep: 2})
	for range 200 {
		s, _ := g.Acquire("e")
		c.Advance(warmService)
		s.RecordFirstByte()
		s.Release(false)
	}
	if got := g.Load("").Limit; got != 4 {
		t.Fatalf("limit %d after single requests, want 4", got)
	}
	serve(g, c, 20, warmService)
	if got := g.Load("").Limit; got != 16 {
		t.Fatalf("limit %d after full rounds, want 16", got)
	}
}

// Guards against an upstream that turned cold without warning and keeps its
// warm limit: slow answers and answers that do not come must both show it.
func TestGateReturnsToCold(t *testing.T) {
	g, c := newGate(ramp.Config{Limit: 16, ColdLimit: 2, CompletionsPerStep: 1})
	serve(g, c, 30, warmService)
	serve(g, c, 1, 10*warmService)
	if got := g.Load("").Limit; got != 2 {
		t.Fatalf("limit %d after slow answers, want 2", got)
	}
	serve(g, c, 60, warmService)
	slots := fill(g)
	slots[0].Release(false)
	c.Advance(5 * warmService)
	if s, refusal := g.Acquire("e"); refusal == nil {
		s.Release(false)
		t.Fatal("a request was admitted while 15 waited five times the usual time")
	}
	if got := g.Load("").Limit; got != 2 {
		t.Fatalf("limit %d while answers do not come, want 2", got)
	}
}

// Guards against new work at an upstream that is out, draining, or not yet
// configured.
func TestGateRefusesWithoutLimit(t *testing.T) {
	g := &ramp.Limiter{Clock: clock.NewManual(time.Unix(1, 0))}
	expect := func(want core.Reason) {
		t.Helper()
		if _, r := g.Acquire("e"); r == nil || r.Reason != want {
			t.Fatalf("got %v, want %s", r, want)
		}
		if l := g.Load("e"); l.Limit != 0 || l.Credit != 0 {
			t.Fatalf("limit %d, credit %d, want none", l.Limit, l.Credit)
		}
	}
	expect(core.ReasonNotReady)
	g.Configure(ramp.Config{Limit: 4, ColdLimit: 2, Out: true})
	expect(core.ReasonUpstreamOut)
	g.Configure(ramp.Config{Limit: 4, ColdLimit: 2})
	s, refusal := g.Acquire("e")
	if refusal != nil {
		t.Fatal(refusal)
	}
	idle := g.Drain()
	expect(core.ReasonDraining)
	select {
	case <-idle:
		t.Fatal("idle with a request in flight")
	default:
	}
	s.Release(false)
	<-idle
}

// Guards against new work for an upstream whose instance is listed as leaving,
// and against an upstream that stays closed when the list takes that back.
func TestGateRefusesWhileLeaving(t *testing.T) {
	cfg := ramp.Config{Limit: 4, ColdLimit: 2, CompletionsPerStep: 1}
	g, _ := newGate(cfg)
	held, _ := g.Acquire("e")
	cfg.Leaving = true
	g.Configure(cfg)
	if _, refusal := g.Acquire("e"); refusal == nil || refusal.Reason != core.ReasonDraining || refusal.Run != core.RunNo {
		t.Fatalf("refusal %v while leaving", refusal)
	}
	if load := g.Load("e"); !load.Draining || load.Credit != 0 || load.Limit != 0 || load.Inflight != 1 {
		t.Fatalf("load %+v while leaving", load)
	}
	held.Release(false)
	cfg.Leaving = false
	g.Configure(cfg)
	if slots := fill(g); len(slots) != 2 {
		t.Fatalf("%d requests admitted after leaving was taken back", len(slots))
	}
}
