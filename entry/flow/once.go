package flow

import (
	"context"
	"crypto/rand"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/conn/links"
	"parsleyroute.example/core/conn/pool"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/request/claim"
	"parsleyroute.example/core/request/codec"
	"parsleyroute.example/core/wire"
)

// maxOutcomeWait is the maximum time to wait for the outcome of an attempt whose
// end this entry has not seen.
const maxOutcomeWait = 15 * time.Second

// AgentClient sends requests about attempts to agents over the entry's links. It
// implements claim.Agents.
type AgentClient struct {
	Links *pool.Keyed[netip.AddrPort, *links.Link]
}

// Query implements claim.Agents.
func (a AgentClient) Query(ctx context.Context, agent netip.AddrPort, attempt *wire.Attempt) (*wire.AttemptResponse, error) {
	return a.Links.Get(agent).Query(ctx, attempt)
}

// Tombstone implements claim.Agents.
func (a AgentClient) Tombstone(ctx context.Context, agent netip.AddrPort, attempt *wire.Attempt) (*wire.AttemptResponse, error) {
	return a.Links.Get(agent).Tombstone(ctx, attempt)
}

// atMostOnce serves one non-repeatable request such that it runs at most once.
type atMostOnce struct {
	router *Router
	tx     *transaction
	claim  claim.Request
	// hasCallerKey is set if the caller sent the idempotency key. An earlier call
	// with the same key may then have run.
	hasCallerKey bool
	// snapshot is the last known state of the claim; nil if it is not known to
	// exist.
	snapshot *claim.Snapshot
	// notRun is set if the attempt in snapshot has not run and never will.
	notRun bool
}

func (r *Router) serveAtMostOnce(ctx context.Context, t *transaction) (*Response, error) {
	o := &atMostOnce{router: r, tx: t, hasCallerKey: t.req.IdempotencyKey != ""}
	if !o.hasCallerKey {
		t.req.IdempotencyKey = rand.Text()
	}
	o.claim = claim.Request{
		Service: t.req.Service.Name, Team: t.req.Team.Name, Key: t.req.IdempotencyKey, RequestID: t.req.ID,
		BodyHash: claim.Hash(t.req.Method, t.req.Path, t.req.Body),
	}
	resp, err := o.serve(ctx)
	if err != nil {
		return o.resolveRefusal(ctx, err)
	}
	return resp, nil
}

func (o *atMostOnce) serve(ctx context.Context) (*Response, error) {
	if o.hasCallerKey {
		result, err := o.router.Claims.Lookup(ctx, o.claim)
		if err != nil {
			return nil, err
		}
		if resp, err := o.handleLookup(ctx, result); resp != nil || err != nil {
			return resp, err
		}
	}
	for {
		resp, err := o.attempt(ctx)
		if resp != nil || err != nil {
			return resp, err
		}
	}
}

// handleLookup handles the result of a lookup. If it returns neither a response
// nor an error, the request may be attempted.
func (o *atMostOnce) handleLookup(ctx context.Context, result *claim.LookupResult) (*Response, error) {
	if result.State == claim.StatePending || result.State == claim.StateAbsent {
		return o.awaitOutcome(ctx)
	}
	return o.handleOutcome(result)
}

// awaitOutcome waits until an earlier attempt has ended. It returns the same as
// handleLookup.
func (o *atMostOnce) awaitOutcome(ctx context.Context) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, o.outcomeWait())
	defer cancel()
	result, err := o.router.Claims.Await(ctx, o.claim)
	if err != nil {
		return nil, err
	}
	return o.handleOutcome(result)
}

// outcomeWait returns the maximum time to wait for an earlier attempt.
func (o *atMostOnce) outcomeWait() time.Duration {
	if o.tx.req.Deadline.IsZero() {
		return maxOutcomeWait
	}
	return min(maxOutcomeWait, o.tx.req.Deadline.Sub(o.router.Clock.Now()))
}

// handleOutcome handles the state of a claim whose attempt is not in progress. It
// returns the same as handleLookup.
func (o *atMostOnce) handleOutcome(result *claim.LookupResult) (*Response, error) {
	o.snapshot = result.Snapshot
	o.notRun = result.State == claim.StateNotRun
	switch result.State {
	case claim.StateNoClaim, claim.StateNotRun:
		return nil, nil
	case claim.StateAbsent:
		// Await has given the other entry the time to dispatch its attempt.
		// Reassign now gives the claim to a new attempt.
		return nil, nil
	}
	if refusal := result.Refusal(); refusal != nil {
		return nil, refusal
	}
	meter.Event("answer_repeated")
	return &Response{
		Status:  int(result.Answer.GetStatus()),
		Headers: codec.HeadersFromWire(result.Answer.GetHeaders()),
		Body:    result.Answer.GetBody(),
	}, nil
}

// attempt claims the request for one upstream and dispatches it. If it returns
// neither a response nor an error, the request may be attempted again.
func (o *atMostOnce) attempt(ctx context.Context) (*Response, error) {
	slot, err := o.router.acquireSlot(ctx, o.tx)
	if err != nil {
		return nil, err
	}
	if err := o.writeClaim(ctx, slot); err != nil {
		slot.release()
		return o.handleClaimError(ctx, slot, err)
	}
	o.notRun = false
	resp, err := o.router.dispatch(ctx, o.tx, slot, o.setAttempt)
	if err == nil {
		return resp, nil
	}
	slot.release()
	return o.handleDispatchError(ctx, slot, err)
}

// writeClaim writes the claim for an attempt at the upstream of the slot.
func (o *atMostOnce) writeClaim(ctx context.Context, slot *upstreamSlot) error {
	incarnation, err := slot.link.Incarnation(ctx)
	if err != nil {
		return err
	}
	target := claim.Target{Upstream: slot.upstream.Name, Agent: slot.upstream.Agent, Incarnation: incarnation}
	var snapshot *claim.Snapshot
	if o.snapshot == nil {
		snapshot, err = o.router.Claims.Open(ctx, o.claim, target)
	} else {
		snapshot, err = o.router.Claims.Reassign(ctx, o.snapshot, o.claim, target)
	}
	if err != nil {
		return err
	}
	o.snapshot = snapshot
	if !o.router.Clock.Now().Before(snapshot.DispatchBefore) {
		return core.NewRefusal(core.ReasonDeadline, "writing the claim took longer than the time limit for its dispatch")
	}
	return nil
}

// handleClaimError handles an error of writeClaim; nothing was dispatched. It
// returns the same as attempt.
func (o *atMostOnce) handleClaimError(ctx context.Context, slot *upstreamSlot, err error) (*Response, error) {
	refusal, ok := core.AsRefusal(err)
	switch {
	case trace.IsAlreadyExists(err), ok && refusal.Reason == core.ReasonClaimPending:
		return o.awaitOutcome(ctx)
	case ok:
		return nil, refusal
	}
	return nil, o.checkRetry(ctx, slot, core.NewRefusal(core.ReasonUpstreamLost, "the agent of the upstream is unreachable"))
}

// setAttempt sets the attempt of the claim in the dispatch message.
func (o *atMostOnce) setAttempt(d *wire.Dispatch) {
	d.Attempt = o.snapshot.Attempt()
}

// handleDispatchError handles the failure of a dispatched attempt. It returns the
// same as attempt.
func (o *atMostOnce) handleDispatchError(ctx context.Context, slot *upstreamSlot, err error) (*Response, error) {
	if ctx.Err() != nil {
		// The stream was closed because the caller disconnected. The agent
		// completes the attempt and records its outcome in the claim.
		return nil, &core.Refusal{Reason: core.ReasonCanceled, Execution: core.ExecutionUnknown, Message: "the caller disconnected"}
	}
	refusal := o.router.recordFailure(o.tx, slot, err)
	if refusal.Execution == core.NotExecuted {
		// Agents record a tombstone for each claimed dispatch that they refuse.
		o.notRun = true
		return nil, o.checkRetry(ctx, slot, refusal)
	}
	if _, err := o.router.Claims.Revoke(ctx, o.snapshot); err == nil {
		o.notRun = true
		return nil, o.checkRetry(ctx, slot, refusal)
	}
	return o.awaitOutcome(ctx)
}

// checkRetry returns nil if the request may be attempted again, and otherwise the
// error for the caller.
func (o *atMostOnce) checkRetry(ctx context.Context, slot *upstreamSlot, refusal *core.Refusal) error {
	t := o.tx
	if t.refusals++; t.refusals >= maxRefusals {
		return refusal
	}
	if refusal.Reason != core.ReasonUpstreamBusy {
		t.excluded[slot.upstream.Name] = true
	}
	meter.Retry(refusal.Reason)
	if o.router.Clock.Sleep(ctx, refusalRetryDelay) != nil {
		return core.NewRefusal(core.ReasonCanceled, "the caller disconnected")
	}
	return nil
}

// resolveRefusal returns the refusal for the caller with the correct execution
// state. The refusal of this call says nothing about earlier calls with the same
// key, so the claim is looked up again. If it has a recorded answer, that answer is
// returned instead.
func (o *atMostOnce) resolveRefusal(ctx context.Context, err error) (*Response, error) {
	refusal := *asRefusal(err)
	if o.notRun || refusal.Execution != core.NotExecuted || refusal.Reason == core.ReasonClaimConflict {
		return nil, &refusal
	}
	if o.snapshot == nil && !o.hasCallerKey {
		return nil, &refusal
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	result, err := o.router.Claims.Lookup(ctx, o.claim)
	if err != nil {
		refusal.Execution = core.ExecutionUnknown
		refusal.Message += "; an earlier request with the key may have run"
		return nil, &refusal
	}
	switch result.State {
	case claim.StateNoClaim, claim.StateNotRun:
		return nil, &refusal
	case claim.StateAnswered:
		return o.handleOutcome(result)
	}
	refusal.Execution = core.ExecutionUnknown
	return nil, &refusal
}

// RefusalBeforeLookup returns the refusal of a call whose idempotency key was not
// looked up. An earlier call with the key may have run, so the refusal does not
// state that the request has not run, unless the call itself is malformed. The key
// is not looked up, because refused callers could otherwise put load on the store.
func RefusalBeforeLookup(key string, err error) error {
	refusal, ok := core.AsRefusal(err)
	if !ok || key == "" || refusal.Execution != core.NotExecuted {
		return err
	}
	switch refusal.Reason {
	case core.ReasonNotReady, core.ReasonUnauthenticated, core.ReasonNotFound, core.ReasonRateLimited:
		c := *refusal
		c.Execution = core.ExecutionUnknown
		c.Message += "; an earlier request with the key may have run"
		return &c
	}
	return err
}

// asRefusal returns err as a refusal. An error of another type becomes a refusal
// with an unknown execution state, because it does not prove that the request has
// not run.
func asRefusal(err error) *core.Refusal {
	if r, ok := core.AsRefusal(err); ok {
		return r
	}
	return &core.Refusal{Reason: core.ReasonUpstreamLost, Execution: core.ExecutionUnknown, Message: "the request failed"}
}
