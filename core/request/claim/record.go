package claim

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"parsleyroute.example/core"
	"parsleyroute.example/core/wire"
)

// The minimum and maximum delays between two tries of Record. The maximum keeps
// the agents of a large fleet below the store's write rate when the store becomes
// available again.
const (
	minRecordDelay = 50 * time.Millisecond
	maxRecordDelay = 5 * time.Second
)

// Record writes the outcome of an attempt to its claim; agents call it. A nil
// answer means that the upstream may or may not have run the attempt. Record
// retries until the outcome is written. It returns trace.CompareFailed if the
// claim names another attempt, trace.NotFound if the claim has been removed,
// trace.BadParameter if the claim cannot be encoded or decoded, and
// trace.ConnectionProblem when ctx ends.
func (c *Claims) Record(ctx context.Context, attempt *wire.Attempt, answer *wire.Answer) error {
	answer = Truncate(answer)
	for delay := minRecordDelay; ; delay = min(2*delay, maxRecordDelay) {
		done, err := c.tryRecord(ctx, attempt, answer)
		if done {
			return err
		}
		if c.Clock.Sleep(ctx, delay) != nil {
			return trace.ConnectionProblem(err, "the outcome could not be written")
		}
	}
}

// tryRecord tries once to write the outcome. If the store's reply to a successful
// write is lost, the next try finds the outcome in the claim.
func (c *Claims) tryRecord(ctx context.Context, attempt *wire.Attempt, answer *wire.Answer) (done bool, err error) {
	obj, err := c.Store.Get(ctx, core.Key{Kind: core.KindClaim, Name: attempt.GetKey()})
	if err != nil {
		return trace.IsNotFound(err), err
	}
	claim := &wire.Claim{}
	if err := proto.Unmarshal(obj.Value, claim); err != nil {
		return true, trace.BadParameter("claim %s: %v", attempt.GetKey(), err)
	}
	if claim.GetRequestId() != attempt.GetRequestId() || claim.GetAttempt() != attempt.GetNumber() || claim.GetIncarnation() != attempt.GetIncarnation() {
		return true, trace.CompareFailed("claim %s belongs to another attempt", attempt.GetKey())
	}
	if claim.GetState() == wire.ClaimState_CLAIM_STATE_DONE {
		return true, nil
	}
	claim.State, claim.Answer = wire.ClaimState_CLAIM_STATE_DONE, answer
	value, err := proto.Marshal(claim)
	if err != nil {
		return true, trace.BadParameter("claim %s: %v", attempt.GetKey(), err)
	}
	obj.Value, obj.Writer, obj.Nonce = value, c.Writer, c.nonce()
	_, err = c.Store.Update(ctx, obj)
	return err == nil, err
}

// Truncate returns the answer in the form in which it is recorded. An answer
// larger than MaxAnswerBytes loses its body, and its headers if they are still
// too large, and is marked as truncated.
func Truncate(answer *wire.Answer) *wire.Answer {
	if answer == nil || proto.Size(answer) <= MaxAnswerBytes {
		return answer
	}
	truncated := &wire.Answer{Status: answer.GetStatus(), Headers: answer.GetHeaders(), Truncated: true}
	if proto.Size(truncated) > MaxAnswerBytes {
		truncated.Headers = nil
	}
	return truncated
}
