package claim

import (
	"context"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"parsleyroute.example/core"
	"parsleyroute.example/core/wire"
)

// State tells what a caller of a key gets.
type State int

// The states.
const (
	// StateNone: the key has no claim; Open may create one.
	StateNone State = iota
	// StateAnswer: the key has run, and Found.Answer is its answer.
	StateAnswer
	// StateWait: the attempt has begun, or its agent does not answer.
	StateWait
	// StateAbsent: the agent has not seen the attempt. The entry that holds the
	// claim may be about to dispatch it.
	StateAbsent
	// StateFree: the attempt never ran and never will; Move may start another.
	StateFree
	// StateUnknown: nobody can tell whether the attempt has run. It stays so.
	StateUnknown
	// StateConflict: the key was used with another request.
	StateConflict
)

// Found is what Lookup and Await found.
type Found struct {
	State State
	// Held is the claim; nil in StateNone.
	Held *Held
	// Answer is set in StateAnswer.
	Answer *wire.Answer
}

// Refusal returns what the caller is told in states without an answer to pass
// on, and nil in the other states. An answer that was too long to be recorded
// is refused with run "yes".
func (f *Found) Refusal() *core.Refusal {
	switch f.State {
	case StateAnswer:
		if f.Answer.GetTruncated() {
			return &core.Refusal{Reason: core.ReasonAnswerNotRecorded, Message: "the request has run; its answer was too long to be recorded", Execution: core.Executed}
		}
	case StateConflict:
		return core.NewRefusal(core.ReasonClaimConflict, "the key was used with another request")
	case StateUnknown:
		return &core.Refusal{Reason: core.ReasonUpstreamLost, Message: "the upstream's agent was lost during the request", Execution: core.ExecutionUnknown}
	case StateWait, StateAbsent:
		return &core.Refusal{Reason: core.ReasonClaimPending, Message: "an earlier request with the key has not ended", Execution: core.ExecutionUnknown, RetryAfter: time.Second}
	}
	return nil
}

// Lookup tells what a caller gets whose key may have a claim. It fails with a
// *core.Refusal if the store cannot be used; run is then "unknown", because an
// earlier request with the key may have run.
func (c *Claims) Lookup(ctx context.Context, r Request) (*Found, error) {
	f, err := c.read(ctx, r)
	if err != nil || f.State != StateWait {
		return f, err
	}
	agent, err := netip.ParseAddrPort(f.Held.Claim.GetAgent())
	if err != nil {
		f.State = StateUnknown
		return f, nil
	}
	res, err := c.Agents.Query(ctx, agent, f.Held.Attempt())
	if err != nil {
		return f, nil
	}
	switch res.GetState() {
	case wire.AttemptState_ATTEMPT_STATE_ABSENT:
		f.State = StateAbsent
	case wire.AttemptState_ATTEMPT_STATE_TOMBSTONE:
		f.State = StateFree
	case wire.AttemptState_ATTEMPT_STATE_DONE:
		f.conclude(res.GetAnswer())
	case wire.AttemptState_ATTEMPT_STATE_UNKNOWN:
		// The agent's earlier incarnation may have written the outcome after
		// the claim was read and before it ended.
		if f, err = c.read(ctx, r); err == nil && f.State == StateWait {
			f.State = StateUnknown
		}
		return f, err
	}
	return f, nil
}

// read returns what the store alone tells; StateWait stands for a claim that is
// open.
func (c *Claims) read(ctx context.Context, r Request) (*Found, error) {
	name := Name(r.Service, r.Team, r.Key)
	obj, err := c.Store.Get(ctx, core.Key{Kind: core.KindClaim, Name: name})
	if trace.IsNotFound(err) {
		return &Found{State: StateNone}, nil
	}
	if err != nil {
		return nil, &core.Refusal{Reason: core.ReasonStoreUnavailable, Message: "the claim could not be read: " + err.Error(), Execution: core.ExecutionUnknown}
	}
	claim := &wire.Claim{}
	if err := proto.Unmarshal(obj.Value, claim); err != nil {
		return nil, &core.Refusal{Reason: core.ReasonBadRequest, Message: "the claim could not be decoded: " + err.Error(), Execution: core.ExecutionUnknown}
	}
	f := &Found{State: StateWait, Held: &Held{Name: name, Version: obj.Version, Claim: claim}}
	switch {
	case claim.GetBodyHash() != r.BodyHash:
		f.State = StateConflict
	case claim.GetState() == wire.ClaimState_CLAIM_STATE_DONE:
		f.conclude(claim.GetAnswer())
	}
	return f, nil
}

// conclude takes the outcome of an attempt that has ended. An outcome without
// an answer means that the upstream may or may not have run it.
func (f *Found) conclude(answer *wire.Answer) {
	f.State, f.Answer = StateAnswer, answer
	if answer == nil {
		f.State = StateUnknown
	}
}

// Await looks at the claim until a caller can get more than a wait, or ctx ends.
// A claim whose attempt has not reached its agent is returned as StateAbsent
// after it has been so for Grace; Move then takes it over, which is safe even if
// the first entry is only slow. Failed reads are repeated; when ctx ends, the
// last result is returned.
func (c *Claims) Await(ctx context.Context, r Request) (*Found, error) {
	poll, grace := c.Poll, c.Grace
	if poll <= 0 {
		poll = 100 * time.Millisecond
	}
	if grace <= 0 {
		grace = 2 * time.Second
	}
	var absent uint64
	var since time.Time
	for {
		f, err := c.Lookup(ctx, r)
		switch {
		case err != nil:
		case f.State == StateAbsent:
			now := c.Clock.Now()
			if absent != f.Held.Version {
				absent, since = f.Held.Version, now
			}
			if now.Sub(since) >= grace {
				return f, nil
			}
		case f.State != StateWait:
			return f, nil
		}
		if c.Clock.Sleep(ctx, poll) != nil {
			return f, err
		}
	}
}
