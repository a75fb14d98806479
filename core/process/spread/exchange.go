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
	// crossZoneExchangeRatio makes one in four exchanges use a peer of another
	// zone.
	crossZoneExchangeRatio = 4
	// maxExchangeRounds limits the messages of one exchange. At 1 MB each they
	// carry 256 MB of objects; the next exchange continues from there.
	maxExchangeRounds = 256
	// maxRefBytes is an upper estimate of the size of an encoded
	// wire.ObjectRef.
	maxRefBytes = 64
)

// exchangeLoop exchanges digests with a random peer at intervals.
func (n *Node) exchangeLoop(ctx context.Context) {
	rng := n.newRand("exchange")
	failed := false
	for round := 0; ; round++ {
		interval := n.ExchangeInterval
		if !n.current().synced {
			interval /= unsyncedExchangeFactor
		}
		if n.Clock.Sleep(ctx, jitter(rng, interval)) != nil {
			return
		}
		addr, ok := n.choosePeer(rng, round, failed)
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

// choosePeer returns a random peer, in every fourth round one of another zone.
// It returns a seed if no peer is known and, half of the time, if the last
// exchange failed, because the instance list may be out of date.
func (n *Node) choosePeer(rng *rand.Rand, round int, lastFailed bool) (netip.AddrPort, bool) {
	r := n.current().roster
	preferred, alternative := r.sameZone, r.otherZones
	if round%crossZoneExchangeRatio == crossZoneExchangeRatio-1 {
		preferred, alternative = alternative, preferred
	}
	if len(preferred) == 0 {
		preferred = alternative
	}
	if len(preferred) == 0 || lastFailed && rng.IntN(2) == 0 {
		if seeds := lo.Without(n.Seeds, n.Self.PeerAddr); len(seeds) > 0 {
			preferred = seeds
		}
	}
	if len(preferred) == 0 {
		return netip.AddrPort{}, false
	}
	return preferred[rng.IntN(len(preferred))], true
}

// exchange reconciles this node with a peer. It compares total digests, then
// bucket digests, then the versions in the buckets that differ; it fetches the
// objects that are newer on the peer and pushes those that are newer here.
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
	if resp.GetDigest().GetTotal() == st.set.Digest() {
		return n.recordExchange(ctx, resp.GetDigest(), true)
	}
	meter.Event("control_exchanges_unequal")
	if resp, err = call(&wire.ExchangeRequest{Digest: n.digest(st, true)}); err != nil {
		return err
	}
	remaining := resp.GetBuckets()
	digest := resp.GetDigest()
	for range maxExchangeRounds {
		if len(remaining) == 0 {
			return n.recordExchange(ctx, digest, false)
		}
		st = n.current()
		batch, refs := nextBuckets(st.set, remaining, n.MaxMessageBytes)
		resp, err = call(&wire.ExchangeRequest{Digest: n.digest(st, false), Buckets: batch, Refs: refs})
		if err != nil {
			return err
		}
		objects := objectsFromWire(resp.GetObjects())
		if err := n.runOnOwner(ctx, func(o *owner) { o.merge(objects, origin{zone: resp.GetZone()}) }); err != nil {
			return err
		}
		if err := n.pushToPeer(ctx, addr, newerObjects(st.set, resp.GetWant())); err != nil {
			return err
		}
		if !resp.GetMore() {
			remaining = remaining[len(batch):]
		}
	}
	return nil
}

// recordExchange updates the age of the instance list and the completeness of
// the set after an exchange. The set is known to be complete at the peer's
// revision only if it equals the peer's: a node that was marked complete with an
// object missing would delete that object everywhere.
func (n *Node) recordExchange(ctx context.Context, d *wire.Digest, equal bool) error {
	readAt := n.Clock.Now().Add(-time.Duration(d.GetRosterAgeMs()) * time.Millisecond)
	return n.runOnOwner(ctx, func(o *owner) {
		o.recordRosterRead(d.GetRoster(), readAt)
		switch {
		case d.GetSynced() && equal:
			o.markComplete(d.GetComplete())
		case d.GetSynced():
			o.markComplete(0)
		}
	})
}

// nextBuckets returns the first of the buckets, as many as fit in a message, and
// the versions of their objects.
func nextBuckets(set *objset.Snapshot, buckets []uint32, limit int) ([]uint32, []*wire.ObjectRef) {
	var refs []*wire.ObjectRef
	for i, b := range buckets {
		objects := set.BucketObjects(int(b))
		if i > 0 && (len(refs)+len(objects))*maxRefBytes > limit {
			return buckets[:i], refs
		}
		for _, obj := range objects {
			refs = append(refs, newRef(obj.Key, obj.Version))
		}
	}
	return buckets, refs
}

func newRef(key core.Key, version uint64) *wire.ObjectRef {
	return &wire.ObjectRef{Kind: string(key.Kind), Name: key.Name, Version: version}
}

func refKey(r *wire.ObjectRef) core.Key {
	return core.Key{Kind: core.Kind(r.GetKind()), Name: r.GetName()}
}

// newerObjects returns the objects of refs that are newer in set.
func newerObjects(set *objset.Snapshot, refs []*wire.ObjectRef) []*wire.Object {
	var objects []*wire.Object
	for _, r := range refs {
		if obj, ok := set.Get(refKey(r)); ok && obj.Version > r.GetVersion() {
			objects = append(objects, objectToWire(obj))
		}
	}
	return objects
}

// digest returns the digest of st for a peer, with the bucket digests if buckets
// is set.
func (n *Node) digest(st *state, buckets bool) *wire.Digest {
	d := &wire.Digest{Total: st.set.Digest(), Synced: st.synced, Complete: st.completeRevision, Roster: st.roster.revision}
	if st.roster.revision != 0 {
		age := max(n.Clock.Now().Sub(st.rosterReadAt), 0)
		d.RosterAgeMs = uint32(min(age.Milliseconds(), 1<<31))
	}
	if buckets {
		all := st.set.BucketDigests()
		d.Buckets = all[:]
	}
	return d
}
