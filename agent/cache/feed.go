// Package cache provides the prefix-cache events of an engine to the entries that
// use the agent. The events are hints: an entry that misses some detects a gap in
// the sequence numbers and drops the state that it has derived from earlier events.
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
	// pollInterval is the time between reads of the engine's events.
	pollInterval = 250 * time.Millisecond
	// maxEvents is the number of events that are kept for entries that lag behind.
	maxEvents = 4096
	// maxBatchSize is the maximum number of events in a frame.
	maxBatchSize = 64
	// cursorTTL is the time after its last use for which the cursor of an entry is
	// kept.
	cursorTTL = time.Minute
)

// Feed buffers the events of one engine. Exported fields must be set before use. Its
// methods are safe for concurrent use.
type Feed struct {
	Engine core.Engine
	Clock  core.Clock

	mu      sync.Mutex
	epoch   uint64 // incarnation of the engine; 0 if not known yet
	events  []*wire.CacheEvent
	cursors map[string]cursor
}

// cursor is the position of an entry in the events.
type cursor struct {
	lastSent uint64 // sequence number of the last event sent to the entry
	lastUsed time.Time
}

// Run reads events until ctx ends. It returns early if the engine does not support
// cache events.
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

// position returns the sequence number of the last event read and the epoch.
func (f *Feed) position() (sequence, epoch uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.events); n > 0 {
		sequence = f.events[n-1].GetSequence()
	}
	return sequence, f.epoch
}

// addEvents appends events that were read in the given epoch. It ignores events of
// an earlier epoch.
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

// Reset drops all events after a restart of the engine, whose cache is then empty.
func (f *Feed) Reset(incarnation uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.epoch, f.events, f.cursors = incarnation, nil, nil
}

// NextEvents returns the epoch and the next events for an entry. A nil Feed has no
// events.
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

// firstAfter returns the first event with a sequence number above last, or nil.
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
