package objset_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"parsleyroute.example/core"
	_ "parsleyroute.example/core/suite/seed"
	"parsleyroute.example/core/version/objset"
)

var (
	baseTime = time.Unix(1_700_000_000, 0)
	kinds    = []core.Kind{core.KindTeam, core.KindRule}
)

// history is a sequence of writes to a store. Every write has its own revision.
type history []core.Object

// drawHistory draws up to 60 writes to up to 16 keys, some of them deletions.
func drawHistory(t *rapid.T) history {
	var h history
	live := map[core.Key]bool{}
	n := rapid.IntRange(1, 60).Draw(t, "writes")
	for v := uint64(1); v <= uint64(n); v++ {
		key := core.Key{
			Kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
			Name: fmt.Sprint("o", rapid.IntRange(0, 7).Draw(t, "name")),
		}
		obj := core.Object{Key: key, Version: v}
		if live[key] && rapid.Bool().Draw(t, "delete") {
			obj.Deleted, obj.DeletedAt = true, baseTime
		} else {
			obj.Value = fmt.Append(nil, v)
		}
		live[key] = !obj.Deleted
		h = append(h, obj)
	}
	return h
}

// liveAt returns the live objects at a revision.
func (h history) liveAt(revision uint64) []core.Object {
	latest := map[core.Key]core.Object{}
	for _, obj := range h {
		if obj.Version <= revision {
			latest[obj.Key] = obj
		}
	}
	live := slices.Collect(maps.Values(latest))
	return slices.DeleteFunc(live, func(obj core.Object) bool { return obj.Deleted })
}

// byKey returns the objects indexed by their keys.
func byKey(objects []core.Object) map[core.Key]core.Object {
	m := map[core.Key]core.Object{}
	for _, obj := range objects {
		m[obj.Key] = obj
	}
	return m
}

// Guards against a state or digest that depends on the order or on duplicates of
// messages.
func TestApplyIgnoresOrderAndDuplicates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		var a, b objset.Set
		for _, obj := range h {
			a.Apply(obj)
		}
		messages := append(append([]core.Object(nil), h...),
			rapid.SliceOfN(rapid.SampledFrom(h), 0, 20).Draw(t, "duplicates")...)
		for _, obj := range rapid.Permutation(messages).Draw(t, "order") {
			b.Apply(obj)
			b.Snapshot()
		}
		if a.Digest() != b.Digest() || a.BucketDigests() != b.BucketDigests() || a.Len() != b.Len() {
			t.Fatal("digests or lengths depend on the order or on duplicates")
		}
		want := byKey(a.Objects())
		for i := range objset.BucketCount {
			for _, obj := range b.BucketObjects(i) {
				if w := want[obj.Key]; w.Version != obj.Version || w.Deleted != obj.Deleted || string(w.Value) != string(obj.Value) {
					t.Fatalf("got %v, want %v", obj, w)
				}
			}
		}
	})
}

// Guards against objects that return to an older version, against deleted objects
// that become live again, and against relists from stale reads that remove newer
// objects.
func TestVersionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		lastRevision := uint64(len(h))
		final := byKey(h.liveAt(lastRevision))
		completeRevision := uint64(0)
		var s objset.Set
		steps := rapid.IntRange(1, 40).Draw(t, "steps")
		for range steps {
			before := s.Snapshot()
			objectsBefore := byKey(before.Objects())
			if rapid.Bool().Draw(t, "relist") {
				r := rapid.Uint64Range(0, lastRevision).Draw(t, "revision")
				s.Relist(h.liveAt(r), r, kinds, baseTime)
				completeRevision = max(completeRevision, r)
				for key, obj := range byKey(h.liveAt(r)) {
					if got, ok := s.Get(key); !ok || got.Version < obj.Version {
						t.Fatalf("%v is older than the listed version %d", got, obj.Version)
					}
				}
			} else {
				s.Apply(rapid.SampledFrom(h).Draw(t, "object"))
			}
			for key, obj := range objectsBefore {
				current, _ := s.Get(key)
				if current.Version < obj.Version {
					t.Fatalf("version of %v decreased from %d to %d", key, obj.Version, current.Version)
				}
				if obj.Deleted && !current.Deleted && current.Version <= obj.Version {
					t.Fatalf("deleted object %v is live again", key)
				}
				if previous, _ := before.Get(key); previous.Version != obj.Version {
					t.Fatal("snapshot changed after it was taken")
				}
			}
			// A relist must not remove objects that were written after its
			// revision, and objects deleted before it must not become live again.
			expected := byKey(h.liveAt(completeRevision))
			for _, obj := range s.Objects() {
				if !obj.Deleted && obj.Version <= completeRevision && expected[obj.Key].Version != obj.Version {
					t.Fatalf("%v is live although it was deleted by revision %d", obj, completeRevision)
				}
				if w, ok := final[obj.Key]; ok && obj.Deleted && obj.Version >= w.Version {
					t.Fatalf("tombstone %d hides live version %d", obj.Version, w.Version)
				}
			}
		}
		s.Relist(h.liveAt(lastRevision), lastRevision, kinds, baseTime)
		for _, obj := range s.Objects() {
			if w, ok := final[obj.Key]; ok == obj.Deleted || ok && w.Version != obj.Version {
				t.Fatalf("after a relist at the last revision: got %v, store has %v", obj, w)
			}
		}
	})
}

// Guards against a relist of some kinds that removes objects of other kinds.
func TestRelistKeepsOtherKinds(t *testing.T) {
	var s objset.Set
	other := core.Object{Key: core.Key{Kind: core.KindZone, Name: "z"}, Version: 1}
	s.Apply(other)
	if changed := s.Relist(nil, 9, kinds, baseTime); len(changed) != 0 || s.Version(other.Key) != 1 {
		t.Fatalf("relist of other kinds changed %v", changed)
	}
}

// Guards against digests that no longer match the contents, and against expired
// tombstones that nodes send to each other again and again.
func TestPrune(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		var s, live objset.Set
		for _, obj := range h {
			s.Apply(obj)
		}
		for _, obj := range h.liveAt(uint64(len(h))) {
			live.Apply(obj)
		}
		if s.Prune(baseTime.Add(objset.TombstoneRetention)) != 0 {
			t.Fatal("pruned a tombstone before its retention ended")
		}
		tombstones := s.Objects()
		s.Prune(baseTime.Add(objset.TombstoneRetention + time.Second))
		for _, obj := range tombstones {
			if s.Apply(obj) {
				t.Fatalf("applied %v after it was pruned", obj)
			}
		}
		if s.Digest() != live.Digest() || s.BucketDigests() != live.BucketDigests() || s.Len() != live.Len() {
			t.Fatal("digest differs from that of the live objects")
		}
	})
}

// shuffledObjects returns n objects with versions 1 to n in random order.
func shuffledObjects(n int) []core.Object {
	objs := make([]core.Object, n)
	for i := range objs {
		objs[i] = core.Object{
			Key:     core.Key{Kind: core.KindTeam, Name: fmt.Sprintf("team-%05d", i)},
			Version: uint64(i + 1),
			Value:   make([]byte, 200),
		}
	}
	rand.Shuffle(n, func(i, j int) { objs[i], objs[j] = objs[j], objs[i] })
	return objs
}

// BenchmarkSet measures operations on a set of 10,000 objects, the configuration
// of one node.
func BenchmarkSet(b *testing.B) {
	objs := shuffledObjects(10_000)
	var set objset.Set
	for _, obj := range objs {
		set.Apply(obj)
	}
	version := uint64(len(objs))
	for name, f := range map[string]func(i int){
		"Fill": func(int) {
			var s objset.Set
			for _, obj := range objs {
				s.Apply(obj)
			}
		},
		"ApplyAndSnapshot": func(i int) {
			version++
			obj := objs[i%len(objs)]
			obj.Version = version
			set.Apply(obj)
			set.Snapshot()
		},
		"Digests": func(int) { _, _ = set.Digest(), set.BucketDigests() },
		"Relist":  func(int) { set.Relist(objs, uint64(len(objs)), kinds, baseTime) },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				f(i)
			}
		})
	}
}
