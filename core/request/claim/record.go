package claim

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"parsleyroute.example/core"
	"parsleyroute.example/core/wire"
)

// The pauses between two tries of Record. The upper bound keeps the agents of a
// large fleet below the store's write rate when it comes back.
const (
	recordPause    = 50 * time.Millisecond
	recordPauseMax = 5 * time.Second
)

// Record writes the outcome of an attempt to its claim; agents call it. A nil
// answer means that the upstream may or may not have run the attempt. It tries
// until the outcome is written. It gives up with trace.CompareFailed if the
// claim is no longer this attempt's, with trace.NotFound if it has been removed,
// and with trace.ConnectionProblem when ctx ends.
func (c *Claims) Record(ctx context.Context, attempt *wire.Attempt, answer *wire.Answer) error {
	answer = Truncate(answer)
	for wait := recordPause; ; wait = min(2*wait, recordPauseMax) {
		done, err := c.record(ctx, attempt, answer)
		if done {
			return err
		}
		if c.Clock.Sleep(ctx, wait) != nil {
			return trace.ConnectionProblem(err, "the outcome was not written")
		}
	}
}

// record makes one try. An outcome whose answer was lost shows in the next one.
func (c *Claims) record(ctx context.Context, attempt *wire.Attempt, answer *wire.Answer) (done bool, err error) {
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

// Truncate returns the answer as it is recorded: without its body, and marked as
// truncated, if it is longer than MaxAnswer.
func Truncate(answer *wire.Answer) *wire.Answer {
	if answer == nil || proto.Size(answer) <= MaxAnswerBytes {
		return answer
	}
	short := &wire.Answer{Status: answer.GetStatus(), Headers: answer.GetHeaders(), Truncated: true}
	if proto.Size(short) > MaxAnswerBytes {
		short.Headers = nil
	}
	return short
}
