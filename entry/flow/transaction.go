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

// transaction is the state of one request until its response is complete.
type transaction struct {
	req       *Request
	queueItem *admit.Item
	record    *Record
	// attempts counts all dispatches of the request.
	attempts int
	// refusals counts the attempts that agents refused. For repeatable requests,
	// refusals by agents at their limit are counted in busyRefusals instead.
	refusals     int
	busyRefusals int
	// prefixHashes is valid once prefixesHashed is set.
	prefixHashes   []uint64
	prefixesHashed bool
	// excluded holds the names of upstreams that are not tried again.
	excluded map[string]bool
}

// Serve implements front.Handler.
func (r *Router) Serve(ctx context.Context, req *Request) (*Response, error) {
	t := &transaction{
		req: req,
		queueItem: &admit.Item{
			Team: req.Team.Name, Weight: req.Team.Weight, Priority: req.Priority,
			Deadline: req.Deadline,
		},
		record: &Record{
			ID: req.ID, Entry: r.Self.Name, Team: req.Team.Name, Service: req.Service.Name,
			Started: r.Clock.Now(), State: "running",
		},
		excluded: map[string]bool{},
	}
	r.journal.add(t.record)
	resp, err := r.serve(ctx, t)
	r.recordResult(t, resp, err)
	return resp, err
}

// queueClass identifies the set of upstreams that the request may use. If no slot
// is available for one request, the queue skips all requests of its class, so
// requests with different excluded upstreams must be in different classes.
func (t *transaction) queueClass() string {
	name := ""
	if t.req.Team.RoutedUpstreams != nil {
		name = "team/" + t.req.Team.Name
	}
	if len(t.excluded) == 0 {
		return name
	}
	names := lo.Keys(t.excluded)
	slices.Sort(names)
	return name + " without " + strings.Join(names, ",")
}

func (r *Router) serve(ctx context.Context, t *transaction) (*Response, error) {
	if err := r.Limiter.Allow(t.req.Team.Name); err != nil {
		if !t.req.Repeatable {
			err = RefusalBeforeLookup(t.req.IdempotencyKey, err)
		}
		return nil, err
	}
	if !t.req.Repeatable {
		return r.serveAtMostOnce(ctx, t)
	}
	return r.serveRepeatable(ctx, t)
}

// recordResult records the result of the request in the journal.
func (r *Router) recordResult(t *transaction, resp *Response, err error) {
	r.journal.update(t.record, func(rec *Record) {
		if err == nil {
			rec.State = "answered"
			rec.Status = resp.Status
			return
		}
		rec.State = "refused"
		if refusal, ok := core.AsRefusal(err); ok {
			rec.Reason, rec.Execution = refusal.Reason, refusal.Execution
		}
	})
}

func (r *Router) serveRepeatable(ctx context.Context, t *transaction) (*Response, error) {
	budget := r.Budgets.Get(t.req.Service.Name)
	budget.RecordFirstAttempt()
	for {
		slot, err := r.acquireSlot(ctx, t)
		if err != nil {
			return nil, err
		}
		resp, err := r.dispatch(ctx, t, slot, nil)
		if err == nil {
			return resp, nil
		}
		slot.release()
		if ctx.Err() != nil {
			return nil, core.NewRefusal(core.ReasonCanceled, "the caller disconnected")
		}
		if err := r.checkRetry(ctx, t, slot, err, budget); err != nil {
			return nil, err
		}
	}
}

// retryBudget limits the retries of a service.
type retryBudget interface{ TakeRetry() bool }

// checkRetry returns nil if the request may be dispatched again, and otherwise
// the error for the caller.
func (r *Router) checkRetry(ctx context.Context, t *transaction, slot *upstreamSlot, err error, budget retryBudget) error {
	refusal := r.recordFailure(t, slot, err)
	if refusal.Reason == core.ReasonUpstreamBusy && refusal.Execution == core.NotExecuted {
		t.busyRefusals++
		meter.Retry(refusal.Reason)
		return nil
	}
	if refusal.Execution == core.NotExecuted {
		if t.refusals++; t.refusals >= maxRefusals {
			return refusal
		}
		meter.Retry(refusal.Reason)
		if r.Clock.Sleep(ctx, refusalRetryDelay) != nil {
			return core.NewRefusal(core.ReasonCanceled, "the caller disconnected")
		}
		return nil
	}
	t.excluded[slot.upstream.Name] = true
	if refusal.Reason == core.ReasonDeadline || t.attempts-t.refusals-t.busyRefusals >= maxAttempts {
		return refusal
	}
	if !budget.TakeRetry() {
		meter.Event("retry_budget_spent")
		return refusal
	}
	meter.Retry(refusal.Reason)
	return nil
}

// recordFailure converts err to a refusal, updates the state of the link and
// records the failure in the journal.
func (r *Router) recordFailure(t *transaction, slot *upstreamSlot, err error) *core.Refusal {
	refusal := asRefusal(err)
	if _, ok := core.AsRefusal(err); !ok {
		slot.link.MarkUnreachable()
	}
	if refusal.Reason == core.ReasonUpstreamBusy {
		slot.link.MarkFull()
	}
	r.journal.update(t.record, func(rec *Record) {
		last := &rec.Attempts[len(rec.Attempts)-1]
		last.Outcome = refusal.Reason
		last.Detail = err.Error()
	})
	return refusal
}

// newDispatch returns the dispatch message of the next attempt and counts the
// attempt.
func (r *Router) newDispatch(t *transaction, slot *upstreamSlot) *wire.Dispatch {
	t.attempts++
	d := &wire.Dispatch{
		Attempt:        &wire.Attempt{RequestId: t.req.ID, Number: uint32(t.attempts)},
		Entry:          r.Self.Name,
		Service:        t.req.Service.Name,
		Team:           t.req.Team.Name,
		Upstream:       slot.upstream.Name,
		Method:         t.req.Method,
		Path:           t.req.Path,
		Headers:        codec.HeadersToWire(t.req.Headers),
		Priority:       uint32(t.req.Priority),
		Repeatable:     t.req.Repeatable,
		IdempotencyKey: t.req.IdempotencyKey,
	}
	if !t.req.Deadline.IsZero() {
		remaining := t.req.Deadline.Sub(r.Clock.Now())
		d.TimeoutMs = uint64(max(remaining, time.Millisecond).Milliseconds())
	}
	return d
}
