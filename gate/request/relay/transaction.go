package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/gate/conn/inlet"
	"parsleyroute.example/gate/process/fleet"
)

const (
	// maxQueueLength is the maximum number of requests that wait for one pool at
	// one gate.
	maxQueueLength = 256
	// queueWaitFraction is the fraction of the route's latency objective that a
	// request may wait for a slot, so that the response can still meet the
	// objective.
	queueWaitFraction = 0.65
	// outageWaitDivisor divides the objective to give the time that a request
	// waits for a pool that is down. Stream requests wait until eventDeadline,
	// unless the outage exceeds Relay.LongOutage.
	outageWaitDivisor = 8
	// Callers wait for the next event of a stream for the longest of
	// minEventWait, eventWaitObjectives times the route's objective and
	// eventWaitGaps times the event gap that the route allows.
	minEventWait        = 2 * time.Second
	eventWaitObjectives = 4
	eventWaitGaps       = 8
	// eventWaitMargin is how long before the end of that time a queued request is
	// refused. It covers the time to the first event of a busy engine.
	eventWaitMargin = 550 * time.Millisecond
	// maxUnsentAttempts is the maximum number of attempts in which nothing is
	// sent.
	maxUnsentAttempts = 4
	// responseMargin is the time reserved before the deadline for writing the
	// final response.
	responseMargin = 15 * time.Millisecond
)

// transaction is the handling of one request, from its arrival to its final
// response.
type transaction struct {
	relay         *Relay
	inbound       *inlet.Exchange
	info          core.RequestInfo
	route         *core.RouteConfig
	pool          *core.PoolConfig
	poolState     *poolState
	team          *core.TeamConfig
	configVersion uint64
	// parts are the keys of the shared parts of the request's prompt.
	parts []uint64
	// trial is set while the request is to try its suspect parts again. It lasts
	// until an upstream has begun to run the request.
	trial bool
	start time.Time
	// deadline is the time by which the final response must be written.
	deadline time.Time

	// sentAt is the time of the first send, zero before it. complete is set once the caller
	// has the whole response of an upstream.
	sentAt   time.Time
	complete bool

	// method and forwarded are the parts of the request that are the same in all attempts.
	method, forwarded []byte
	// standbys counts the standbys that run, and standbySends those that have been sent.
	standbys     sync.WaitGroup
	standbySends atomic.Int32

	// tried lists the upstreams of earlier attempts. sends counts the attempts
	// that sent the request, unsent those in which nothing was sent.
	tried  []*fleet.Upstream
	sends  int
	unsent int
	// crashes counts the upstreams that crashed with the request.
	crashes int
	// mayHaveRun is set once an upstream may have started to run the request.
	mayHaveRun bool
	queueWait  time.Duration
	// retryReserved is set from taking a retry from the budget until it is sent.
	retryReserved bool

	// buffered counts the bytes that the request has reserved for responses.
	buffered atomic.Int64

	// refusalDetails holds further fields for the log line of a refusal.
	refusalDetails []any

	stream streamState
	// errorResponse is an upstream's error response. It is forwarded if no retry
	// succeeds.
	errorResponse *response
}

// repeatable reports whether the request may run more than once.
func (t *transaction) repeatable() bool {
	return t.route.Kind == core.RouteSafe || t.route.Kind == core.RouteStream && t.route.Resumable
}

// run sends the request to upstreams until the final response is written.
func (t *transaction) run() {
	t.deadline = t.start.Add(t.route.Timeout)
	if d := t.info.Timeout; d > 0 && (t.route.Timeout == 0 || d < t.route.Timeout) {
		t.deadline = t.start.Add(d)
	}
	t.deadline = t.deadline.Add(-responseMargin)
	t.poolState = t.relay.pool(t.pool.Name)
	t.poolState.budget.RecordFirstAttempt(t.start)
	t.stream.lastID, t.stream.hasLastID = t.info.LastEventID, t.info.HasLastEventID
	ctx, cancel := t.requestContext()
	// Standbys end with ctx.
	defer t.standbys.Wait()
	defer cancel()
	defer t.returnUnsentRetry()
	t.prepareRequest()
	defer t.observeDuration()
	defer func() { t.relay.Responses.Return(int(t.buffered.Load())) }()
	t.parts = t.partKeys()
	for {
		if t.refuseDraining(ctx) || t.refuseContained(ctx) {
			return
		}
		u := t.acquire(ctx)
		if u == nil || t.queueWait > 0 && t.releaseRefused(ctx, u) {
			return
		}
		status := t.attempt(ctx, u)
		if status == attemptFailed || status == attemptLost {
			t.trial = false
		}
		t.poolState.queue.Grant()
		if status == attemptDone || !t.retryOrRespond(ctx, status) {
			return
		}
	}
}

// observeDuration records the time from the first send to the end of the response.
func (t *transaction) observeDuration() {
	if !t.sentAt.IsZero() {
		now := time.Now()
		t.poolState.durations.Observe(now, now.Sub(t.sentAt), t.complete)
	}
}

// acquire waits for an upstream with a free slot. If there is none in time, it
// writes the final response and returns nil.
func (t *transaction) acquire(ctx context.Context) *fleet.Upstream {
	now := time.Now()
	waitUntil, ok := t.awaitShare(now, t.queueDeadline(now))
	if !ok {
		t.respondUnavailable(ctx, nil)
		return nil
	}
	u, err := t.acquireUpstream(ctx, now, waitUntil)
	t.queueWait += time.Since(now)
	if u != nil {
		return u
	}
	t.respondUnavailable(ctx, err)
	return nil
}

// returnUnsentRetry returns the retry that was taken from the budget but not sent.
func (t *transaction) returnUnsentRetry() {
	if t.retryReserved {
		t.retryReserved = false
		t.poolState.budget.ReturnRetry()
	}
}

func (t *transaction) priority() int {
	if t.team != nil && t.team.HasPriority {
		return t.team.Priority
	}
	return t.route.Priority
}

// queueDeadline returns the time until which the request waits for a slot.
func (t *transaction) queueDeadline(now time.Time) time.Time {
	until := now.Add(time.Duration(queueWaitFraction * float64(t.route.LatencyObjective)))
	down := t.relay.Picker.PoolState(now, t.pool) == fleet.PoolDown
	longOutage := t.poolState.trackOutage(now, down) > t.relay.longOutage()
	if down {
		until = now.Add(t.route.LatencyObjective / outageWaitDivisor)
		if t.route.Kind == core.RouteStream && !longOutage {
			// A group of ranks that has lost a rank re-forms within seconds.
			until = t.eventDeadline(t.stream.lastEventAt)
		}
	}
	if until.Before(t.deadline) {
		return until
	}
	return t.deadline
}

// returnedFraction is the fraction of the route's timeout below which the time that
// the caller has left shows that this is not its first try.
const returnedFraction = 0.9

// returned reports whether the caller has come back after a refusal or failure.
func (t *transaction) returned() bool {
	return t.info.Timeout > 0 && t.info.Timeout < time.Duration(returnedFraction*float64(t.route.Timeout))
}

// late reports whether the response will be late even if the request is sent now: it
// has waited before, its caller has come back after a refusal, or the pool is down.
func (t *transaction) late(now time.Time) bool {
	if objective := t.route.LatencyObjective; objective == 0 || now.Sub(t.start) > objective {
		return true
	}
	return t.returned() || t.relay.Picker.PoolState(now, t.pool) == fleet.PoolDown
}

// timedOut reports whether the deadline has passed. It does not rely on ctx
// alone, because a read that exceeds its deadline may return before ctx ends.
func (t *transaction) timedOut(ctx context.Context) bool {
	return ctx.Err() != nil || !time.Now().Before(t.deadline)
}

// eventDeadline returns when a stream request that had its last event at the given time, zero
// if it had none, no longer waits for a slot: eventWaitMargin before its caller stops
// waiting for the next event.
func (t *transaction) eventDeadline(lastEventAt time.Time) time.Time {
	from := t.start
	if !lastEventAt.IsZero() {
		from = lastEventAt
	}
	return from.Add(max(minEventWait, eventWaitObjectives*t.route.LatencyObjective, eventWaitGaps*t.route.MaxEventGap) - eventWaitMargin)
}

// retryOrRespond reports whether the request is to be retried after an attempt
// that ended with status. If not, it writes the final response.
func (t *transaction) retryOrRespond(ctx context.Context, status attemptStatus) bool {
	now := time.Now()
	cause := status.reason()
	switch {
	case t.inbound.Context().Err() != nil:
		t.abortCallerDisconnected()
		return false
	case t.timedOut(ctx):
		t.respondTimeout(cause)
		return false
	case !t.inbound.Body.Available():
	case status == attemptUnsent:
		if t.unsent++; t.unsent < maxUnsentAttempts {
			meter.Retry(cause)
			return true
		}
	case t.crashes >= maxCrashedSends:
	case status == attemptNotRun || t.repeatable():
		if t.sends+int(t.standbySends.Load()) < t.route.MaxAttempts && t.poolState.budget.TakeRetry(now, t.relay.Picker.Fleet.GateCount()) {
			t.retryReserved = true
			meter.Retry(cause)
			t.log("retry", "cause", string(cause), "sends", t.sends, "tried", len(t.tried))
			return true
		}
	}
	switch {
	case t.inbound.HeaderWritten():
		t.abort(cause)
	case t.errorResponse != nil:
		t.forwardResponse(t.errorResponse)
	case t.mayHaveRun:
		// A response may also have arrived that was not accepted.
		t.fail(ctx, cause, "the upstream's response was lost")
	default:
		if !t.refusePaused(now, t.relay.Picker.Outlook(now, t.pool, nil)) {
			t.refuseShortage(cause, "none of the upstreams tried ran the request")
		}
	}
	return false
}

// log writes an event to the decision log, with the request's id and age and, if
// known, its route, configuration version and pool.
func (t *transaction) log(event string, fields ...any) {
	all := []any{"request", t.info.AttemptID, "age", time.Since(t.start)}
	if t.route != nil {
		all = append(all, "route", t.route.Name, "config", t.configVersion)
	}
	if t.pool != nil {
		all = append(all, "pool", t.pool.Name)
	}
	t.relay.DecisionLog.Log(event, append(all, fields...)...)
}
