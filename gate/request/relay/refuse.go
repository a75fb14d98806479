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

const (
	// startRetry tells callers when to come back to a gate that has just
	// started and knows no configuration.
	startRetry = 300 * time.Millisecond
	// downRetry tells callers when to come back while a pool has no upstream:
	// crashed upstreams are replaced within a few seconds.
	downRetry = 2500 * time.Millisecond
	// fullRetry tells callers when to come back to a pool whose places are
	// taken.
	fullRetry = 600 * time.Millisecond
	// retryPart is the part of the time left that callers wait at most.
	retryPart = 3
)

// unplaced writes the last answer of a request that got no upstream.
func (t *trip) unplaced(ctx context.Context, err error) {
	if t.x.Context().Err() != nil {
		t.gone()
		return
	}
	if t.last != nil && !t.x.Began() {
		t.pass(t.last)
		return
	}
	reason := core.ReasonNoUpstream
	if refusal, ok := core.AsRefusal(err); ok {
		reason = refusal.Reason
	}
	after := fullRetry
	if t.r.Picker.PoolState(time.Now(), t.pool) == fleet.PoolDown {
		reason, after = core.ReasonNoUpstream, downRetry
	}
	if t.mayHaveRun {
		t.fail(ctx, reason, "no upstream was left to go on")
		return
	}
	t.refuse(fasthttp.StatusServiceUnavailable, reason, "no upstream has a free place", after)
}

// late writes the last answer of a request whose time is over.
func (t *trip) late(cause core.Reason) {
	switch {
	case t.x.Began():
		t.abort(core.ReasonDeadline)
	case t.last != nil:
		t.pass(t.last)
	case t.mayHaveRun:
		t.failWith(fasthttp.StatusGatewayTimeout, core.ReasonDeadline, "the upstream did not answer in time")
	default:
		t.refuse(fasthttp.StatusServiceUnavailable, cause, "no upstream ran the request in time", fullRetry)
	}
}

// fail writes the last answer of a request that may have run.
func (t *trip) fail(ctx context.Context, reason core.Reason, message string) {
	switch {
	case t.x.Began():
		t.abort(reason)
	case t.over(ctx):
		t.failWith(fasthttp.StatusGatewayTimeout, reason, message)
	default:
		t.failWith(fasthttp.StatusBadGateway, reason, message)
	}
}

func (t *trip) failWith(status int, reason core.Reason, message string) {
	t.respond(status, reason, core.RunUnknown, message, 0)
}

// refuse writes an answer that promises that the request has not run. after
// tells the caller when to come back; zero leaves that open.
func (t *trip) refuse(status int, reason core.Reason, message string, after time.Duration) {
	if !t.deadline.IsZero() && after > 0 {
		after = max(0, min(after, time.Until(t.deadline)/retryPart))
	}
	t.respond(status, reason, core.RunNo, message, after)
}

// errorBody is the body of an answer of the gate's own.
type errorBody struct {
	Error struct {
		Reason  core.Reason `json:"reason"`
		Message string      `json:"message"`
		Run     core.Run    `json:"run"`
	} `json:"error"`
}

func (t *trip) respond(status int, reason core.Reason, run core.Run, message string, after time.Duration) {
	meter.Refusal(reason)
	var body errorBody
	body.Error.Reason, body.Error.Message, body.Error.Run = reason, message, run
	data, err := json.Marshal(body)
	if err != nil {
		t.log("error", "error", err)
	}
	lines := []byte("Content-Type: application/json\r\n")
	if after > 0 {
		lines = append(lines, "Retry-After: "...)
		lines = strconv.AppendFloat(lines, after.Seconds(), 'f', 3, 64)
		lines = append(lines, "\r\n"...)
	}
	t.log("refused", "status", status, "reason", string(reason), "run", string(run), "retry_after", after,
		"sends", t.sends, "waited", t.waited, "message", message)
	if err := t.x.Respond(status, lines, data); err != nil {
		t.log("caller_lost", "error", err)
	}
}

// abort breaks off an answer that has begun.
func (t *trip) abort(reason core.Reason) {
	meter.Refusal(core.ReasonStreamBroken)
	t.log("broken_off", "reason", string(reason), "last_event", t.stream.last, "sends", t.sends)
	t.x.Abort()
}

// gone ends a request whose caller has left.
func (t *trip) gone() {
	meter.Refusal(core.ReasonCanceled)
	t.log("caller_gone", "sends", t.sends, "waited", t.waited)
	t.x.Abort()
}
