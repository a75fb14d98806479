package spread

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"github.com/gravitational/trace"
	"github.com/samber/lo"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/version/objset"
	"parsleyroute.example/core/wire"
)

// owner holds the mutable state of a node. Only the goroutine of Run uses it.
type owner struct {
	n                *Node
	ctx              context.Context
	set              objset.Set
	roster           *roster
	rosterReadAt     time.Time
	synced           bool
	completeRevision uint64
	outboxes         map[netip.AddrPort]*outbox
	rng              *rand.Rand
	loggedRejections map[core.Kind]bool
}

// origin is the source of objects: the store, or a peer in a zone.
type origin struct {
	fromStore bool
	zone      string
}

func newOwner(ctx context.Context, n *Node) *owner {
	return &owner{
		n: n, ctx: ctx, roster: n.state.Load().roster,
		outboxes: map[netip.AddrPort]*outbox{}, rng: n.newRand("push"), loggedRejections: map[core.Kind]bool{},
	}
}

// merge adds the objects that are newer than those in the set and returns their
// number.
func (o *owner) merge(objects []core.Object, from origin) int {
	var changed []core.Object
	for _, obj := range objects {
		if o.sanitize(&obj) && o.set.Apply(obj) {
			merged, _ := o.set.Get(obj.Key)
			changed = append(changed, merged)
		}
	}
	o.publishAndForward(changed, from)
	return len(changed)
}

// mergeList merges a full list of the store.
func (o *owner) mergeList(objects []core.Object, revision uint64) {
	objects = slices.DeleteFunc(objects, func(obj core.Object) bool { return !o.sanitize(&obj) })
	o.publishAndForward(o.set.Relist(objects, revision, o.n.Kinds, o.n.Clock.Now()), origin{fromStore: true})
	o.markComplete(revision)
}

// mergeInstances merges an instance list that was read from the platform.
func (o *owner) mergeInstances(instances []core.Instance, revision uint64) {
	if revision < o.roster.revision {
		return
	}
	if revision > o.roster.revision {
		value, err := encodeRoster(instances)
		if err != nil {
			level.Error(o.n.Logger).Log("msg", "cannot encode the instance list", "err", err)
			return
		}
		o.merge([]core.Object{{Key: rosterKey, Version: revision, Value: value}}, origin{fromStore: true})
	}
	o.recordRosterRead(revision, o.n.Clock.Now())
}

// recordRosterRead records that some node read the instance list at a revision.
func (o *owner) recordRosterRead(revision uint64, at time.Time) {
	if revision == o.roster.revision && at.After(o.rosterReadAt) {
		o.rosterReadAt = at
		o.publish()
	}
}

// markComplete records that the set is complete at a revision of the store.
func (o *owner) markComplete(revision uint64) {
	if o.synced && revision <= o.completeRevision {
		return
	}
	o.completeRevision = max(o.completeRevision, revision)
	o.set.MarkComplete(revision, o.n.Kinds, o.n.Clock.Now())
	if !o.synced {
		o.synced = true
		level.Info(o.n.Logger).Log("msg", "configuration is complete", "objects", o.set.Len())
	}
	o.publish()
}

// sanitize reports whether an object is valid, and corrects the deletion time of
// tombstones.
func (o *owner) sanitize(obj *core.Object) bool {
	if err := o.validate(obj); err != nil {
		meter.Event("control_objects_refused")
		if !o.loggedRejections[obj.Kind] && len(o.loggedRejections) < 16 {
			o.loggedRejections[obj.Kind] = true
			level.Warn(o.n.Logger).Log("msg", "refused an object", "kind", obj.Kind, "name", obj.Name, "err", err)
		}
		return false
	}
	// A tombstone without a deletion time would be pruned at once, one with a
	// time in the future never.
	if now := o.n.Clock.Now(); obj.Deleted && (obj.DeletedAt.IsZero() || obj.DeletedAt.After(now)) {
		obj.DeletedAt = now.Truncate(time.Second)
	}
	return true
}

// validate rejects objects that are not part of the configuration, and an
// instance list that cannot be decoded, because a node that merged it would
// lose its peers.
func (o *owner) validate(obj *core.Object) error {
	switch {
	case obj.Name == "" || obj.Version == 0:
		return trace.BadParameter("object without a name or version")
	case obj.Kind != core.KindRoster:
		if !slices.Contains(o.n.Kinds, obj.Kind) {
			return trace.BadParameter("kind %q is not replicated", obj.Kind)
		}
		return nil
	case obj.Key != rosterKey || obj.Deleted:
		return trace.BadParameter("the instance list has a wrong name or is deleted")
	case obj.Version <= o.roster.revision:
		return nil // will not be merged, so it need not be decoded
	}
	_, err := decodeRoster(obj.Value)
	return err
}

// publishAndForward publishes changed objects, pushes them to peers and calls
// OnChange.
func (o *owner) publishAndForward(changed []core.Object, from origin) {
	if len(changed) == 0 {
		return
	}
	meter.AddEvents("control_objects_taken", int64(len(changed)))
	if obj, ok := o.set.Get(rosterKey); ok && obj.Version != o.roster.revision {
		instances, err := decodeRoster(obj.Value)
		if err != nil {
			level.Error(o.n.Logger).Log("msg", "cannot decode the instance list", "err", err)
		}
		o.roster = newRoster(o.n.Self, obj.Version, instances)
		o.rosterReadAt = o.n.Clock.Now()
	}
	o.publish()
	// Before the first sync every object is new to this node, but its peers
	// probably have it, so nothing is pushed.
	if o.synced {
		objects := lo.Map(changed, func(obj core.Object, _ int) *wire.Object { return objectToWire(obj) })
		switch {
		case from.fromStore:
			o.push(objects, o.roster.sameZone, nil)
			o.pushToOtherZones(objects)
		case from.zone != o.n.Self.Zone && o.roster.isRelay:
			o.push(objects, o.roster.sameZone, nil)
		}
	}
	if o.n.OnChange != nil {
		o.n.OnChange(changed)
	}
}

func (o *owner) publish() {
	o.n.state.Store(&state{set: o.set.Snapshot(), roster: o.roster, rosterReadAt: o.rosterReadAt, synced: o.synced, completeRevision: o.completeRevision})
}

func (o *owner) prune() {
	if removed := o.set.Prune(o.n.Clock.Now()); removed > 0 {
		meter.AddEvents("control_tombstones_pruned", int64(removed))
		o.publish()
	}
}
