package relay

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/gate/process/fleet"
)

// notReadyRetryAfter is the Retry-After time while the gate has just started and has
// no configuration, and for a route without a pool.
const notReadyRetryAfter = 300 * time.Millisecond

// memoryRetryAfter is the Retry-After time of a request for whose body the gate has no
// memory. Bodies that are being sent take about that long.
const memoryRetryAfter = 300 * time.Millisecond

// respondUnavailable writes the final response of a request that got no upstream.
func (t *transaction) respondUnavailable(ctx context.Context, err error) {
	if t.inbound.Context().Err() != nil {
		t.abortCallerDisconnected()
		return
	}
	if t.errorResponse != nil && !t.inbound.HeaderWritten() {
		t.forwardResponse(t.errorResponse)
		return
	}
	reason, message := core.ReasonNoSlot, "all slots of the service are in use, and none becomes free in time"
	refusal, ok := core.AsRefusal(err)
	now := time.Now()
	state := t.relay.Picker.PoolState(now, t.pool)
	outlook := t.relay.Picker.Outlook(now, t.pool, t.tried)
	share, limited := t.relay.Picker.NextShare(now, t.pool, t.tried, t.poolState.queue.Len())
	limited = limited && state == fleet.PoolLimited && !t.timedOut(ctx)
	switch {
	case limited:
		reason, message = core.ReasonLimited, "all upstreams of the service get as many requests as they take"
	case state >= fleet.PoolDown:
		reason, message = core.ReasonNoUpstream, "no upstream of the service is in use"
	case t.timedOut(ctx):
		reason, message = core.ReasonDeadline, "the deadline passed before a slot became free"
	case ok && refusal.Reason == core.ReasonQueueFull:
		reason, message = core.ReasonQueueFull, "too many requests wait for the service"
	}
	if t.mayHaveRun {
		t.fail(ctx, reason, "no upstream is available for a retry")
		return
	}
	if limited {
		t.refuseLimited(now, share, message)
		return
	}
	if t.refusePaused(now, outlook) {
		return
	}
	t.refuseShortage(reason, message)
}

// respondTimeout writes the final response of a request whose deadline has
// passed.
func (t *transaction) respondTimeout(cause core.Reason) {
	switch {
	case t.inbound.HeaderWritten():
		t.abort(core.ReasonDeadline)
	case t.errorResponse != nil:
		t.forwardResponse(t.errorResponse)
	case t.mayHaveRun:
		t.failWithStatus(fasthttp.StatusGatewayTimeout, core.ReasonDeadline, "the upstream did not respond in time")
	default:
		t.refuseShortage(cause, "no upstream ran the request in time")
	}
}

// fail writes the final response of a request that may have run.
func (t *transaction) fail(ctx context.Context, reason core.Reason, message string) {
	switch {
	case t.inbound.HeaderWritten():
		t.abort(reason)
	case t.timedOut(ctx):
		t.failWithStatus(fasthttp.StatusGatewayTimeout, reason, message)
	default:
		t.failWithStatus(fasthttp.StatusBadGateway, reason, message)
	}
}

// failWithStatus writes an error response that leaves open whether the request
// has run.
func (t *transaction) failWithStatus(status int, reason core.Reason, message string) {
	t.respondError(status, reason, core.ExecutionUnknown, message, 0)
}

// refuseShortage refuses a request that no upstream could serve, and asks the caller
// to come back when the shortage may have ended.
func (t *transaction) refuseShortage(reason core.Reason, message string) {
	now := time.Now()
	t.refuse(fasthttp.StatusServiceUnavailable, reason, message, t.poolState.shortage.Refuse(now, t.queueWait, t.deadline.Sub(now)))
}

// refuse writes an error response that guarantees that the request has not run.
// A retryAfter of zero omits the Retry-After header.
func (t *transaction) refuse(status int, reason core.Reason, message string, retryAfter time.Duration) {
	t.respondError(status, reason, core.NotExecuted, message, retryAfter)
}

// errorBody is the body of the gate's own error responses.
type errorBody struct {
	Error struct {
		Reason  core.Reason    `json:"reason"`
		Message string         `json:"message"`
		Run     core.Execution `json:"run"`
	} `json:"error"`
}

func (t *transaction) respondError(status int, reason core.Reason, run core.Execution, message string, retryAfter time.Duration) {
	t.returnUnsentRetry()
	meter.Refusal(reason)
	var body errorBody
	body.Error.Reason, body.Error.Message, body.Error.Run = reason, message, run
	data, err := json.Marshal(body)
	if err != nil {
		// The body could not be encoded.
		t.log("error", "error", err)
	}
	header := []byte("Content-Type: application/json\r\n")
	if retryAfter > 0 {
		header = append(header, "Retry-After: "...)
		header = strconv.AppendFloat(header, retryAfter.Seconds(), 'f', 3, 64)
		header = append(header, "\r\n"...)
	}
	// Also logged for 502 and 504, when the request may have run; see "run".
	fields := []any{
		"status", status, "reason", string(reason), "run", string(run), "retry_after", retryAfter,
		"sends", t.sends, "waited", t.queueWait, "message", message,
	}
	t.log("refused", append(fields, t.refusalDetails...)...)
	if err := t.inbound.Respond(status, header, data); err != nil {
		t.log("caller_lost", "error", err)
	}
}

// abort interrupts a response that has been partly written.
func (t *transaction) abort(reason core.Reason) {
	// ReasonStreamBroken also counts interrupted large responses that are no streams.
	meter.Refusal(core.ReasonStreamBroken)
	t.log("broken_off", "reason", string(reason), "last_event", t.stream.lastID, "sends", t.sends)
	t.inbound.Abort()
}

// abortCallerDisconnected ends a request whose caller has disconnected.
func (t *transaction) abortCallerDisconnected() {
	meter.Refusal(core.ReasonCanceled)
	// The caller disconnected while its request waited or ran, or while a stream or
	// a large response was written. After a failed write of a buffered response,
	// caller_lost is logged instead.
	t.log("caller_gone", "sends", t.sends, "waited", t.queueWait)
	t.inbound.Abort()
}
