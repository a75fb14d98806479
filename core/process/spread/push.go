package spread

import (
	"context"
	"net/netip"

	"github.com/samber/lo"

	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/wire"
)

// maxPendingBytes limits the objects that wait for one peer. Objects that are
// dropped reach the peer by a later exchange.
const maxPendingBytes = 4 << 20

// maxFallbackTargets limits the instances of another zone to which a change is
// pushed if the pushes to all first targets failed. If the entries of a zone do
// not respond, its agents would otherwise get the change only by exchange, which
// takes longer than the 3 s in which a zone must be out. It is small because the
// whole zone may be unreachable, and each push then occupies one of
// maxConcurrentPushes.
const maxFallbackTargets = 8

// delivery is a batch of objects that is being pushed to some targets.
type delivery struct {
	objects []*wire.Object
	size    int
	// remaining counts the targets to which the push is not finished; delivered
	// is set once the push to one target has succeeded. If all fail, the objects
	// are pushed to the fallback targets.
	remaining int
	delivered bool
	fallback  []netip.AddrPort
}

// outbox queues deliveries for a peer while a push to it is in progress, so that
// a slow peer delays no other and receives the next changes in one batch.
type outbox struct {
	pending []*delivery
	size    int
}

// push sends objects to all targets without waiting. They are sent to the
// fallback targets if the pushes to all targets fail.
func (o *owner) push(objects []*wire.Object, targets, fallback []netip.AddrPort) {
	d := &delivery{objects: objects, size: lo.SumBy(objects, maxEncodedSize), remaining: len(targets), fallback: fallback}
	for _, addr := range targets {
		box, sending := o.outboxes[addr]
		switch {
		case !sending:
			o.outboxes[addr] = &outbox{}
			o.send(addr, []*delivery{d})
		case box.size+d.size > maxPendingBytes:
			meter.Event("control_pushes_dropped")
			o.recordResult(d, false)
		default:
			box.pending = append(box.pending, d)
			box.size += d.size
		}
	}
}

// pushToOtherZones sends objects to some instances of every other zone.
func (o *owner) pushToOtherZones(objects []*wire.Object) {
	for _, z := range o.roster.remoteZones {
		targets := z.pushTargets(o.rng)
		fallback := lo.Without(append(append([]netip.AddrPort(nil), z.relays...), z.others...), targets...)
		o.rng.Shuffle(len(fallback), func(i, j int) { fallback[i], fallback[j] = fallback[j], fallback[i] })
		o.push(objects, targets, fallback[:min(len(fallback), maxFallbackTargets)])
	}
}

// recordResult records whether the push of a delivery to one target succeeded.
func (o *owner) recordResult(d *delivery, delivered bool) {
	d.remaining--
	d.delivered = d.delivered || delivered
	if d.remaining == 0 && !d.delivered && len(d.fallback) > 0 {
		meter.Event("control_pushes_rerouted")
		o.push(d.objects, d.fallback, nil)
	}
}

func (o *owner) send(addr netip.AddrPort, batch []*delivery) {
	objects := lo.FlatMap(batch, func(d *delivery, _ int) []*wire.Object { return d.objects })
	n, ctx := o.n, o.ctx
	n.tasks.Go(func() {
		select {
		case n.pushSlots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		err := n.pushToPeer(ctx, addr, objects)
		if err != nil {
			meter.Event("control_pushes_failed")
		}
		<-n.pushSlots
		_ = n.runOnOwner(ctx, func(o *owner) {
			for _, d := range batch {
				o.recordResult(d, err == nil)
			}
			box := o.outboxes[addr]
			if len(box.pending) == 0 {
				delete(o.outboxes, addr)
				return
			}
			o.outboxes[addr] = &outbox{}
			o.send(addr, box.pending)
		})
	})
}

// pushToPeer sends objects to a peer in messages of bounded size.
func (n *Node) pushToPeer(ctx context.Context, addr netip.AddrPort, objects []*wire.Object) error {
	peer := n.Clients.ConfigClient(addr)
	for _, batch := range splitBatches(objects, n.MaxMessageBytes) {
		ctx, cancel := context.WithTimeout(ctx, n.CallTimeout)
		_, err := peer.Push(ctx, &wire.PushRequest{Objects: batch, Zone: n.Self.Zone})
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}
