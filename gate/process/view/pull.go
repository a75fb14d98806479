package view

import (
	"context"
	"net/netip"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/wire"
)

const (
	// pullDelay is how long a gate that watches the store waits for its own watch
	// to deliver the changes that a peer already knows.
	pullDelay = 120 * time.Millisecond
	// minPullInterval is the minimum time between the starts of two pulls.
	minPullInterval = 250 * time.Millisecond
	// maxLapse limits the time that a peer states for which entries may come back.
	maxLapse = 5 * time.Second
	// pullTimeout limits the duration of a pull.
	pullTimeout = 700 * time.Millisecond
)

// ObservePeer processes the revisions that the peer at addr knows. If this gate
// has been behind for some time, it pulls the changes from the peer.
func (v *View) ObservePeer(ctx context.Context, addr netip.AddrPort, known []*wire.KindRevision) {
	if !isAhead(known, v.KnownRevisions()) {
		return
	}
	v.enqueue(ctx, func() { v.pull(ctx, addr, known) })
}

// isAhead reports whether a has a later revision of any kind than b, or a later
// configuration.
func isAhead(a, b []*wire.KindRevision) bool {
	known := map[string]*wire.KindRevision{}
	for _, k := range b {
		known[k.GetKind()] = k
	}
	for _, k := range a {
		if other := known[k.GetKind()]; k.GetRevision() > other.GetRevision() || k.GetConfigVersion() > other.GetConfigVersion() {
			return true
		}
	}
	return false
}

// pull requests the missing changes from the peer at addr if this gate has been
// behind for long enough.
func (v *View) pull(ctx context.Context, addr netip.AddrPort, known []*wire.KindRevision) {
	now := time.Now()
	if !isAhead(known, v.KnownRevisions()) {
		return
	}
	if v.behindSince.IsZero() || now.Sub(v.behindSince) > 2*minPullInterval && now.Sub(v.lastPull) > 2*minPullInterval {
		// An old time without a recent pull belongs to an earlier lag. The delay
		// starts again, so that the watch has time to deliver these changes.
		v.behindSince = now
	}
	delay := pullDelay
	if !v.Watching() {
		delay = 0
	}
	if now.Sub(v.behindSince) < delay || v.pulling || now.Sub(v.lastPull) < minPullInterval {
		return
	}
	v.pulling, v.lastPull = true, now
	request := &wire.PullRequest{Known: v.KnownRevisions(), Packed: true}
	go func() {
		pctx, cancel := context.WithTimeout(ctx, pullTimeout)
		defer cancel()
		r, err := v.Pull(pctx, addr, request)
		took := time.Since(now)
		v.enqueue(ctx, func() { v.handlePullResponse(addr, r, err, took) })
	}()
}

func (v *View) handlePullResponse(addr netip.AddrPort, r *wire.PullResponse, err error, took time.Duration) {
	v.pulling = false
	v.behindSince = time.Time{}
	if err != nil {
		meter.Event("pull_errors")
		v.DecisionLog.Log("pull_failed", "peer", addr, "took", took, "error", err)
		return
	}
	for _, s := range r.GetStates() {
		k := v.kindStates[core.Kind(s.GetKind())]
		// The content of the configuration decides across eras, see kindState.replaces.
		if k == nil || s.GetRevision() <= k.revision && k.content == nil {
			continue
		}
		bytes := proto.Size(s)
		s, err := unpack(s)
		if err != nil {
			meter.Event("pull_errors")
			v.DecisionLog.Log("pull_failed", "peer", addr, "took", took, "error", err)
			continue
		}
		meter.Event("pulled")
		v.DecisionLog.Log("state_pulled", "kind", s.GetKind(), "peer", addr, "from", k.revision, "to", s.GetRevision(), "objects", len(s.GetObjects()), "complete", s.GetComplete(),
			"bytes", bytes, "took", took)
		revision := s.GetRevision()
		// The peer knows whether the store was away when it learned of a removal.
		lapse := min(time.Duration(r.GetLapseMs())*time.Millisecond, maxLapse)
		v.outage.Learn(time.Now(), lapse)
		v.apply(k.kind, objectsFromWire(s), revision, s.GetComplete(), addr.String(), lapse)
		k.revision = max(k.revision, revision)
		v.publishRevisions()
	}
}

// Server serves pulls of peers. It implements wire.Relay, the service of the wire
// format, which is unrelated to package relay.
type Server struct{ View *View }

// Pull returns the changes after the revisions in the request.
func (s Server) Pull(ctx context.Context, r *wire.PullRequest) (*wire.PullResponse, error) {
	known := map[string]*wire.KindRevision{}
	for _, k := range r.GetKnown() {
		known[k.GetKind()] = k
	}
	responses := make(chan *wire.PullResponse, 1)
	s.View.enqueue(ctx, func() {
		resp := &wire.PullResponse{LapseMs: uint32(s.View.outage.LapseTime(time.Now()).Milliseconds())}
		for _, kind := range kinds {
			k, since := s.View.kindStates[kind], known[string(kind)]
			later := kind == core.KindConfig && s.View.current.Config != nil && s.View.current.Config.Version > since.GetConfigVersion()
			if k.synced && (k.revision > since.GetRevision() || later) {
				delta := k.delta
				if r.GetPacked() {
					delta = k.packedDelta
				}
				resp.States = append(resp.States, delta(since.GetRevision()))
			}
		}
		responses <- resp
	})
	select {
	case resp := <-responses:
		return resp, nil
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.DeadlineExceeded, "the view did not answer in time")
	}
}
