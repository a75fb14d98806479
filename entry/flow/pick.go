package flow

import (
	"context"
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/core/conn/links"
)

// upstreamSlot is a reserved slot for one request at an upstream.
type upstreamSlot struct {
	upstream *core.UpstreamState
	link     *links.Link
	release  func()
	// candidateCount is the number of upstreams among which the picker chose.
	candidateCount int
}

// tryAcquireSlot picks one of the upstreams that the request may use and reserves
// a slot there. It returns nil if none has a free slot.
func (r *Router) tryAcquireSlot(t *transaction) *upstreamSlot {
	// Use the latest table instead of the one at the request's arrival: a zone
	// may have been taken out while the request was queued.
	s := r.Table().Services[t.req.Service.Name]
	if s == nil {
		return nil
	}
	subset := r.upstreamSubset(s)
	candidates := make([]core.Candidate, 0, len(subset))
	available := make([]*core.UpstreamState, 0, len(subset))
	for _, u := range subset {
		l := r.Links.Get(u.Agent)
		if t.excluded[u.Name] || !l.Usable() || t.req.Team.RoutedUpstreams != nil && !t.req.Team.RoutedUpstreams[u.Name] {
			continue
		}
		candidates = append(candidates, core.Candidate{
			Name: u.Name, Zone: u.Zone, Limit: u.Limit, OwnInflight: l.Inflight(), Load: l.Load(),
			Affinity: r.Affinity.PrefixShare(l.Name(), t),
		})
		available = append(available, u)
	}
	i := r.Picker.Pick(r.Clock.Now(), candidates)
	if i < 0 {
		return nil
	}
	l := r.Links.Get(available[i].Agent)
	return &upstreamSlot{upstream: available[i], link: l, release: l.Reserve(), candidateCount: len(candidates)}
}

// hasUsableUpstream reports whether the request may use any of the usable
// upstreams of its service.
func (r *Router) hasUsableUpstream(req *Request) bool {
	s := r.Table().Services[req.Service.Name]
	if s == nil {
		return false
	}
	r.mu.Lock()
	usable := r.usableUpstreams(s)
	r.mu.Unlock()
	for _, u := range usable {
		if req.Team.RoutedUpstreams == nil || req.Team.RoutedUpstreams[u.Name] {
			return true
		}
	}
	return false
}

// minServiceTime returns the shortest service time that the upstreams of the
// service report, or zero if there are no reports.
func (r *Router) minServiceTime(s *core.ServiceState) time.Duration {
	var shortest time.Duration
	for _, u := range r.upstreamSubset(s) {
		if d := r.Links.Get(u.Agent).Load().ServiceTime; d > 0 && (shortest == 0 || d < shortest) {
			shortest = d
		}
	}
	return shortest
}

// acquireSlot waits in the queue of the service until a slot is available.
func (r *Router) acquireSlot(ctx context.Context, t *transaction) (*upstreamSlot, error) {
	if !r.hasUsableUpstream(t.req) {
		refusal := core.NewRefusal(core.ReasonNoUpstream, "no upstream of the service may serve the request")
		refusal.RetryAfter = noUpstreamRetryAfter
		return nil, refusal
	}
	var slot *upstreamSlot
	q := r.queue(t.req.Service)
	t.queueItem.TryAcquire = func() bool {
		slot = r.tryAcquireSlot(t)
		return slot != nil
	}
	t.queueItem.Class = t.queueClass()
	t.queueItem.MinServiceTime = r.minServiceTime(t.req.Service)
	start := r.Clock.Now()
	if err := q.Wait(ctx, t.queueItem); err != nil {
		return nil, err
	}
	release := slot.release
	slot.release = func() { release(); q.Grant() }
	r.journal.update(t.record, func(rec *Record) {
		// In a full list the new attempt replaces the last one.
		rec.Attempts = append(rec.Attempts[:min(len(rec.Attempts), maxRecordedAttempts-1)], Attempt{
			Number: t.attempts + 1, Upstream: slot.upstream.Name, Zone: slot.upstream.Zone,
			Candidates: slot.candidateCount, Waited: r.Clock.Now().Sub(start).String(),
		})
	})
	return slot, nil
}
