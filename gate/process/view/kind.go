package view

import (
	"maps"
	"math"
	"slices"

	"parsleyroute.example/core"
	"parsleyroute.example/core/wire"
)

// kindState holds the known objects of one kind.
type kindState struct {
	kind    core.Kind
	objects map[string]core.Object
	// revision is the highest version of a received object or change, or a higher
	// revision that a peer has sent or that a complete list with a deletion has. All
	// changes up to it are known, so objects of a list that are newer than the list do not
	// count.
	revision uint64
	// completeTo is a revision as of which all objects were known. An unknown object of that
	// version or an earlier one has been deleted.
	completeTo uint64
	// synced is set once a complete list was applied.
	synced bool
	// content returns the number by which the content of an object is ordered, for a kind
	// whose content must not go back when the store comes back from a copy; nil otherwise.
	content func(o core.Object) uint64
	// deletions holds the versions of deletions by object name. Deletions with
	// versions up to compactedTo may be missing.
	deletions   map[string]uint64
	compactedTo uint64
	// packed holds the compressed changes since earlier revisions for peers, as of
	// packedAt. Peers pull the same changes at the same time.
	packed   map[uint64]*wire.KindState
	packedAt uint64
}

// maxDeletions is the maximum number of deletions that are kept for peers.
const maxDeletions = 512

// recordDeletion removes the object and records the version of its deletion.
func (k *kindState) recordDeletion(name string, version uint64) {
	delete(k.objects, name)
	if len(k.deletions) >= maxDeletions {
		for _, v := range k.deletions {
			k.compactedTo = max(k.compactedTo, v)
		}
		if k.synced {
			k.completeTo = max(k.completeTo, k.compactedTo)
		}
		clear(k.deletions)
	}
	if k.deletions == nil {
		k.deletions = map[string]uint64{}
	}
	k.deletions[name] = max(k.deletions[name], version)
}

// isDeleted reports whether an object that is not known was deleted after the given version.
// A list may be answered late and bring it back otherwise.
func (k *kindState) isDeleted(name string, version uint64) bool {
	return version <= k.completeTo || version <= k.deletions[name]
}

// replace applies a complete list as of the revision and returns the names of the
// changed objects.
func (k *kindState) replace(objects []core.Object, revision uint64) []string {
	changed := k.mergeUpTo(objects, revision)
	listed := make(map[string]bool, len(objects))
	for _, o := range objects {
		listed[o.Name] = true
	}
	for name, o := range k.objects {
		if !listed[name] && o.Version <= revision && (k.content == nil || core.Era(o.Version) == core.Era(revision)) {
			// The exact version of the deletion is unknown. It is at most revision.
			k.recordDeletion(name, revision)
			k.revision = max(k.revision, revision)
			changed = append(changed, name)
		}
	}
	if !k.synced {
		k.compactedTo = max(k.compactedTo, revision)
	}
	k.synced = true
	k.completeTo = max(k.completeTo, revision)
	return changed
}

// replaces reports whether an object takes the place of the known one of the same name. The
// content of a later era may be older.
func (k *kindState) replaces(o, known core.Object) bool {
	if k.content != nil && core.Era(o.Version) != core.Era(known.Version) {
		if a, b := k.content(o), k.content(known); a != b {
			return a > b
		}
	}
	return o.Version > known.Version
}

// merge applies changes and returns the names of the changed objects.
func (k *kindState) merge(objects []core.Object) []string {
	return k.mergeUpTo(objects, math.MaxUint64)
}

// mergeUpTo applies changes, of which all up to the revision are among them or known.
func (k *kindState) mergeUpTo(objects []core.Object, revision uint64) []string {
	var changed []string
	for _, o := range objects {
		current, ok := k.objects[o.Name]
		k.revision = max(k.revision, min(o.Version, revision))
		switch {
		case o.Deleted && !ok:
			k.recordDeletion(o.Name, o.Version)
			continue
		case o.Deleted && o.Version >= current.Version:
			k.recordDeletion(o.Name, o.Version)
		case !o.Deleted && (ok && k.replaces(o, current) || !ok && !k.isDeleted(o.Name, o.Version)):
			k.objects[o.Name] = o
		default:
			continue
		}
		changed = append(changed, o.Name)
	}
	if len(changed) > 0 {
		// The revision does not tell, if the configuration of an earlier era was taken.
		k.packed = nil
	}
	return changed
}

// era returns the latest era of the store in which objects of the kind are known.
func (k *kindState) era() uint64 { return core.Era(max(k.revision, k.completeTo)) }

// delta returns the changes after the given revision, or all objects if the
// deletions since then are not all known, as they are not across eras.
func (k *kindState) delta(since uint64) *wire.KindState {
	s := &wire.KindState{Kind: string(k.kind), Revision: k.revision, Complete: since < k.compactedTo || core.Era(since) != core.Era(k.revision)}
	for _, name := range slices.Sorted(maps.Keys(k.objects)) {
		// A configuration that was kept from an earlier era has a lower version.
		if o := k.objects[name]; s.Complete || o.Version > since || k.content != nil {
			s.Objects = append(s.Objects, &wire.Object{Name: o.Name, Version: o.Version, Value: o.Value})
		}
	}
	if s.Complete {
		return s
	}
	for name, version := range k.deletions {
		if _, ok := k.objects[name]; !ok && version > since {
			s.Objects = append(s.Objects, &wire.Object{Name: name, Version: version, Deleted: true})
		}
	}
	return s
}

// maxPacked is the maximum number of compressed states that are kept.
const maxPacked = 4

// packedDelta returns the same as delta, compressed if it is large.
func (k *kindState) packedDelta(since uint64) *wire.KindState {
	if k.packedAt != k.revision || len(k.packed) >= maxPacked {
		k.packed, k.packedAt = nil, k.revision
	}
	if s := k.packed[since]; s != nil {
		return s
	}
	s := pack(k.delta(since))
	if len(s.GetPacked()) > 0 {
		if k.packed == nil {
			k.packed = map[uint64]*wire.KindState{}
		}
		k.packed[since] = s
	}
	return s
}

// objectsFromWire converts the objects of a message.
func objectsFromWire(s *wire.KindState) []core.Object {
	list := make([]core.Object, 0, len(s.GetObjects()))
	for _, o := range s.GetObjects() {
		list = append(list, core.Object{
			Key: core.Key{Kind: core.Kind(s.GetKind()), Name: o.GetName()}, Version: o.GetVersion(), Value: o.GetValue(), Deleted: o.GetDeleted(),
		})
	}
	return list
}
