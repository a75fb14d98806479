package objset

import (
	"maps"
	"time"

	"parsleyroute.example/core"
)

// TombstoneRetention is the time for which tombstones are kept. It is longer than any
// partition expected: a set that is not complete at a later revision would
// take a live object that arrives after its tombstone has been pruned.
const TombstoneRetention = 24 * time.Hour

// Set is a monotone set of versioned objects. The zero value is empty. A Set
// is not safe for concurrent use.
type Set struct {
	view
	// owned marks the buckets that no snapshot shares.
	owned [BucketCount]bool
	// horizon is the cut-off of the last Prune.
	horizon time.Time
	floors  map[core.Kind]floor
}

// floor is the revision at which a set was complete for a kind, and when that
// became known.
type floor struct {
	revision uint64
	at       time.Time
}

// Apply adds obj if its version is higher than the one known, and reports
// whether it did. Tombstones of unknown keys that would be pruned at once are
// not taken, because otherwise two nodes that prune at different times would
// hand an expired tombstone back and forth.
//
// A live object whose version is at or below the revision at which the set was
// complete, and which the set does not hold as a live object, had been deleted
// by then, although the set may never have seen the tombstone. A tombstone at
// that revision is taken in its place. Without this rule a node that missed a
// deletion would bring the object back on nodes that started after it.
//
// The set keeps obj.Value, which must not be changed afterwards.
func (s *Set) Apply(obj core.Object) bool {
	old, known := s.Get(obj.Key)
	if obj.Version <= old.Version {
		return false
	}
	if f := s.floors[obj.Kind]; !obj.Deleted && obj.Version <= f.revision && (!known || old.Deleted) {
		obj = core.Object{Key: obj.Key, Version: f.revision, Deleted: true, DeletedAt: f.at}
	}
	if !known && obj.Deleted && obj.DeletedAt.Before(s.horizon) {
		return false
	}
	b := s.own(BucketIndex(obj.Key))
	var delta uint64
	if known {
		delta -= objectHash(&old)
	} else {
		s.n++
	}
	delta += objectHash(&obj)
	b.objects[obj.Key] = obj
	b.digest += delta
	s.total += delta
	return true
}

// Prune removes the tombstones that were made more than Retention before now,
// and returns their number.
func (s *Set) Prune(now time.Time) int {
	s.horizon = now.Add(-TombstoneRetention)
	removed := 0
	for i, b := range s.buckets {
		if b == nil {
			continue
		}
		for _, obj := range s.BucketObjects(i) {
			if !obj.Deleted || !obj.DeletedAt.Before(s.horizon) {
				continue
			}
			b = s.own(i)
			delete(b.objects, obj.Key)
			h := objectHash(&obj)
			b.digest -= h
			s.total -= h
			s.n--
			removed++
		}
	}
	return removed
}

// Relist merges a list of the live objects of kinds, complete at revision, and
// returns what has changed. A known live object of these kinds that the list
// lacks becomes a tombstone at revision if its version is below it; one with a
// higher version was written after the list was read and stays. Tombstones are
// dated now, in whole seconds. The set is then complete at revision.
func (s *Set) Relist(objects []core.Object, revision uint64, kinds []core.Kind, now time.Time) []core.Object {
	listed := make(map[core.Key]bool, len(objects))
	var changed []core.Object
	for _, obj := range objects {
		listed[obj.Key] = true
		if s.Apply(obj) {
			taken, _ := s.Get(obj.Key)
			changed = append(changed, taken)
		}
	}
	selected := make(map[core.Kind]bool, len(kinds))
	for _, kind := range kinds {
		selected[kind] = true
	}
	for _, obj := range s.Objects() {
		if !selected[obj.Kind] || listed[obj.Key] || obj.Deleted {
			continue
		}
		gone := core.Object{Key: obj.Key, Version: revision, Deleted: true, DeletedAt: now.Truncate(time.Second)}
		if s.Apply(gone) {
			changed = append(changed, gone)
		}
	}
	s.MarkComplete(revision, kinds, now)
	return changed
}

// MarkComplete notes that the set holds, in their present versions or later ones,
// all objects of kinds that were live at revision. This is so after a relist,
// and after all objects of a set that is complete have been taken.
func (s *Set) MarkComplete(revision uint64, kinds []core.Kind, now time.Time) {
	if s.floors == nil {
		s.floors = map[core.Kind]floor{}
	}
	for _, kind := range kinds {
		if revision > s.floors[kind].revision {
			s.floors[kind] = floor{revision: revision, at: now.Truncate(time.Second)}
		}
	}
}

// Snapshot returns the present state.
func (s *Set) Snapshot() *Snapshot {
	s.owned = [BucketCount]bool{}
	return &Snapshot{view: s.view}
}

// own returns bucket i for writing and copies it first if a snapshot shares it.
func (s *Set) own(i int) *bucket {
	switch b := s.buckets[i]; {
	case b == nil:
		s.buckets[i] = &bucket{objects: map[core.Key]core.Object{}}
	case !s.owned[i]:
		s.buckets[i] = &bucket{objects: maps.Clone(b.objects), digest: b.digest}
	}
	s.owned[i] = true
	return s.buckets[i]
}
