package view

import (
	"maps"
	"slices"

	"parsleyroute.example/core"
	"parsleyroute.example/core/wire"
)

// kindState holds the objects of one kind as far as they are known.
type kindState struct {
	kind    core.Kind
	objects map[string]core.Object
	// head is the highest version that was applied, of objects or deletions:
	// all changes up to it are known.
	head uint64
	// synced is set once a complete state was applied.
	synced bool
	// deleted holds the versions of deletions by name; those up to forgotten
	// are not kept.
	deleted   map[string]uint64
	forgotten uint64
}

// keptDeletions bounds the deletions that are kept for peers.
const keptDeletions = 512

func (k *kindState) forget(name string, version uint64) {
	delete(k.objects, name)
	if len(k.deleted) >= keptDeletions {
		for _, v := range k.deleted {
			k.forgotten = max(k.forgotten, v)
		}
		clear(k.deleted)
	}
	if k.deleted == nil {
		k.deleted = map[string]uint64{}
	}
	k.deleted[name] = version
}

// replace applies a complete state as of the revision and returns the names
// that changed.
func (k *kindState) replace(objects []core.Object, revision uint64) []string {
	changed := k.merge(objects)
	listed := make(map[string]bool, len(objects))
	for _, o := range objects {
		listed[o.Name] = true
	}
	for name, o := range k.objects {
		if !listed[name] && o.Version <= revision {
			// When it was deleted is not known, only that it was by then.
			k.forget(name, revision)
			changed = append(changed, name)
		}
	}
	if !k.synced {
		k.forgotten = max(k.forgotten, revision)
	}
	k.synced = true
	return changed
}

// merge applies changes and returns the names that changed.
func (k *kindState) merge(objects []core.Object) []string {
	var changed []string
	for _, o := range objects {
		known, ok := k.objects[o.Name]
		k.head = max(k.head, o.Version)
		switch {
		case o.Deleted && ok && o.Version >= known.Version:
			k.forget(o.Name, o.Version)
		case !o.Deleted && (!ok || o.Version > known.Version):
			k.objects[o.Name] = o
		default:
			continue
		}
		changed = append(changed, o.Name)
	}
	return changed
}

// wire returns what a peer lacks that knows the kind up to a version.
func (k *kindState) wire(known uint64) *wire.KindState {
	s := &wire.KindState{Kind: string(k.kind), Revision: k.head, Complete: known < k.forgotten}
	for _, name := range slices.Sorted(maps.Keys(k.objects)) {
		if o := k.objects[name]; s.Complete || o.Version > known {
			s.Objects = append(s.Objects, &wire.Object{Name: o.Name, Version: o.Version, Value: o.Value})
		}
	}
	if s.Complete {
		return s
	}
	for name, version := range k.deleted {
		if _, ok := k.objects[name]; !ok && version > known {
			s.Objects = append(s.Objects, &wire.Object{Name: name, Version: version, Deleted: true})
		}
	}
	return s
}

// fromWire returns the objects of a message.
func fromWire(s *wire.KindState) []core.Object {
	list := make([]core.Object, 0, len(s.GetObjects()))
	for _, o := range s.GetObjects() {
		list = append(list, core.Object{
			Key: core.Key{Kind: core.Kind(s.GetKind()), Name: o.GetName()}, Version: o.GetVersion(), Value: o.GetValue(), Deleted: o.GetDeleted(),
		})
	}
	return list
}
