package relay

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/request/admit"
	"parsleyroute.example/gate/conn/inlet"
	"parsleyroute.example/gate/process/fleet"
)

const (
	// queueLength bounds the requests that wait for one pool at one gate.
	queueLength = 256
	// fullHold is the part of the objective for which a request waits for a
	// place, so that the answer still comes in time.
	fullHold = 0.65
	// downHold is the part of the objective for which a request other than for
	// a stream waits for a pool that has no upstream.
	downHold = 8
	// leastPatience, objectivePatience and pausePatience give the time for which
	// callers wait for a stream's next event: the longest of leastPatience and
	// these multiples of the objective and of the longest pause on time.
	leastPatience     = 2 * time.Second
	objectivePatience = 4
	pausePatience     = 8
	// patienceMargin is how long before that a request that waits is refused: the
	// time to the first event of a busy engine.
	patienceMargin = 550 * time.Millisecond
	// maxUnsent bounds the upstreams that are tried without sending anything.
	maxUnsent = 4
	// answerMargin is the time kept to write a last answer before the deadline.
	answerMargin = 15 * time.Millisecond
)

// trip is one request on its way.
type trip struct {
	r       *Relay
	x       *inlet.Exchange
	info    core.CallInfo
	route   *core.RouteConfig
	pool    *core.PoolConfig
	state   *poolState
	team    *core.TeamConfig
	version uint64
	start   time.Time
	// deadline is when the last answer is due.
	deadline time.Time

	// tried holds the upstreams that were asked, sends counts the requests that
	// were sent, unsent the upstreams that could not be reached.
	tried  []*fleet.Upstream
	sends  int
	unsent int
	// mayHaveRun is set once an upstream may have begun the work.
	mayHaveRun bool
	waited     time.Duration
	// paid is set while the budget has paid for a send that was not made yet.
	paid bool

	stream streamState
	// last is an upstream's own error answer, passed on if no retry does better.
	last *answer
}

// repeatable reports whether the request may run more than once.
func (t *trip) repeatable() bool {
	return t.route.Kind == core.RouteSafe || t.route.Kind == core.RouteStream && t.route.Resume
}

func (t *trip) run() {
	t.deadline = t.start.Add(t.route.Timeout)
	if d := t.info.Deadline; d > 0 && (t.route.Timeout == 0 || d < t.route.Timeout) {
		t.deadline = t.start.Add(d)
	}
	t.deadline = t.deadline.Add(-answerMargin)
	t.state = t.r.pool(t.pool.Name)
	t.state.budget.First(t.start)
	t.stream.last, t.stream.has = t.info.LastEvent, t.info.HasLastEvent
	ctx, cancel := context.WithDeadline(t.x.Context(), t.deadline)
	defer cancel()
	for {
		u := t.acquire(ctx)
		if u == nil {
			return
		}
		v := t.attempt(ctx, u)
		t.state.queue.Grant()
		if v == verdictDone || !t.again(ctx, v) {
			return
		}
	}
}

// acquire returns an upstream for the next send, or nil once it has written the
// last answer.
func (t *trip) acquire(ctx context.Context) *fleet.Upstream {
	var u *fleet.Upstream
	now := time.Now()
	hold := t.hold(now)
	item := &admit.Item{
		Class: t.pool.Name, Priority: -t.priority(), Deadline: hold,
		Use: func() bool {
			u = t.r.Picker.Pick(time.Now(), t.pool, t.tried)
			return u != nil
		},
	}
	if t.team != nil {
		item.Team = t.team.Name
	}
	err := t.state.queue.Wait(ctx, item)
	t.waited += time.Since(now)
	paid := t.paid
	t.paid = false
	if err == nil {
		return u
	}
	if paid {
		t.state.budget.Return()
	}
	t.unplaced(ctx, err)
	return nil
}

func (t *trip) priority() int {
	if t.team != nil && t.team.HasPriority {
		return t.team.Priority
	}
	return t.route.Priority
}

// hold returns until when the request waits for a place.
func (t *trip) hold(now time.Time) time.Time {
	at := now.Add(time.Duration(fullHold * float64(t.route.Objective)))
	down := t.r.Picker.PoolState(now, t.pool) == fleet.PoolDown
	long := t.state.downFor(now, down) > t.r.longDown()
	if down {
		at = now.Add(t.route.Objective / downHold)
		if t.route.Kind == core.RouteStream && !long {
			// A group of ranks that has lost one is back after seconds.
			at = t.patience()
		}
	}
	if at.Before(t.deadline) {
		return at
	}
	return t.deadline
}

// over reports whether the request's time is over. A read whose deadline has
// passed may return before the context ends.
func (t *trip) over(ctx context.Context) bool {
	return ctx.Err() != nil || !time.Now().Before(t.deadline)
}

// patience returns when the caller of a stream leaves unless an event comes.
func (t *trip) patience() time.Time {
	from := t.start
	if !t.stream.at.IsZero() {
		from = t.stream.at
	}
	return from.Add(max(leastPatience, objectivePatience*t.route.Objective, pausePatience*t.route.Pause) - patienceMargin)
}

// again decides whether the request is sent once more after the verdict, and
// otherwise writes the last answer.
func (t *trip) again(ctx context.Context, v verdict) bool {
	now := time.Now()
	cause := v.reason()
	switch {
	case t.x.Context().Err() != nil:
		t.gone()
		return false
	case t.over(ctx):
		t.late(cause)
		return false
	case v == verdictUnsent:
		if t.unsent++; t.unsent < maxUnsent {
			meter.Retry(cause)
			return true
		}
	case v == verdictNotRun || t.repeatable():
		if t.sends < t.route.Attempts && t.state.budget.Take(now, t.r.Picker.Fleet.GateCount()) {
			t.paid = true
			meter.Retry(cause)
			t.log("retry", "cause", string(cause), "sends", t.sends, "tried", len(t.tried))
			return true
		}
	}
	switch {
	case t.x.Began():
		t.abort(cause)
	case t.last != nil:
		t.pass(t.last)
	case t.mayHaveRun:
		t.fail(ctx, cause, "the upstream's answer was lost")
	default:
		after := fullRetry
		if v == verdictUnsent || t.r.Picker.PoolState(now, t.pool) == fleet.PoolDown {
			after = downRetry
		}
		t.refuse(fasthttp.StatusServiceUnavailable, cause, "the upstreams asked did not run the request", after)
	}
	return false
}

// log writes a decision on the request.
func (t *trip) log(event string, fields ...any) {
	f := []any{"request", t.info.Attempt, "age", time.Since(t.start)}
	if t.route != nil {
		f = append(f, "route", t.route.Name, "config", t.version)
	}
	if t.pool != nil {
		f = append(f, "pool", t.pool.Name)
	}
	t.r.Trail.Log(event, append(f, fields...)...)
}
