package spread

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"github.com/samber/lo"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/version/objset"
	"parsleyroute.example/core/wire"
)

// owner is the state of a node. Only the goroutine of Run uses it.
type owner struct {
	n       *Node
	ctx     context.Context
	set     objset.Set
	roster  *roster
	seen    time.Time
	synced  bool
	outbox  map[netip.AddrPort]*outbox
	rng     *rand.Rand
	refused map[core.Kind]bool
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
		if o.admit(&obj) && o.set.Take(obj) {
			changed = append(changed, obj)
		}
	}
	o.settle(changed, from)
	return len(changed)
}

// relist merges a complete list from the store.
func (o *owner) relist(objects []core.Object, revision uint64) {
	objects = slices.DeleteFunc(objects, func(obj core.Object) bool { return !o.admit(&obj) })
	o.settle(o.set.Relist(objects, revision, o.n.Kinds, o.n.Clock.Now()), origin{store: true})
	o.sync()
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

func (o *owner) sync() {
	if !o.synced {
		o.synced = true
		o.publish()
		level.Info(o.n.Logger).Log("msg", "configuration is complete", "objects", o.set.Len())
	}
}

// admit reports whether an object is one that this node keeps, and completes
// the dates of tombstones.
func (o *owner) admit(obj *core.Object) bool {
	if obj.Kind != core.KindRoster && !slices.Contains(o.n.Kinds, obj.Kind) || obj.Name == "" || obj.Version == 0 {
		meter.Event("control_objects_refused")
		if !o.refused[obj.Kind] && len(o.refused) < 16 {
			o.refused[obj.Kind] = true
			level.Warn(o.n.Logger).Log("msg", "refused an object of a kind that is not spread", "kind", obj.Kind, "name", obj.Name)
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

// settle publishes changed objects and passes them on.
func (o *owner) settle(changed []core.Object, from origin) {
	if len(changed) == 0 {
		return
	}
	meter.Events("control_objects_taken", int64(len(changed)))
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
	o.n.state.Store(&state{set: o.set.Snapshot(), roster: o.roster, seen: o.seen, synced: o.synced})
}

func (o *owner) prune() {
	if removed := o.set.Prune(o.n.Clock.Now()); removed > 0 {
		meter.Events("control_tombstones_pruned", int64(removed))
		o.publish()
	}
}
