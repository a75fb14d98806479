package spread

import (
	"context"
	"net/netip"

	"github.com/samber/lo"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/wire"
)

// maxPending bounds the bytes that wait for one peer. What is dropped there
// reaches the peer by exchange.
const maxPending = 4 << 20

// outbox holds what waits for a peer while a push to it is under way, so that
// a slow peer delays no other and gets the next changes in one batch.
type outbox struct {
	pending []*wire.Object
	size    int
}

// push sends objects to all targets, without waiting.
func (o *owner) push(changed []core.Object, targets ...[]netip.AddrPort) {
	objects := lo.Map(changed, func(obj core.Object, _ int) *wire.Object { return toWire(obj) })
	sum := lo.SumBy(objects, size)
	for _, addr := range lo.Flatten(targets) {
		box, busy := o.outbox[addr]
		switch {
		case !busy:
			o.outbox[addr] = &outbox{}
			o.send(addr, objects)
		case box.size+sum > maxPending:
			meter.Event("control_pushes_dropped")
		default:
			box.pending = append(box.pending, objects...)
			box.size += sum
		}
	}
}

func (o *owner) send(addr netip.AddrPort, objects []*wire.Object) {
	n, ctx := o.n, o.ctx
	n.tasks.Go(func() {
		select {
		case n.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		if err := n.pushTo(ctx, addr, objects); err != nil {
			meter.Event("control_pushes_failed")
		}
		<-n.slots
		_ = n.do(ctx, func(o *owner) {
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
	peer := n.Peers.Peer(addr)
	for _, batch := range batches(objects, n.MaxMessage) {
		ctx, cancel := context.WithTimeout(ctx, n.CallTimeout)
		_, err := peer.Push(ctx, &wire.PushRequest{Objects: batch, Zone: n.Self.Zone})
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}
