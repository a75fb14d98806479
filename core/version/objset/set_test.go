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
	epoch = time.Unix(1_700_000_000, 0)
	kinds = []core.Kind{core.KindTeam, core.KindRule}
)

// history is a run of a store: every write has its own revision.
type history []core.Object

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
			obj.Deleted, obj.DeletedAt = true, epoch
		} else {
			obj.Value = fmt.Append(nil, v)
		}
		live[key] = !obj.Deleted
		h = append(h, obj)
	}
	return h
}

// at returns the live objects at a revision.
func (h history) at(revision uint64) []core.Object {
	last := map[core.Key]core.Object{}
	for _, obj := range h {
		if obj.Version <= revision {
			last[obj.Key] = obj
		}
	}
	live := slices.Collect(maps.Values(last))
	return slices.DeleteFunc(live, func(obj core.Object) bool { return obj.Deleted })
}

func state(objects []core.Object) map[core.Key]core.Object {
	m := map[core.Key]core.Object{}
	for _, obj := range objects {
		m[obj.Key] = obj
	}
	return m
}

// Guards against a state or digest that depends on the order or duplication
// of messages.
func TestOrderAndDuplicationDoNotMatter(t *testing.T) {
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
			t.Fatal("digests depend on the order")
		}
		want := state(a.Objects())
		for i := range objset.BucketCount {
			for _, obj := range b.BucketObjects(i) {
				if w := want[obj.Key]; w.Version != obj.Version || w.Deleted != obj.Deleted || string(w.Value) != string(obj.Value) {
					t.Fatalf("got %v, want %v", obj, w)
				}
			}
		}
	})
}

// Guards against reverts, against deleted objects that come back, and against
// relists from stale reads that remove something newer.
func TestVersionsNeverFall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		top := uint64(len(h))
		final := state(h.at(top))
		complete := uint64(0)
		var s objset.Set
		steps := rapid.IntRange(1, 40).Draw(t, "steps")
		for range steps {
			before := s.Snapshot()
			frozen := state(before.Objects())
			if rapid.Bool().Draw(t, "relist") {
				r := rapid.Uint64Range(0, top).Draw(t, "revision")
				s.Relist(h.at(r), r, kinds, epoch)
				complete = max(complete, r)
				for key, obj := range state(h.at(r)) {
					if got, ok := s.Get(key); !ok || got.Version < obj.Version {
						t.Fatalf("%v is below the listed version %d", got, obj.Version)
					}
				}
			} else {
				s.Apply(rapid.SampledFrom(h).Draw(t, "object"))
			}
			for key, obj := range frozen {
				now, _ := s.Get(key)
				if now.Version < obj.Version {
					t.Fatalf("%v fell from %d to %d", key, obj.Version, now.Version)
				}
				if obj.Deleted && !now.Deleted && now.Version <= obj.Version {
					t.Fatalf("%v came back", key)
				}
				if was, _ := before.Get(key); was.Version != obj.Version {
					t.Fatal("a snapshot has changed")
				}
			}
			// A relist never removes what was written after its revision, and
			// nothing deleted before it comes back.
			then := state(h.at(complete))
			for _, obj := range s.Objects() {
				if !obj.Deleted && obj.Version <= complete && then[obj.Key].Version != obj.Version {
					t.Fatalf("%v is live although it was deleted by %d", obj, complete)
				}
				if w, ok := final[obj.Key]; ok && obj.Deleted && obj.Version >= w.Version {
					t.Fatalf("tombstone %d hides live version %d", obj.Version, w.Version)
				}
			}
		}
		s.Relist(h.at(top), top, kinds, epoch)
		for _, obj := range s.Objects() {
			if w, ok := final[obj.Key]; ok == obj.Deleted || ok && w.Version != obj.Version {
				t.Fatalf("after a full relist: %v, store has %v", obj, w)
			}
		}
	})
}

// Guards against a relist of some kinds that removes objects of others.
func TestRelistLeavesOtherKinds(t *testing.T) {
	var s objset.Set
	other := core.Object{Key: core.Key{Kind: core.KindZone, Name: "z"}, Version: 1}
	s.Apply(other)
	if changed := s.Relist(nil, 9, kinds, epoch); len(changed) != 0 || s.Version(other.Key) != 1 {
		t.Fatalf("changed %v", changed)
	}
}

// Guards against digests that drift from the contents, and against expired
// tombstones that nodes hand back to each other.
func TestPrune(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		var s, live objset.Set
		for _, obj := range h {
			s.Apply(obj)
		}
		for _, obj := range h.at(uint64(len(h))) {
			live.Apply(obj)
		}
		if s.Prune(epoch.Add(objset.TombstoneRetention)) != 0 {
			t.Fatal("pruned a tombstone within the retention")
		}
		tombstones := s.Objects()
		s.Prune(epoch.Add(objset.TombstoneRetention + time.Second))
		for _, obj := range tombstones {
			if s.Apply(obj) {
				t.Fatalf("took %v after it was pruned", obj)
			}
		}
		if s.Digest() != live.Digest() || s.BucketDigests() != live.BucketDigests() || s.Len() != live.Len() {
			t.Fatal("digest differs from that of the live objects")
		}
	})
}

func objects(n int) []core.Object {
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

// Benchmark shows the cost of one node's configuration of 10,000 objects.
func Benchmark(b *testing.B) {
	objs := objects(10_000)
	var full objset.Set
	for _, obj := range objs {
		full.Apply(obj)
	}
	version := uint64(len(objs))
	for name, f := range map[string]func(i int){
		"Fill": func(int) {
			var s objset.Set
			for _, obj := range objs {
				s.Apply(obj)
			}
		},
		"TakeAndSnapshot": func(i int) {
			version++
			obj := objs[i%len(objs)]
			obj.Version = version
			full.Apply(obj)
			full.Snapshot()
		},
		"Digests": func(int) { _, _ = full.Digest(), full.BucketDigests() },
		"Relist":  func(int) { full.Relist(objs, uint64(len(objs)), kinds, epoch) },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				f(i)
			}
		})
	}
}
