package relay

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"parsleyroute.example/core"
)

// drainRetryAfter is the Retry-After time of requests that the shutdown of this gate
// would cut off. The caller's next connection goes to another gate.
const drainRetryAfter = 100 * time.Millisecond

// Drain sets the time by which all requests must have their final response, because the
// gate shuts down. Requests that cannot have one by then are refused from now on. Those
// in flight at that time are given up.
func (r *Relay) Drain(until time.Time) {
	r.initShutdown()
	r.drainUntil.Store(&until)
	time.AfterFunc(time.Until(until), r.giveUp)
}

// initShutdown creates the context that ends at the end of the shutdown.
func (r *Relay) initShutdown() {
	r.shutdownOnce.Do(func() { r.shutdown, r.giveUp = context.WithCancel(context.Background()) })
}

// requestContext returns the context of a request, which ends at its deadline, when its
// caller disconnects and at the end of the gate's shutdown.
func (t *transaction) requestContext() (context.Context, context.CancelFunc) {
	t.relay.initShutdown()
	ctx, cancel := context.WithDeadline(t.inbound.Context(), t.deadline)
	stop := context.AfterFunc(t.relay.shutdown, cancel)
	return ctx, func() { stop(); cancel() }
}

// refuseDraining ends the request and returns true if the gate is shutting down and would
// probably cut off the response. A request that may run only once must be able to use its
// whole time. Any other is sent if the responses of its pool have been short enough: its
// caller would otherwise have to come back to another gate for nothing.
func (t *transaction) refuseDraining(ctx context.Context) bool {
	until := t.relay.drainUntil.Load()
	if until == nil || !t.deadline.After(*until) {
		return false
	}
	now := time.Now()
	if t.repeatable() && t.poolState.durations.EndsInTime(now, *until) {
		return false
	}
	expected, known := t.poolState.durations.Expected(now)
	t.log("drain_refused", "left", until.Sub(now), "needed", t.deadline.Sub(now), "expected", expected, "known", known, "last_event", t.stream.lastID)
	switch {
	case t.errorResponse != nil && !t.inbound.HeaderWritten():
		t.forwardResponse(t.errorResponse)
	case t.inbound.HeaderWritten(), t.mayHaveRun:
		// A caller that resumes the stream has all its time left for another gate.
		t.fail(ctx, core.ReasonDraining, "the gate shuts down before the request would have to end")
	default:
		t.refuse(fasthttp.StatusServiceUnavailable, core.ReasonDraining, "the gate shuts down before the request would have to end", drainRetryAfter)
	}
	return true
}
