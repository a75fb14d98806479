package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyroute.example/core"
)

// GroupProgress tells what one gate, or several together, have seen of a group.
type GroupProgress struct {
	// Idle is the time since the last event from the group.
	Idle time.Duration
	// Waiting is the number of streams that wait for their next event.
	Waiting int
}

// maxProgressAge is the time without an event after which a group is no longer
// reported to other gates.
const maxProgressAge = 5 * time.Second

// StreamProgress records the events of one stream at a rank. It does nothing at
// other upstreams. One goroutine uses it.
type StreamProgress struct {
	fleet   *Fleet
	group   *groupState
	name    string
	started bool
}

// BeginStream returns the progress of a stream that has been sent to the upstream.
func (f *Fleet) BeginStream(u *Upstream) *StreamProgress {
	name := u.Entry().Group.Name
	return &StreamProgress{fleet: f, group: f.group(name), name: name}
}

// Event records an event of the stream.
func (p *StreamProgress) Event(now time.Time) {
	if p.group == nil {
		return
	}
	if !p.started {
		p.started = true
		p.group.waiting.Add(1)
		// The first event of a stream ends a trial without delay; those that follow
		// are found by CheckGroups.
		p.fleet.observeGroupEvent(p.name, p.group, now, now, "event")
	}
	p.group.lastEvent.Store(int64(now.Sub(processStart)))
}

// End records that no more events of the stream are expected.
func (p *StreamProgress) End() {
	if p.group != nil && p.started {
		p.group.waiting.Add(-1)
		p.started = false
	}
}

// observeGroupEvent records an event at the given time.
func (f *Fleet) observeGroupEvent(name string, g *groupState, now, at time.Time, source string) {
	f.groups.mu.Lock()
	defer f.groups.mu.Unlock()
	since := g.standstill.Since()
	if g.standstill.ObserveEvent(at) {
		// group_open is the event of a group that runs again.
		f.DecisionLog.Log("group_open", "group", name, "epoch", g.standstill.Epoch(), "down_for", now.Sub(since), "source", source)
	}
}

// LocalProgress returns what this gate has seen of its groups, by the hash of the
// group's name.
func (f *Fleet) LocalProgress() map[uint64]GroupProgress {
	now := time.Now()
	f.groups.mu.Lock()
	defer f.groups.mu.Unlock()
	progress := map[uint64]GroupProgress{}
	for name, g := range f.groups.byName {
		last := g.lastEvent.Load()
		if idle := now.Sub(processStart) - time.Duration(last); last != 0 && idle < maxProgressAge {
			progress[xxhash.Sum64String(name)] = GroupProgress{Idle: idle, Waiting: int(g.waiting.Load())}
		}
	}
	return progress
}

// CheckGroups finds the groups that have come to a standstill, or run again, from
// the events of this gate and from what the other gates have seen, by the hash of
// the group's name. Only the control goroutine may call it.
func (f *Fleet) CheckGroups(now time.Time, remote map[uint64]GroupProgress) {
	listed := map[string]*core.ListedUpstream{}
	for _, u := range f.upstreams {
		entry := u.Entry()
		name := entry.Group.Name
		if other := listed[name]; name != "" && (other == nil || entry.Group.Epoch > other.Group.Epoch) {
			listed[name] = entry
		}
	}
	for name, entry := range listed {
		g := f.group(name)
		other := remote[xxhash.Sum64String(name)]
		if last := g.lastEvent.Load(); last != 0 {
			f.observeGroupEvent(name, g, now, processStart.Add(time.Duration(last)), "event")
		}
		if other != (GroupProgress{}) {
			f.observeGroupEvent(name, g, now, now.Add(-other.Idle), "peer")
		}
		waiting := int(g.waiting.Load())
		f.groups.mu.Lock()
		if g.standstill.Check(now, entry.Group.Epoch, waiting+other.Waiting, f.meanGap(now, entry.Pool)) {
			f.DecisionLog.Log("group_down", "group", name, "epoch", entry.Group.Epoch, "source", "no_events", "idle", g.standstill.Idle(now), "waiting", waiting, "waiting_elsewhere", other.Waiting)
		}
		f.groups.mu.Unlock()
	}
	f.groups.mu.Lock()
	defer f.groups.mu.Unlock()
	for name, g := range f.groups.byName {
		if listed[name] == nil && g.waiting.Load() == 0 {
			delete(f.groups.byName, name)
		}
	}
}
