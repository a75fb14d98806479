// Package cache passes an engine's prefix-cache events on to the entries that
// talk to the agent. The events are hints: an entry that misses some sees a gap
// in the sequence and drops what it believed.
package cache

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/wire"
)

const (
	// period is the time between reads of the engine's events.
	pollInterval = 250 * time.Millisecond
	// kept is the number of events kept for entries that lag.
	maxEvents = 4096
	// batch is the greatest number of events in one frame.
	maxBatchSize = 64
	// forget is the time after which an entry that no longer asks is forgotten.
	cursorTTL = time.Minute
)

// Feed reads the events of one engine. Exported fields are set before use; its
// methods are safe for concurrent use.
type Feed struct {
	Engine core.Engine
	Clock  core.Clock

	mu      sync.Mutex
	epoch   uint64
	events  []*wire.CacheEvent
	cursors map[string]cursor
}

// cursor is what one entry has been sent.
type cursor struct {
	lastSent uint64
	lastUsed time.Time
}

// Run reads events until ctx ends or the upstream turns out to have none.
func (f *Feed) Run(ctx context.Context) {
	for f.Clock.Sleep(ctx, pollInterval) == nil {
		from, epoch := f.position()
		if epoch == 0 {
			continue
		}
		events, err := f.Engine.CacheEvents(ctx, from)
		if trace.IsNotImplemented(err) {
			return
		}
		if err == nil {
			f.addEvents(epoch, events)
		}
	}
}

func (f *Feed) position() (sequence, epoch uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.events); n > 0 {
		sequence = f.events[n-1].GetSequence()
	}
	return sequence, f.epoch
}

// add appends events that were read in an epoch.
func (f *Feed) addEvents(epoch uint64, events []core.CacheEvent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if epoch != f.epoch {
		return
	}
	for _, e := range events {
		f.events = append(f.events, &wire.CacheEvent{Sequence: e.Sequence, Prefix: e.PrefixHash, Evicted: e.Evicted})
	}
	if n := len(f.events) - maxEvents; n > 0 {
		f.events = append([]*wire.CacheEvent(nil), f.events[n:]...)
	}
}

// Restart tells that the engine has a new incarnation, whose cache is empty.
func (f *Feed) Reset(incarnation uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.epoch, f.events, f.cursors = incarnation, nil, nil
}

// Since returns the epoch and the next events for an entry. A nil Feed has
// none.
func (f *Feed) NextEvents(entry string) (epoch uint64, events []*wire.CacheEvent) {
	if f == nil {
		return 0, nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	if f.cursors == nil {
		f.cursors = map[string]cursor{}
	}
	c := f.cursors[entry]
	for len(events) < maxBatchSize {
		next := f.firstAfter(c.lastSent)
		if next == nil {
			break
		}
		events = append(events, next)
		c.lastSent = next.GetSequence()
	}
	c.lastUsed = now
	f.cursors[entry] = c
	for name, c := range f.cursors {
		if now.Sub(c.lastUsed) > cursorTTL {
			delete(f.cursors, name)
		}
	}
	return f.epoch, events
}

// after returns the first event kept with a sequence above last, or nil.
func (f *Feed) firstAfter(last uint64) *wire.CacheEvent {
	lo, hi := 0, len(f.events)
	for lo < hi {
		mid := (lo + hi) / 2
		if f.events[mid].GetSequence() > last {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	if lo == len(f.events) {
		return nil
	}
	return f.events[lo]
}
