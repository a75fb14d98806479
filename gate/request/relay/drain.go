package relay

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"parsleyroute.example/core"
)

const (
	// drainRetryAfter is the Retry-After time of requests that the shutdown of this gate
	// would cut off. The caller's next connection goes to another gate.
	drainRetryAfter = 100 * time.Millisecond
	// minDrainShare is the least part of its time that a request that may be repeated must
	// have left before the end of the shutdown to be sent to an upstream.
	minDrainShare = 0.5
)

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

// refuseDraining limits the deadline of the request to the end of the shutdown if the gate
// is shutting down. It refuses the request and returns true if it may not end by then.
func (t *transaction) refuseDraining() bool {
	until := t.relay.drainUntil.Load()
	if until == nil || !t.deadline.After(*until) {
		return false
	}
	left, needed := until.Sub(t.start), t.deadline.Sub(t.start)
	if !t.repeatable() || left < time.Duration(minDrainShare*float64(needed)) {
		t.refuse(fasthttp.StatusServiceUnavailable, core.ReasonDraining, "the gate shuts down before the request would have to end", drainRetryAfter)
		return true
	}
	t.deadline = *until
	return false
}
