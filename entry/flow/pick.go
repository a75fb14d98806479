package flow

import (
	"context"
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/core/conn/links"
)

// place is an upstream with a reserved unit of the entry's credit.
type place struct {
	upstream   *core.UpstreamState
	link       *links.Link
	release    func()
	candidates int
}

// pick chooses among the upstreams that the request may use and reserves. It
// returns nil if none has credit.
func (r *Router) pick(t *trip) *place {
	// The latest table decides, not the one at the request's arrival: a zone
	// may have been taken out while the request waited.
	s := r.Table().Services[t.req.Service.Name]
	if s == nil {
		return nil
	}
	ups := r.upstreams(s)
	candidates := make([]core.Candidate, 0, len(ups))
	chosen := make([]*core.UpstreamState, 0, len(ups))
	for _, u := range ups {
		l := r.Links.Get(u.Agent)
		if t.avoid[u.Name] || !l.Usable() || t.req.Team.RoutedUpstreams != nil && !t.req.Team.RoutedUpstreams[u.Name] {
			continue
		}
		candidates = append(candidates, core.Candidate{
			Name: u.Name, Zone: u.Zone, Limit: u.Limit, OwnInflight: l.Inflight(), Load: l.Load(),
			Affinity: r.Prefix.Of(l.Name(), t),
		})
		chosen = append(chosen, u)
	}
	i := r.Picker.Pick(r.Clock.Now(), candidates)
	if i < 0 {
		return nil
	}
	l := r.Links.Get(chosen[i].Agent)
	return &place{upstream: chosen[i], link: l, release: l.Reserve(), candidates: len(candidates)}
}

// served reports whether any upstream that operators have not taken out may
// serve the request.
func (r *Router) served(req *Request) bool {
	s := r.Table().Services[req.Service.Name]
	if s == nil {
		return false
	}
	r.mu.Lock()
	ups := r.usable(s)
	r.mu.Unlock()
	for _, u := range ups {
		if req.Team.RoutedUpstreams == nil || req.Team.RoutedUpstreams[u.Name] {
			return true
		}
	}
	return false
}

// need returns the shortest service time that the service's upstreams report;
// zero if there are no reports.
func (r *Router) need(s *core.ServiceState) time.Duration {
	var least time.Duration
	for _, u := range r.upstreams(s) {
		if d := r.Links.Get(u.Agent).Load().ServiceTime; d > 0 && (least == 0 || d < least) {
			least = d
		}
	}
	return least
}

// take waits for a place.
func (r *Router) take(ctx context.Context, t *trip) (*place, error) {
	if !r.served(t.req) {
		refusal := core.NewRefusal(core.ReasonNoUpstream, "no upstream of the service is in use")
		refusal.RetryAfter = noUpstreamRetry
		return nil, refusal
	}
	var p *place
	q := r.queue(t.req.Service)
	t.item.TryAcquire = func() bool {
		p = r.pick(t)
		return p != nil
	}
	t.item.Class = t.class()
	t.item.MinServiceTime = r.need(t.req.Service)
	start := r.Clock.Now()
	if err := q.Wait(ctx, t.item); err != nil {
		return nil, err
	}
	free := p.release
	p.release = func() { free(); q.Grant() }
	r.journal.update(t.record, func(rec *Record) {
		// Of too many attempts the last one replaces the one before.
		rec.Attempts = append(rec.Attempts[:min(len(rec.Attempts), maxRecorded-1)], Attempt{
			Number: t.attempt + 1, Upstream: p.upstream.Name, Zone: p.upstream.Zone,
			Candidates: p.candidates, Waited: r.Clock.Now().Sub(start).String(),
		})
	})
	return p, nil
}
