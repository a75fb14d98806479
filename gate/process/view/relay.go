package view

import (
	"context"
	"net/netip"
	"time"

	"github.com/twitchtv/twirp"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/wire"
)

const (
	// pullPatience is how long a gate waits for its own watch once a peer is
	// known to know more, and pullPeriod the least time between two pulls.
	pullPatience = 120 * time.Millisecond
	pullPeriod   = 250 * time.Millisecond
	pullTimeout  = 700 * time.Millisecond
)

// ObservePeer takes note of what the peer at addr knows. A gate that has known less
// for some time, because its own watch lags, asks the peer.
func (v *View) ObservePeer(ctx context.Context, addr netip.AddrPort, known []*wire.KindRevision) {
	if !ahead(known, v.KnownRevisions()) {
		return
	}
	v.do(ctx, func() { v.pull(ctx, addr, known) })
}

// ahead reports whether a knows more of some kind than b.
func ahead(a, b []*wire.KindRevision) bool {
	mine := map[string]uint64{}
	for _, k := range b {
		mine[k.GetKind()] = k.GetRevision()
	}
	for _, k := range a {
		if k.GetRevision() > mine[k.GetKind()] {
			return true
		}
	}
	return false
}

// pull asks the peer at addr if the gate has been behind for long enough.
func (v *View) pull(ctx context.Context, addr netip.AddrPort, known []*wire.KindRevision) {
	now := time.Now()
	if !ahead(known, v.KnownRevisions()) {
		return
	}
	if v.behind.IsZero() || now.Sub(v.behind) > 2*pullPeriod && now.Sub(v.pulled) > 2*pullPeriod {
		// The first sign, or one after a time without any.
		v.behind = now
	}
	patience := pullPatience
	if !v.Watching() {
		patience = 0
	}
	if now.Sub(v.behind) < patience || v.pulling || now.Sub(v.pulled) < pullPeriod {
		return
	}
	v.pulling, v.pulled = true, now
	request := &wire.PullRequest{Known: v.KnownRevisions()}
	go func() {
		pctx, cancel := context.WithTimeout(ctx, pullTimeout)
		defer cancel()
		r, err := v.Pull(pctx, addr, request)
		v.do(ctx, func() { v.answered(addr, r, err) })
	}()
}

func (v *View) answered(addr netip.AddrPort, r *wire.PullResponse, err error) {
	v.pulling = false
	v.behind = time.Time{}
	if err != nil {
		meter.Event("pull_errors")
		v.Trail.Log("pull_failed", "peer", addr, "error", err)
		return
	}
	for _, s := range r.GetStates() {
		k := v.state[core.Kind(s.GetKind())]
		if k == nil || s.GetRevision() <= k.head {
			continue
		}
		meter.Event("pulled")
		v.Trail.Log("state_pulled", "kind", s.GetKind(), "peer", addr, "from", k.head, "to", s.GetRevision(), "objects", len(s.GetObjects()), "complete", s.GetComplete())
		head := s.GetRevision()
		v.apply(k.kind, fromWire(s), head, s.GetComplete(), addr.String())
		k.head = max(k.head, head)
		v.publishKnown()
	}
}

// Server answers the calls of peers. It implements wire.Relay.
type Server struct{ View *View }

// Pull implements wire.Relay.
func (s Server) Pull(ctx context.Context, r *wire.PullRequest) (*wire.PullResponse, error) {
	known := map[string]uint64{}
	for _, k := range r.GetKnown() {
		known[k.GetKind()] = k.GetRevision()
	}
	out := make(chan *wire.PullResponse, 1)
	s.View.do(ctx, func() {
		a := &wire.PullResponse{}
		for _, kind := range kinds {
			if k := s.View.state[kind]; k.synced && k.head > known[string(kind)] {
				a.States = append(a.States, k.wire(known[string(kind)]))
			}
		}
		out <- a
	})
	select {
	case a := <-out:
		return a, nil
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.DeadlineExceeded, "the view did not answer in time")
	}
}
