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
			delete(k.objects, name)
			changed = append(changed, name)
		}
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
			delete(k.objects, o.Name)
		case !o.Deleted && (!ok || o.Version > known.Version):
			k.objects[o.Name] = o
		default:
			continue
		}
		changed = append(changed, o.Name)
	}
	return changed
}

// wire returns the state as a message.
func (k *kindState) wire() *wire.KindState {
	s := &wire.KindState{Kind: string(k.kind), Revision: k.head}
	for _, name := range slices.Sorted(maps.Keys(k.objects)) {
		o := k.objects[name]
		s.Objects = append(s.Objects, &wire.Object{Kind: string(o.Kind), Name: o.Name, Version: o.Version, Value: o.Value})
	}
	return s
}

// fromWire returns the objects of a message.
func fromWire(s *wire.KindState) []core.Object {
	list := make([]core.Object, 0, len(s.GetObjects()))
	for _, o := range s.GetObjects() {
		list = append(list, core.Object{
			Key: core.Key{Kind: core.Kind(s.GetKind()), Name: o.GetName()}, Version: o.GetVersion(), Value: o.GetValue(),
		})
	}
	return list
}
