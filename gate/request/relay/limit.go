package relay

import (
	"math"
	"time"

	"github.com/valyala/fasthttp"

	"parsleyroute.example/core"
	"parsleyroute.example/gate/process/fleet"
)

// limitReserve is the fraction of the route's latency objective that is left to an
// upstream when a request has waited for this gate's share of a limit.
const limitReserve = 0.5

// observeLimit records the limit that a response of the upstream names, or that it
// names none.
func (t *transaction) observeLimit(u *fleet.Upstream, h *fasthttp.ResponseHeader, info core.ResponseInfo) {
	l := info.RateLimit
	switch {
	case h.StatusCode() == fasthttp.StatusMisdirectedRequest:
		// Another process has responded.
	case l.Named:
		t.relay.Picker.Fleet.ObserveLimit(time.Now(), u, l.PerSecond)
	case !l.Invalid && !info.NotExecuted && t.authentic(h, info):
		// A refusal does not show that a limit has ended.
		t.relay.Picker.Fleet.ObserveLimit(time.Now(), u, math.Inf(1))
	}
}

// limitDeadline returns the time until which the request may wait for this gate's share
// of a limit.
func (t *transaction) limitDeadline() time.Time {
	until := t.deadline.Add(-time.Duration(limitReserve * float64(t.route.LatencyObjective)))
	if d := t.eventDeadline(t.stream.lastEventAt); t.route.Kind == core.RouteStream && d.Before(until) {
		return d
	}
	return until
}

// awaitShare returns the time until which the request waits if limits hold requests to
// the pool back, at least the given time. It returns false if the request would wait in
// vain.
func (t *transaction) awaitShare(now, until time.Time) (time.Time, bool) {
	state := t.relay.Picker.PoolState(now, t.pool)
	if state != fleet.PoolLimited && state != fleet.PoolFull {
		return until, true
	}
	share, ok := t.relay.Picker.NextShare(now, t.pool, t.tried, t.poolState.queue.Len())
	if !ok {
		return until, true
	}
	if limit := t.limitDeadline(); share.HasShare && share.At.Before(limit) {
		if limit.After(until) {
			until = limit
		}
		return until, true
	}
	return until, state != fleet.PoolLimited
}

// refuseLimited refuses a request that limits hold back, and asks the caller to come
// back when its turn is.
func (t *transaction) refuseLimited(now time.Time, s fleet.NextShare, message string) {
	t.refusalDetails = []any{
		"upstream", s.Upstream.ID, "limit", s.Limit, "limit_age", s.Age,
		"share", s.Share.Count, "share_window", s.Share.Window, "gates", s.Gates,
	}
	wait := t.poolState.returns.Next(now, s.At, s.Interval, t.deadline.Sub(now))
	t.refuse(fasthttp.StatusServiceUnavailable, core.ReasonLimited, message, wait)
}
