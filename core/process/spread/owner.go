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

// owner is the state of a node. Only the goroutine of Run uses it.
type owner struct {
	n        *Node
	ctx      context.Context
	set      objset.Set
	roster   *roster
	seen     time.Time
	synced   bool
	complete uint64
	outbox   map[netip.AddrPort]*outbox
	rng      *rand.Rand
	refused  map[core.Kind]bool
}

// origin tells where objects came from: the store, or a peer of a zone.
type origin struct {
	store bool
	zone  string
}

func newOwner(ctx context.Context, n *Node) *owner {
	return &owner{
		n: n, ctx: ctx, roster: n.state.Load().roster,
		outbox: map[netip.AddrPort]*outbox{}, rng: n.random("push"), refused: map[core.Kind]bool{},
	}
}

// accept takes objects, and returns how many were new.
func (o *owner) accept(objects []core.Object, from origin) int {
	var changed []core.Object
	for _, obj := range objects {
		if o.admit(&obj) && o.set.Apply(obj) {
			taken, _ := o.set.Get(obj.Key)
			changed = append(changed, taken)
		}
	}
	o.settle(changed, from)
	return len(changed)
}

// relist merges a complete list from the store.
func (o *owner) relist(objects []core.Object, revision uint64) {
	objects = slices.DeleteFunc(objects, func(obj core.Object) bool { return !o.admit(&obj) })
	o.settle(o.set.Relist(objects, revision, o.n.Kinds, o.n.Clock.Now()), origin{store: true})
	o.sync(revision)
}

// list merges the instance list as just read.
func (o *owner) list(instances []core.Instance, revision uint64) {
	if revision < o.roster.revision {
		return
	}
	if revision > o.roster.revision {
		value, err := encodeRoster(instances)
		if err != nil {
			level.Error(o.n.Logger).Log("msg", "cannot encode the instance list", "err", err)
			return
		}
		o.accept([]core.Object{{Key: rosterKey, Version: revision, Value: value}}, origin{store: true})
	}
	o.confirm(revision, o.n.Clock.Now())
}

// confirm notes that a node read the instance list at a revision.
func (o *owner) confirm(revision uint64, at time.Time) {
	if revision == o.roster.revision && at.After(o.seen) {
		o.seen = at
		o.publish()
	}
}

// sync notes that the set is complete at a revision of the store.
func (o *owner) sync(revision uint64) {
	if o.synced && revision <= o.complete {
		return
	}
	o.complete = max(o.complete, revision)
	o.set.MarkComplete(revision, o.n.Kinds, o.n.Clock.Now())
	if !o.synced {
		o.synced = true
		level.Info(o.n.Logger).Log("msg", "configuration is complete", "objects", o.set.Len())
	}
	o.publish()
}

// admit reports whether an object is one that this node keeps, and completes
// the dates of tombstones.
func (o *owner) admit(obj *core.Object) bool {
	if err := o.check(obj); err != nil {
		meter.Event("control_objects_refused")
		if !o.refused[obj.Kind] && len(o.refused) < 16 {
			o.refused[obj.Kind] = true
			level.Warn(o.n.Logger).Log("msg", "refused an object", "kind", obj.Kind, "name", obj.Name, "err", err)
		}
		return false
	}
	// A tombstone without a date would be pruned at once, one from the future
	// never.
	if now := o.n.Clock.Now(); obj.Deleted && (obj.DeletedAt.IsZero() || obj.DeletedAt.After(now)) {
		obj.DeletedAt = now.Truncate(time.Second)
	}
	return true
}

// check refuses what would do harm in the set: objects that are not part of
// the configuration, and an instance list that cannot be read, because a node
// that took it would no longer know its peers.
func (o *owner) check(obj *core.Object) error {
	switch {
	case obj.Name == "" || obj.Version == 0:
		return trace.BadParameter("object without a name or version")
	case obj.Kind != core.KindRoster:
		if !slices.Contains(o.n.Kinds, obj.Kind) {
			return trace.BadParameter("kind %q is not spread", obj.Kind)
		}
		return nil
	case obj.Key != rosterKey || obj.Deleted:
		return trace.BadParameter("not the instance list")
	case obj.Version <= o.roster.revision:
		return nil // not taken, so not worth decoding
	}
	_, err := decodeRoster(obj.Value)
	return err
}

// settle publishes changed objects and passes them on.
func (o *owner) settle(changed []core.Object, from origin) {
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
		o.seen = o.n.Clock.Now()
	}
	o.publish()
	// Before the first sync everything is new to this node but hardly to its
	// peers, so nothing is passed on.
	if o.synced {
		objects := lo.Map(changed, func(obj core.Object, _ int) *wire.Object { return toWire(obj) })
		switch {
		case from.store:
			o.push(objects, o.roster.own, nil)
			o.pushAbroad(objects)
		case from.zone != o.n.Self.Zone && o.roster.relay:
			o.push(objects, o.roster.own, nil)
		}
	}
	if o.n.OnChange != nil {
		o.n.OnChange(changed)
	}
}

func (o *owner) publish() {
	o.n.state.Store(&state{set: o.set.Snapshot(), roster: o.roster, seen: o.seen, synced: o.synced, complete: o.complete})
}

func (o *owner) prune() {
	if removed := o.set.Prune(o.n.Clock.Now()); removed > 0 {
		meter.AddEvents("control_tombstones_pruned", int64(removed))
		o.publish()
	}
}
