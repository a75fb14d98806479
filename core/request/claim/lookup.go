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

// State is the state of a claim for a caller with the same key.
type State int

// The states.
const (
	// StateNoClaim: the key has no claim; Open may create one.
	StateNoClaim State = iota
	// StateAnswered: the request has run, and LookupResult.Answer is the recorded
	// response.
	StateAnswered
	// StatePending: the attempt has begun, or its agent does not respond.
	StatePending
	// StateAbsent: the agent has not received the attempt. The entry that wrote
	// the claim may be about to dispatch it.
	StateAbsent
	// StateNotRun: the attempt has not run and never will; Reassign may start
	// another one.
	StateNotRun
	// StateUnknown: it cannot be determined whether the attempt has run. This
	// state is final.
	StateUnknown
	// StateConflict: the key was used with a different request.
	StateConflict
)

// LookupResult is the result of Lookup and Await.
type LookupResult struct {
	State State
	// Snapshot is the claim; nil in StateNoClaim.
	Snapshot *Snapshot
	// Answer is the recorded response in StateAnswered.
	Answer *wire.Answer
}

// Refusal returns the refusal for the caller, or nil if there is a recorded
// response or the request may be attempted. If the response was too long to be
// recorded, the refusal has core.Executed.
func (r *LookupResult) Refusal() *core.Refusal {
	switch r.State {
	case StateAnswered:
		if r.Answer.GetTruncated() {
			return &core.Refusal{Reason: core.ReasonAnswerNotRecorded, Message: "the request has run; its response was too long to be recorded", Execution: core.Executed}
		}
	case StateConflict:
		return core.NewRefusal(core.ReasonClaimConflict, "the key was used with a different request")
	case StateUnknown:
		return &core.Refusal{Reason: core.ReasonUpstreamLost, Message: "the agent of the upstream was lost during the request", Execution: core.ExecutionUnknown}
	case StatePending, StateAbsent:
		return &core.Refusal{Reason: core.ReasonClaimPending, Message: "an earlier request with the same key has not ended", Execution: core.ExecutionUnknown, RetryAfter: time.Second}
	}
	return nil
}

// Lookup returns the state of the claim of r's key. If the claim cannot be read,
// it returns a *core.Refusal with core.ExecutionUnknown, because an earlier request
// with the same key may have run.
func (c *Claims) Lookup(ctx context.Context, r Request) (*LookupResult, error) {
	result, err := c.readClaim(ctx, r)
	if err != nil || result.State != StatePending {
		return result, err
	}
	agent, err := netip.ParseAddrPort(result.Snapshot.Claim.GetAgent())
	if err != nil {
		result.State = StateUnknown
		return result, nil
	}
	res, err := c.Agents.Query(ctx, agent, result.Snapshot.Attempt())
	if err != nil {
		return result, nil
	}
	switch res.GetState() {
	case wire.AttemptState_ATTEMPT_STATE_ABSENT:
		result.State = StateAbsent
	case wire.AttemptState_ATTEMPT_STATE_TOMBSTONE:
		result.State = StateNotRun
	case wire.AttemptState_ATTEMPT_STATE_DONE:
		result.setOutcome(res.GetAnswer())
	case wire.AttemptState_ATTEMPT_STATE_UNKNOWN:
		// Before it ended, the agent's earlier incarnation may have written the
		// outcome after the claim was read.
		if result, err = c.readClaim(ctx, r); err == nil && result.State == StatePending {
			result.State = StateUnknown
		}
		return result, err
	}
	return result, nil
}

// readClaim returns the state according to the store alone. For a claim without an
// outcome it is StatePending.
func (c *Claims) readClaim(ctx context.Context, r Request) (*LookupResult, error) {
	name := Name(r.Service, r.Team, r.Key)
	obj, err := c.Store.Get(ctx, core.Key{Kind: core.KindClaim, Name: name})
	if trace.IsNotFound(err) {
		return &LookupResult{State: StateNoClaim}, nil
	}
	if err != nil {
		return nil, &core.Refusal{Reason: core.ReasonStoreUnavailable, Message: "the claim could not be read: " + err.Error(), Execution: core.ExecutionUnknown}
	}
	claim := &wire.Claim{}
	if err := proto.Unmarshal(obj.Value, claim); err != nil {
		return nil, &core.Refusal{Reason: core.ReasonBadRequest, Message: "the claim could not be decoded: " + err.Error(), Execution: core.ExecutionUnknown}
	}
	result := &LookupResult{State: StatePending, Snapshot: &Snapshot{Name: name, Version: obj.Version, Claim: claim}}
	switch {
	case claim.GetBodyHash() != r.BodyHash:
		result.State = StateConflict
	case claim.GetState() == wire.ClaimState_CLAIM_STATE_DONE:
		result.setOutcome(claim.GetAnswer())
	}
	return result, nil
}

// setOutcome sets the state for an attempt that has ended. If answer is nil, the
// upstream may or may not have run the attempt.
func (r *LookupResult) setOutcome(answer *wire.Answer) {
	r.State, r.Answer = StateAnswered, answer
	if answer == nil {
		r.State = StateUnknown
	}
}

// Await polls the claim until its state is no longer StatePending, or ctx ends. It
// returns StateAbsent only after the claim has been in that state for Grace;
// Reassign may then be called, which is safe even if the first entry is only
// slow. Failed lookups are retried. When ctx ends, Await returns the last result.
func (c *Claims) Await(ctx context.Context, r Request) (*LookupResult, error) {
	poll, grace := c.PollInterval, c.Grace
	if poll <= 0 {
		poll = 100 * time.Millisecond
	}
	if grace <= 0 {
		grace = 2 * time.Second
	}
	var absentVersion uint64
	var absentSince time.Time
	for {
		result, err := c.Lookup(ctx, r)
		switch {
		case err != nil:
		case result.State == StateAbsent:
			now := c.Clock.Now()
			if absentVersion != result.Snapshot.Version {
				absentVersion, absentSince = result.Snapshot.Version, now
			}
			if now.Sub(absentSince) >= grace {
				return result, nil
			}
		case result.State != StatePending:
			return result, nil
		}
		if c.Clock.Sleep(ctx, poll) != nil {
			return result, err
		}
	}
}
