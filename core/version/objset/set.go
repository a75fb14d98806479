package objset

import (
	"maps"
	"time"

	"parsleyroute.example/core"
)

// TombstoneRetention is the time for which tombstones are kept. It is longer than
// any expected network partition: if an outdated live object arrives after its
// tombstone has been pruned, a set that was not complete at a revision after the
// deletion accepts the object.
const TombstoneRetention = 24 * time.Hour

// Set is a monotone set of versioned objects. The zero value is empty. A Set
// is not safe for concurrent use.
type Set struct {
	view
	// writable marks the buckets that no snapshot shares.
	writable [BucketCount]bool
	// pruneCutoff is the cutoff time of the last Prune.
	pruneCutoff time.Time
	completions map[core.Kind]completion
}

// completion is the highest revision at which a set was complete for a kind, and
// the time at which this became known.
type completion struct {
	revision uint64
	knownAt  time.Time
}

// Apply adds obj if its version is higher than the known version of its key, and
// reports whether it did. It rejects expired tombstones of unknown keys, because
// otherwise two nodes that prune at different times would send each other the
// same expired tombstone again and again.
//
// If the version of a live object is not above the revision at which the set was
// complete, and the set does not hold the object as live, then it was deleted by
// that revision, although the set may never have received the tombstone. Apply
// then adds a tombstone at that revision instead of obj. Without this rule, a
// node that missed a deletion would restore the object on nodes that started
// after the deletion.
//
// The set retains obj.Value, which must not be modified afterwards.
func (s *Set) Apply(obj core.Object) bool {
	old, known := s.Get(obj.Key)
	if obj.Version <= old.Version {
		return false
	}
	if c := s.completions[obj.Kind]; !obj.Deleted && obj.Version <= c.revision && (!known || old.Deleted) {
		obj = core.Object{Key: obj.Key, Version: c.revision, Deleted: true, DeletedAt: c.knownAt}
	}
	if !known && obj.Deleted && obj.DeletedAt.Before(s.pruneCutoff) {
		return false
	}
	b := s.writableBucket(BucketIndex(obj.Key))
	var delta uint64
	if known {
		delta -= objectHash(&old)
	} else {
		s.count++
	}
	delta += objectHash(&obj)
	b.objects[obj.Key] = obj
	b.digest += delta
	s.digest += delta
	return true
}

// Prune removes the tombstones that were created more than TombstoneRetention
// before now, and returns their number.
func (s *Set) Prune(now time.Time) int {
	s.pruneCutoff = now.Add(-TombstoneRetention)
	removed := 0
	for i, b := range s.buckets {
		if b == nil {
			continue
		}
		for _, obj := range s.BucketObjects(i) {
			if !obj.Deleted || !obj.DeletedAt.Before(s.pruneCutoff) {
				continue
			}
			b = s.writableBucket(i)
			delete(b.objects, obj.Key)
			h := objectHash(&obj)
			b.digest -= h
			s.digest -= h
			s.count--
			removed++
		}
	}
	return removed
}

// Relist merges the complete list of the live objects of kinds at revision, and
// returns the objects that changed. A known live object of these kinds that is
// missing from the list becomes a tombstone at revision if its version is lower;
// an object with a higher version was written after the list was read and stays.
// Tombstones have the deletion time now, truncated to seconds. Afterwards the
// set is complete at revision.
func (s *Set) Relist(objects []core.Object, revision uint64, kinds []core.Kind, now time.Time) []core.Object {
	listed := make(map[core.Key]bool, len(objects))
	var changed []core.Object
	for _, obj := range objects {
		listed[obj.Key] = true
		if s.Apply(obj) {
			applied, _ := s.Get(obj.Key)
			changed = append(changed, applied)
		}
	}
	relisted := make(map[core.Kind]bool, len(kinds))
	for _, kind := range kinds {
		relisted[kind] = true
	}
	for _, obj := range s.Objects() {
		if !relisted[obj.Kind] || listed[obj.Key] || obj.Deleted {
			continue
		}
		tombstone := core.Object{Key: obj.Key, Version: revision, Deleted: true, DeletedAt: now.Truncate(time.Second)}
		if s.Apply(tombstone) {
			changed = append(changed, tombstone)
		}
	}
	s.MarkComplete(revision, kinds, now)
	return changed
}

// MarkComplete records that the set holds all objects of kinds that were live at
// revision, in their versions at that revision or later ones. This is the case
// after a relist, and after all objects of another complete set were applied.
func (s *Set) MarkComplete(revision uint64, kinds []core.Kind, now time.Time) {
	if s.completions == nil {
		s.completions = map[core.Kind]completion{}
	}
	for _, kind := range kinds {
		if revision > s.completions[kind].revision {
			s.completions[kind] = completion{revision: revision, knownAt: now.Truncate(time.Second)}
		}
	}
}

// Snapshot returns the current state.
func (s *Set) Snapshot() *Snapshot {
	s.writable = [BucketCount]bool{}
	return &Snapshot{view: s.view}
}

// writableBucket returns bucket i for writing, and copies it first if a snapshot
// shares it.
func (s *Set) writableBucket(i int) *bucket {
	switch b := s.buckets[i]; {
	case b == nil:
		s.buckets[i] = &bucket{objects: map[core.Key]core.Object{}}
	case !s.writable[i]:
		s.buckets[i] = &bucket{objects: maps.Clone(b.objects), digest: b.digest}
	}
	s.writable[i] = true
	return s.buckets[i]
}
