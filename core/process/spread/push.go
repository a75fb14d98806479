package spread

import (
	"context"
	"net/netip"

	"github.com/samber/lo"

	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/wire"
)

// maxPending bounds the bytes that wait for one peer. What is dropped there
// reaches the peer by exchange.
const maxPending = 4 << 20

// spareTargets is the number of instances of another zone that get a change if
// none of the targets chosen there took it. Agents would otherwise learn of it
// by exchange alone, which takes longer than the 3 s in which a zone must be
// out, while the entries of their zone are frozen. It is bounded because the
// whole zone may be cut off, and each push then holds one of maxCalls.
const spareTargets = 8

// delivery is one batch of objects on its way to some targets.
type delivery struct {
	objects []*wire.Object
	size    int
	// open counts the targets that have not answered yet; taken is set if one
	// took the objects. If none does, the spare targets get them.
	open  int
	taken bool
	spare []netip.AddrPort
}

// outbox holds what waits for a peer while a push to it is under way, so that
// a slow peer delays no other and gets the next changes in one batch.
type outbox struct {
	pending []*delivery
	size    int
}

// push sends objects to all targets, without waiting. The spare targets get
// them if no target takes them.
func (o *owner) push(objects []*wire.Object, targets, spare []netip.AddrPort) {
	d := &delivery{objects: objects, size: lo.SumBy(objects, size), open: len(targets), spare: spare}
	for _, addr := range targets {
		box, busy := o.outbox[addr]
		switch {
		case !busy:
			o.outbox[addr] = &outbox{}
			o.send(addr, []*delivery{d})
		case box.size+d.size > maxPending:
			meter.Event("control_pushes_dropped")
			o.delivered(d, false)
		default:
			box.pending = append(box.pending, d)
			box.size += d.size
		}
	}
}

// pushAbroad sends objects to some instances of every other zone.
func (o *owner) pushAbroad(objects []*wire.Object) {
	for _, z := range o.roster.zones {
		targets := z.targets(o.rng)
		spare := lo.Without(append(append([]netip.AddrPort(nil), z.relays...), z.rest...), targets...)
		o.rng.Shuffle(len(spare), func(i, j int) { spare[i], spare[j] = spare[j], spare[i] })
		o.push(objects, targets, spare[:min(len(spare), spareTargets)])
	}
}

// delivered notes the answer of one target.
func (o *owner) delivered(d *delivery, taken bool) {
	d.open--
	d.taken = d.taken || taken
	if d.open == 0 && !d.taken && len(d.spare) > 0 {
		meter.Event("control_pushes_rerouted")
		o.push(d.objects, d.spare, nil)
	}
}

func (o *owner) send(addr netip.AddrPort, batch []*delivery) {
	objects := lo.FlatMap(batch, func(d *delivery, _ int) []*wire.Object { return d.objects })
	n, ctx := o.n, o.ctx
	n.tasks.Go(func() {
		select {
		case n.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		err := n.pushTo(ctx, addr, objects)
		if err != nil {
			meter.Event("control_pushes_failed")
		}
		<-n.slots
		_ = n.do(ctx, func(o *owner) {
			for _, d := range batch {
				o.delivered(d, err == nil)
			}
			box := o.outbox[addr]
			if len(box.pending) == 0 {
				delete(o.outbox, addr)
				return
			}
			o.outbox[addr] = &outbox{}
			o.send(addr, box.pending)
		})
	})
}

// pushTo sends objects to a peer in messages of bounded size.
func (n *Node) pushTo(ctx context.Context, addr netip.AddrPort, objects []*wire.Object) error {
	peer := n.Clients.ConfigClient(addr)
	for _, batch := range batches(objects, n.MaxMessageBytes) {
		ctx, cancel := context.WithTimeout(ctx, n.CallTimeout)
		_, err := peer.Push(ctx, &wire.PushRequest{Objects: batch, Zone: n.Self.Zone})
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}
