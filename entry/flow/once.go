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

// followFor bounds the wait for the outcome of an attempt that this entry did
// not see end.
const followFor = 15 * time.Second

// Agents asks agents about attempts over the entry's links. It implements
// claim.Agents.
type Agents struct {
	Links *pool.Keyed[netip.AddrPort, *links.Link]
}

// Query implements claim.Agents.
func (a Agents) Query(ctx context.Context, agent netip.AddrPort, attempt *wire.Attempt) (*wire.AttemptResponse, error) {
	return a.Links.Get(agent).Query(ctx, attempt)
}

// Tombstone implements claim.Agents.
func (a Agents) Tombstone(ctx context.Context, agent netip.AddrPort, attempt *wire.Attempt) (*wire.AttemptResponse, error) {
	return a.Links.Get(agent).Tombstone(ctx, attempt)
}

// once takes one non-idempotent request to at most one run.
type once struct {
	router *Router
	trip   *trip
	claim  claim.Request
	// keyed tells that the caller gave the key, so that an earlier call with it
	// may have run.
	keyed bool
	// held is the claim's last known state; nil if none was seen.
	held *claim.Snapshot
	// void tells that the attempt of held never ran and never will.
	void bool
}

func (r *Router) serveOnce(ctx context.Context, t *trip) (*Answer, error) {
	o := &once{router: r, trip: t, keyed: t.req.Key != ""}
	if !o.keyed {
		t.req.Key = rand.Text()
	}
	o.claim = claim.Request{
		Service: t.req.Service.Name, Team: t.req.Team.Name, Key: t.req.Key, RequestID: t.req.ID,
		BodyHash: claim.Hash(t.req.Method, t.req.Path, t.req.Body),
	}
	answer, err := o.run(ctx)
	if err != nil {
		return o.conclude(ctx, err)
	}
	return answer, nil
}

func (o *once) run(ctx context.Context) (*Answer, error) {
	if o.keyed {
		f, err := o.router.Claims.Lookup(ctx, o.claim)
		if err != nil {
			return nil, err
		}
		if answer, err := o.take(ctx, f); answer != nil || err != nil {
			return answer, err
		}
	}
	for {
		answer, err := o.attempt(ctx)
		if answer != nil || err != nil {
			return answer, err
		}
	}
}

// take acts on a claim that was looked up. Without an answer or an error, the
// request may be attempted.
func (o *once) take(ctx context.Context, f *claim.LookupResult) (*Answer, error) {
	if f.State == claim.StatePending || f.State == claim.StateAbsent {
		return o.follow(ctx)
	}
	return o.settled(f)
}

// follow waits until an earlier attempt has ended.
func (o *once) follow(ctx context.Context) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, o.patience())
	defer cancel()
	f, err := o.router.Claims.Await(ctx, o.claim)
	if err != nil {
		return nil, err
	}
	return o.settled(f)
}

// patience returns how long the caller can wait for an earlier attempt.
func (o *once) patience() time.Duration {
	if o.trip.req.Deadline.IsZero() {
		return followFor
	}
	return min(followFor, o.trip.req.Deadline.Sub(o.router.Clock.Now()))
}

func (o *once) settled(f *claim.LookupResult) (*Answer, error) {
	o.held = f.Snapshot
	o.void = f.State == claim.StateNotRun
	switch f.State {
	case claim.StateNoClaim, claim.StateNotRun:
		return nil, nil
	case claim.StateAbsent:
		// Await has given the first entry its time; Move takes over.
		return nil, nil
	}
	if refusal := f.Refusal(); refusal != nil {
		return nil, refusal
	}
	meter.Event("answer_repeated")
	return &Answer{
		Status:  int(f.Answer.GetStatus()),
		Headers: codec.HeadersFromWire(f.Answer.GetHeaders()),
		Body:    f.Answer.GetBody(),
	}, nil
}

// attempt claims the request for one upstream and dispatches it. Without an
// answer or an error, the request may be attempted again.
func (o *once) attempt(ctx context.Context) (*Answer, error) {
	p, err := o.router.take(ctx, o.trip)
	if err != nil {
		return nil, err
	}
	if err := o.open(ctx, p); err != nil {
		p.release()
		return o.notOpened(ctx, p, err)
	}
	o.void = false
	answer, err := o.router.dispatch(ctx, o.trip, p, o.address)
	if err == nil {
		return answer, nil
	}
	p.release()
	return o.failed(ctx, p, err)
}

// open writes the claim for the place.
func (o *once) open(ctx context.Context, p *place) error {
	incarnation, err := p.link.Incarnation(ctx)
	if err != nil {
		return err
	}
	to := claim.Target{Upstream: p.upstream.Name, Agent: p.upstream.Agent, Incarnation: incarnation}
	var held *claim.Snapshot
	if o.held == nil {
		held, err = o.router.Claims.Open(ctx, o.claim, to)
	} else {
		held, err = o.router.Claims.Reassign(ctx, o.held, o.claim, to)
	}
	if err != nil {
		return err
	}
	o.held = held
	if !o.router.Clock.Now().Before(held.DispatchBefore) {
		return core.NewRefusal(core.ReasonDeadline, "the claim was written too late to be used")
	}
	return nil
}

// notOpened decides what follows when nothing was dispatched.
func (o *once) notOpened(ctx context.Context, p *place, err error) (*Answer, error) {
	refusal, ok := core.AsRefusal(err)
	switch {
	case trace.IsAlreadyExists(err), ok && refusal.Reason == core.ReasonClaimPending:
		return o.follow(ctx)
	case ok:
		return nil, refusal
	}
	return nil, o.again(ctx, p, core.NewRefusal(core.ReasonUpstreamLost, "the agent of the upstream was lost"))
}

// address completes the dispatch of a claimed attempt.
func (o *once) address(d *wire.Dispatch) {
	d.Attempt = o.held.Attempt()
}

// failed decides what follows when a dispatched attempt gave no answer.
func (o *once) failed(ctx context.Context, p *place, err error) (*Answer, error) {
	if ctx.Err() != nil {
		// The stream was closed because the caller went away. The agent runs
		// the attempt to its end, and the claim gets its outcome.
		return nil, &core.Refusal{Reason: core.ReasonCanceled, Execution: core.ExecutionUnknown, Message: "the caller went away"}
	}
	refusal := o.router.noteFailure(o.trip, p, err)
	if refusal.Execution == core.NotExecuted {
		// Agents leave a tombstone for each claimed dispatch that they refuse.
		o.void = true
		return nil, o.again(ctx, p, refusal)
	}
	if _, err := o.router.Claims.Revoke(ctx, o.held); err == nil {
		o.void = true
		return nil, o.again(ctx, p, refusal)
	}
	return o.follow(ctx)
}

// again returns nil if the request may be attempted again.
func (o *once) again(ctx context.Context, p *place, refusal *core.Refusal) error {
	t := o.trip
	if t.refused++; t.refused >= maxRefused {
		return refusal
	}
	if refusal.Reason != core.ReasonUpstreamBusy {
		t.avoid[p.upstream.Name] = true
	}
	meter.Retry(refusal.Reason)
	if o.router.Clock.Sleep(ctx, refusedPause) != nil {
		return core.NewRefusal(core.ReasonCanceled, "the caller went away")
	}
	return nil
}

// conclude makes the refusal's run true. A refusal of this call says nothing
// about earlier calls with the key, so the claim is looked up once more.
func (o *once) conclude(ctx context.Context, err error) (*Answer, error) {
	refusal := *asRefusal(err)
	if o.void || refusal.Execution != core.NotExecuted || refusal.Reason == core.ReasonClaimConflict {
		return nil, &refusal
	}
	if o.held == nil && !o.keyed {
		return nil, &refusal
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	f, err := o.router.Claims.Lookup(ctx, o.claim)
	if err != nil {
		refusal.Execution = core.ExecutionUnknown
		refusal.Message += "; an earlier request with the key may have run"
		return nil, &refusal
	}
	switch f.State {
	case claim.StateNoClaim, claim.StateNotRun:
		return nil, &refusal
	case claim.StateAnswered:
		return o.settled(f)
	}
	refusal.Execution = core.ExecutionUnknown
	return nil, &refusal
}

// Unproven returns the refusal of a call whose idempotency key was not looked
// up. An earlier call with the key may have run, so it does not say otherwise,
// unless the call itself is malformed. Looking the key up would let callers that
// are refused put load on the store.
func Unproven(key string, err error) error {
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

// asRefusal gives a failure its type. A failure of unknown kind is never
// reported as not run.
func asRefusal(err error) *core.Refusal {
	if r, ok := core.AsRefusal(err); ok {
		return r
	}
	return &core.Refusal{Reason: core.ReasonUpstreamLost, Execution: core.ExecutionUnknown, Message: "the request failed"}
}
