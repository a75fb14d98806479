package cache

import (
	"context"
	"testing"
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/clock"
)

// engine serves events to Run; only CacheEvents is used.
type engine struct {
	core.Engine
	events []core.CacheEvent
}

func (e *engine) CacheEvents(_ context.Context, from uint64) ([]core.CacheEvent, error) {
	var out []core.CacheEvent
	for _, ev := range e.events {
		if ev.Sequence > from {
			out = append(out, ev)
		}
	}
	return out, nil
}

// Guards against events of an earlier engine process that pass for those of
// the present one, and against entries that miss events without a gap.
func TestFeedSendsEachEntryAllEventsOfOneEpoch(t *testing.T) {
	e := &engine{}
	f := &Feed{Engine: e, Clock: clock.NewManual(time.Unix(1, 0))}
	f.Restart(7)
	for i := range 100 {
		e.events = append(e.events, core.CacheEvent{Sequence: uint64(i + 1), PrefixHash: uint64(i)})
	}
	events, _ := e.CacheEvents(context.Background(), 0)
	f.add(7, events)
	next := uint64(1)
	for range 3 {
		epoch, got := f.Since("entry")
		if epoch != 7 || len(got) > batch {
			t.Fatalf("epoch %d, %d events", epoch, len(got))
		}
		for _, ev := range got {
			if ev.GetSequence() != next {
				t.Fatalf("got event %d, want %d", ev.GetSequence(), next)
			}
			next++
		}
	}
	if next != 101 {
		t.Fatalf("got events up to %d, want 100", next-1)
	}
	f.Restart(8)
	f.add(7, events)
	if epoch, got := f.Since("entry"); epoch != 8 || len(got) != 0 {
		t.Fatalf("epoch %d with %d events after a restart", epoch, len(got))
	}
}
