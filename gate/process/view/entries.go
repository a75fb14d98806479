package view

import (
	"maps"
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
)

// massExpiryHold is how long upstreams stay in use if several entries, at least half of a
// pool, are removed together without an outage of the store. One between two calls may be
// the cause. The hold is shorter than the time after which an upstream that leaves must get
// no more requests.
const massExpiryHold = 1500 * time.Millisecond

// hold keeps an upstream in use after its entry was removed from the store.
type hold struct {
	entry *core.ListedUpstream
	until time.Time
}

// applyEntries updates the upstreams whose entries have changed. Those that are removed may
// come back for the time lapse.
func (v *View) applyEntries(now time.Time, changed []string, lapse time.Duration) {
	objects := v.kindStates[core.KindListedUpstream].objects
	entries := maps.Clone(v.current.Upstreams)
	removed := map[string]*core.ListedUpstream{}
	for _, id := range changed {
		o, ok := objects[id]
		if !ok {
			if entry := entries[id]; entry != nil && v.holds[id].entry == nil {
				removed[id] = entry
			}
			v.recordRemoval(id)
			continue
		}
		entry, err := v.Decoder.ListedUpstream(id, o.Value)
		if err == nil && v.lastEntries[id].hasLeft(entry, o.Version) {
			// A copy of the store still has the entry.
			meter.Event("entry_outdated")
			v.DecisionLog.Log("entry_outdated", "upstream", id, "sequence", entry.Sequence, "known", v.lastEntries[id].entry.Sequence, "removed", true)
			continue
		}
		delete(v.holds, id)
		if err != nil {
			meter.Event("entry_rejected")
			v.DecisionLog.Log("entry_rejected", "upstream", id, "revision", o.Version, "error", err)
			delete(entries, id)
			continue
		}
		if last, ok := v.lastEntries[id]; ok && last.entry.StartTime == entry.StartTime && entry.Sequence < last.entry.Sequence {
			// A write of the upstream reached the store after a later one.
			meter.Event("entry_outdated")
			v.DecisionLog.Log("entry_outdated", "upstream", id, "sequence", entry.Sequence, "known", last.entry.Sequence, "draining", entry.Draining)
			continue
		}
		v.recordEntry(id, entry)
		entries[id] = entry
	}
	for id, entry := range removed {
		if until := v.holdUntil(now, entry, removed, entries, lapse); until.After(now) {
			v.holds[id] = hold{entry: entry, until: until}
			v.DecisionLog.Log("upstream_lapsed", "upstream", id, "pool", entry.Pool, "hold", until.Sub(now))
			continue
		}
		delete(entries, id)
	}
	v.current.Upstreams = entries
}

// maxLastEntries is the maximum number of entries in View.lastEntries.
const maxLastEntries = 4096

func (v *View) recordEntry(id string, entry *core.ListedUpstream) {
	if len(v.lastEntries) >= maxLastEntries {
		clear(v.lastEntries)
	}
	v.lastEntries[id] = lastEntry{entry: entry}
}

// lastEntry is the latest entry of an upstream. removed is set once it was removed, in the
// given era of the store.
type lastEntry struct {
	entry   *core.ListedUpstream
	removed bool
	era     uint64
}

// recordRemoval records that the entry of an upstream was removed.
func (v *View) recordRemoval(id string) {
	if last, ok := v.lastEntries[id]; ok {
		last.removed, last.era = true, v.kindStates[core.KindListedUpstream].era()
		v.lastEntries[id] = last
	}
}

// hasLeft reports whether an entry of the given version is no later than one that was
// removed, and has come back with a copy of the store.
func (l lastEntry) hasLeft(entry *core.ListedUpstream, version uint64) bool {
	return l.removed && core.Era(version) > l.era && l.entry.StartTime == entry.StartTime && entry.Sequence <= l.entry.Sequence
}

// holdUntil returns the time until which an upstream stays in use after its entry
// was removed. The entry may have expired only because the upstream could not
// reach the store. The time is not after now if the upstream has really left.
func (v *View) holdUntil(now time.Time, entry *core.ListedUpstream, removed, entries map[string]*core.ListedUpstream, lapse time.Duration) time.Time {
	if entry.Draining {
		return now
	}
	if lapse > 0 {
		return now.Add(lapse)
	}
	poolSize, removedCount := 0, 0
	for id, other := range entries {
		if other.Pool != entry.Pool {
			continue
		}
		poolSize++
		if removed[id] != nil {
			removedCount++
		}
	}
	if removedCount > 1 && 2*removedCount >= poolSize {
		return now.Add(massExpiryHold)
	}
	return now
}

// expireHolds removes the upstreams whose hold has ended, and takes zones back.
func (v *View) expireHolds(now time.Time) {
	var expired []string
	for id, h := range v.holds {
		if now.After(h.until) {
			expired = append(expired, id)
		}
	}
	for zone, until := range v.zoneHolds {
		if now.After(until) {
			delete(v.zoneHolds, zone)
			v.applyZonesOut(now, nil, false)
			v.publish()
		}
	}
	if len(expired) == 0 {
		return
	}
	entries := maps.Clone(v.current.Upstreams)
	for _, id := range expired {
		delete(entries, id)
		delete(v.holds, id)
	}
	v.current.Upstreams = entries
	v.publish()
}
