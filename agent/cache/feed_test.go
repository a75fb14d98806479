package cache

import (
	"context"
	"testing"
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/clock"
)

// fakeEngine returns a fixed list of events; only CacheEvents is implemented.
type fakeEngine struct {
	core.Engine
	events []core.CacheEvent
}

func (e *fakeEngine) CacheEvents(_ context.Context, from uint64) ([]core.CacheEvent, error) {
	var out []core.CacheEvent
	for _, ev := range e.events {
		if ev.Sequence > from {
			out = append(out, ev)
		}
	}
	return out, nil
}

// Guards against sending events of an earlier engine process in the current epoch,
// and against entries that miss events without a gap in the sequence numbers.
func TestFeedSendsEachEntryAllEventsOfOneEpoch(t *testing.T) {
	e := &fakeEngine{}
	f := &Feed{Engine: e, Clock: clock.NewManual(time.Unix(1, 0))}
	f.Reset(7)
	for i := range 100 {
		e.events = append(e.events, core.CacheEvent{Sequence: uint64(i + 1), PrefixHash: uint64(i)})
	}
	events, _ := e.CacheEvents(context.Background(), 0)
	f.addEvents(7, events)
	next := uint64(1)
	for range 3 {
		epoch, got := f.NextEvents("entry")
		if epoch != 7 || len(got) > maxBatchSize {
			t.Fatalf("got epoch %d with %d events, want epoch 7 with at most 64", epoch, len(got))
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
	f.Reset(8)
	f.addEvents(7, events)
	if epoch, got := f.NextEvents("entry"); epoch != 8 || len(got) != 0 {
		t.Fatalf("got epoch %d with %d events after a restart, want epoch 8 without events", epoch, len(got))
	}
}
