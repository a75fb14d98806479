package spread

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/samber/lo"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/version/objset"
	"parsleyroute.example/core/wire"
)

const (
	// abroadEvery is the share of exchanges with a peer of another zone: one
	// in four.
	abroadEvery = 4
	// maxRounds bounds the messages of one exchange. At 1 MB each it is enough
	// for 256 MB of objects; the next exchange goes on from there.
	maxRounds = 256
	// refSize estimates the size of an encoded wire.ObjectRef from above.
	refSize = 64
)

// exchangeLoop compares digests with one random peer after the other.
func (n *Node) exchangeLoop(ctx context.Context) {
	rng := n.random("exchange")
	failed := false
	for turn := 0; ; turn++ {
		period := n.ExchangeInterval
		if !n.current().synced {
			period /= unsyncedRatio
		}
		if n.Clock.Sleep(ctx, jitter(rng, period)) != nil {
			return
		}
		addr, ok := n.partner(rng, turn, failed)
		if !ok {
			continue
		}
		err := n.exchange(ctx, addr)
		failed = err != nil
		if failed && ctx.Err() == nil {
			meter.Event("control_exchanges_failed")
		}
	}
}

// partner chooses a peer: every fourth time one of another zone, and now and
// then a seed if the last peer did not answer, because the instance list may
// be out of date.
func (n *Node) partner(rng *rand.Rand, turn int, failed bool) (netip.AddrPort, bool) {
	r := n.current().roster
	first, second := r.own, r.others
	if turn%abroadEvery == abroadEvery-1 {
		first, second = second, first
	}
	if len(first) == 0 {
		first = second
	}
	if len(first) == 0 || failed && rng.IntN(2) == 0 {
		if seeds := lo.Without(n.Seeds, n.Self.Peer); len(seeds) > 0 {
			first = seeds
		}
	}
	if len(first) == 0 {
		return netip.AddrPort{}, false
	}
	return first[rng.IntN(len(first))], true
}

// exchange makes this node and a peer equal: it compares total digests, then
// bucket digests, then the versions in the buckets that differ, fetches what
// is newer there and pushes what is newer here.
func (n *Node) exchange(ctx context.Context, addr netip.AddrPort) error {
	peer := n.Clients.ConfigClient(addr)
	call := func(req *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
		ctx, cancel := context.WithTimeout(ctx, n.CallTimeout)
		defer cancel()
		return peer.Exchange(ctx, req)
	}
	st := n.current()
	resp, err := call(&wire.ExchangeRequest{Digest: n.digest(st, false)})
	if err != nil {
		return err
	}
	if resp.GetDigest().GetTotal() == st.set.Total() {
		return n.exchanged(ctx, resp.GetDigest(), true)
	}
	meter.Event("control_exchanges_unequal")
	if resp, err = call(&wire.ExchangeRequest{Digest: n.digest(st, true)}); err != nil {
		return err
	}
	rest := resp.GetBuckets()
	digest := resp.GetDigest()
	for range maxRounds {
		if len(rest) == 0 {
			return n.exchanged(ctx, digest, false)
		}
		st = n.current()
		some, refs := takeBuckets(st.set, rest, n.MaxMessageBytes)
		resp, err = call(&wire.ExchangeRequest{Digest: n.digest(st, false), Buckets: some, Refs: refs})
		if err != nil {
			return err
		}
		objects := fromWire(resp.GetObjects())
		if err := n.do(ctx, func(o *owner) { o.accept(objects, origin{zone: resp.GetZone()}) }); err != nil {
			return err
		}
		if err := n.pushTo(ctx, addr, wanted(st.set, resp.GetWant())); err != nil {
			return err
		}
		if !resp.GetMore() {
			rest = rest[len(some):]
		}
	}
	return nil
}

// exchanged notes what an exchange with a peer has shown. Only a set equal to
// the peer's is known to be complete at the peer's revision; a node that took
// itself as complete with an object missing would delete it everywhere.
func (n *Node) exchanged(ctx context.Context, d *wire.Digest, equal bool) error {
	seen := n.Clock.Now().Add(-time.Duration(d.GetRosterAgeMs()) * time.Millisecond)
	return n.do(ctx, func(o *owner) {
		o.confirm(d.GetRoster(), seen)
		switch {
		case d.GetSynced() && equal:
			o.sync(d.GetComplete())
		case d.GetSynced():
			o.sync(0)
		}
	})
}

// takeBuckets returns as many of the buckets as fit in a message, and their
// versions.
func takeBuckets(set *objset.Snapshot, buckets []uint32, limit int) ([]uint32, []*wire.ObjectRef) {
	var refs []*wire.ObjectRef
	for i, b := range buckets {
		objects := set.Bucket(int(b))
		if i > 0 && (len(refs)+len(objects))*refSize > limit {
			return buckets[:i], refs
		}
		for _, obj := range objects {
			refs = append(refs, ref(obj.Key, obj.Version))
		}
	}
	return buckets, refs
}

func ref(key core.Key, version uint64) *wire.ObjectRef {
	return &wire.ObjectRef{Kind: string(key.Kind), Name: key.Name, Version: version}
}

func refKey(r *wire.ObjectRef) core.Key {
	return core.Key{Kind: core.Kind(r.GetKind()), Name: r.GetName()}
}

// wanted returns the objects that a peer asked for and that are newer here.
func wanted(set *objset.Snapshot, refs []*wire.ObjectRef) []*wire.Object {
	var objects []*wire.Object
	for _, r := range refs {
		if obj, ok := set.Get(refKey(r)); ok && obj.Version > r.GetVersion() {
			objects = append(objects, toWire(obj))
		}
	}
	return objects
}

// digest describes a state to a peer.
func (n *Node) digest(st *state, buckets bool) *wire.Digest {
	d := &wire.Digest{Total: st.set.Total(), Synced: st.synced, Complete: st.complete, Roster: st.roster.revision}
	if st.roster.revision != 0 {
		age := max(n.Clock.Now().Sub(st.seen), 0)
		d.RosterAgeMs = uint32(min(age.Milliseconds(), 1<<31))
	}
	if buckets {
		all := st.set.Digests()
		d.Buckets = all[:]
	}
	return d
}
