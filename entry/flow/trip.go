package flow

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/request/admit"
	"parsleyroute.example/core/request/codec"
	"parsleyroute.example/core/wire"
)

// trip is the state of one request on its way.
type trip struct {
	req     *Request
	item    *admit.Item
	record  *Record
	attempt int
	// refused and busy count the attempts that agents refused, busy those that
	// full agents refused of a repeatable request.
	refused int
	busy    int
	// chain has the hashes of the prompt's prefixes once hashed is set.
	chain  []uint64
	hashed bool
	// avoid holds the upstreams that failed the request.
	avoid map[string]bool
}

// Serve implements front.Handler.
func (r *Router) Serve(ctx context.Context, req *Request) (*Answer, error) {
	t := &trip{
		req: req,
		item: &admit.Item{
			Team: req.Team.Name, Weight: req.Team.Weight, Priority: req.Priority,
			Deadline: req.Deadline,
		},
		record: &Record{
			ID: req.ID, Entry: r.Self.Name, Team: req.Team.Name, Service: req.Service.Name,
			Started: r.Clock.Now(), State: "running",
		},
		avoid: map[string]bool{},
	}
	r.journal.begin(t.record)
	answer, err := r.serve(ctx, t)
	r.finish(t, answer, err)
	return answer, err
}

// class names the set of upstreams that the request may use. A request that
// avoids upstreams which failed it must not decide for the others.
func (t *trip) class() string {
	name := ""
	if t.req.Team.Routed != nil {
		name = "team/" + t.req.Team.Name
	}
	if len(t.avoid) == 0 {
		return name
	}
	avoid := lo.Keys(t.avoid)
	slices.Sort(avoid)
	return name + " without " + strings.Join(avoid, ",")
}

func (r *Router) serve(ctx context.Context, t *trip) (*Answer, error) {
	if err := r.Limiter.Allow(t.req.Team.Name); err != nil {
		if !t.req.Repeatable {
			err = Unproven(t.req.Key, err)
		}
		return nil, err
	}
	if !t.req.Repeatable {
		return r.serveOnce(ctx, t)
	}
	return r.serveRepeatable(ctx, t)
}

func (r *Router) finish(t *trip, answer *Answer, err error) {
	r.journal.update(t.record, func(rec *Record) {
		if err == nil {
			rec.State = "answered"
			rec.Status = answer.Status
			return
		}
		rec.State = "refused"
		if refusal, ok := core.AsRefusal(err); ok {
			rec.Reason, rec.Run = refusal.Reason, refusal.Run
		}
	})
}

func (r *Router) serveRepeatable(ctx context.Context, t *trip) (*Answer, error) {
	budget := r.Budgets.Of(t.req.Service.Name)
	budget.First()
	for {
		p, err := r.take(ctx, t)
		if err != nil {
			return nil, err
		}
		answer, err := r.dispatch(ctx, t, p, nil)
		if err == nil {
			return answer, nil
		}
		p.release()
		if ctx.Err() != nil {
			return nil, core.Refuse(core.ReasonCanceled, "the caller went away")
		}
		if err := r.mayRetry(ctx, t, p, err, budget); err != nil {
			return nil, err
		}
	}
}

// budgeter is a retry budget.
type budgeter interface{ Take() bool }

// mayRetry returns nil if the request may be dispatched again, and otherwise
// the error for the caller.
func (r *Router) mayRetry(ctx context.Context, t *trip, p *place, err error, budget budgeter) error {
	refusal := r.noteFailure(t, p, err)
	if refusal.Reason == core.ReasonUpstreamBusy && refusal.Run == core.RunNo {
		t.busy++
		meter.Retry(refusal.Reason)
		return nil
	}
	if refusal.Run == core.RunNo {
		if t.refused++; t.refused >= maxRefused {
			return refusal
		}
		meter.Retry(refusal.Reason)
		if r.Clock.Sleep(ctx, refusedPause) != nil {
			return core.Refuse(core.ReasonCanceled, "the caller went away")
		}
		return nil
	}
	t.avoid[p.upstream.Name] = true
	if refusal.Reason == core.ReasonDeadline || t.attempt-t.refused-t.busy >= maxAttempts {
		return refusal
	}
	if !budget.Take() {
		meter.Event("retry_budget_spent")
		return refusal
	}
	meter.Retry(refusal.Reason)
	return nil
}

// noteFailure gives the failure a type and records it in the journal.
func (r *Router) noteFailure(t *trip, p *place, err error) *core.Refusal {
	refusal := asRefusal(err)
	if _, ok := core.AsRefusal(err); !ok {
		p.link.MarkUnreachable()
	}
	if refusal.Reason == core.ReasonUpstreamBusy {
		p.link.MarkFull()
	}
	r.journal.update(t.record, func(rec *Record) {
		last := &rec.Attempts[len(rec.Attempts)-1]
		last.Outcome = refusal.Reason
		last.Detail = err.Error()
	})
	return refusal
}

// message builds the dispatch of the next attempt.
func (r *Router) message(t *trip, p *place) *wire.Dispatch {
	t.attempt++
	d := &wire.Dispatch{
		Attempt:        &wire.Attempt{RequestId: t.req.ID, Number: uint32(t.attempt)},
		Entry:          r.Self.Name,
		Service:        t.req.Service.Name,
		Team:           t.req.Team.Name,
		Upstream:       p.upstream.Name,
		Method:         t.req.Method,
		Path:           t.req.Path,
		Headers:        codec.HeadersToWire(t.req.Headers),
		Priority:       uint32(t.req.Priority),
		Repeatable:     t.req.Repeatable,
		IdempotencyKey: t.req.Key,
	}
	if !t.req.Deadline.IsZero() {
		left := t.req.Deadline.Sub(r.Clock.Now())
		d.TimeoutMs = uint64(max(left, time.Millisecond).Milliseconds())
	}
	return d
}
