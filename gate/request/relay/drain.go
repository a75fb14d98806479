package relay

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"parsleyroute.example/core"
	"parsleyroute.example/gate/process/policy"
)

// drainRetryAfter is the Retry-After time of requests that the shutdown of this gate
// would cut off. The caller's next connection goes to another gate.
const drainRetryAfter = 100 * time.Millisecond

// Drain begins the shutdown of the gate. Requests that s does not send are refused from now
// on, and those in flight at its end are given up.
func (r *Relay) Drain(s policy.Shutdown) {
	r.initShutdown()
	r.draining.Store(&s)
	time.AfterFunc(time.Until(s.End), r.giveUp)
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

// sendsWhileDraining reports whether the shutdown of the gate, if it has begun, leaves time
// to send the request now.
func (t *transaction) sendsWhileDraining(now time.Time) bool {
	s := t.relay.draining.Load()
	return s == nil || s.Sends(now, t.start, t.deadline, t.repeatable(), &t.poolState.durations)
}

// refuseDraining ends the request and returns true if the gate is shutting down and might
// cut off the response.
func (t *transaction) refuseDraining(ctx context.Context) bool {
	now := time.Now()
	if t.sendsWhileDraining(now) {
		return false
	}
	s := t.relay.draining.Load()
	expected, known := t.poolState.durations.Expected(now)
	t.log("drain_refused", "left", s.End.Sub(now), "estimates", s.EstimateUntil.Sub(t.start), "needed", t.deadline.Sub(now), "expected", expected, "known", known, "last_event", t.stream.lastID)
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
