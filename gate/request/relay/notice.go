package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"parsleyroute.example/core"
	"parsleyroute.example/gate/process/fleet"
)

// pauseSpread is the fraction by which the times are longer after which callers come back
// to an upstream that wants no requests for some time, so that they do not come together.
const pauseSpread = 0.1

// observeHeader records what the header of a response says of its upstream.
func (t *transaction) observeHeader(u *fleet.Upstream, h *fasthttp.ResponseHeader, info core.ResponseInfo) {
	t.observeNotice(u, h, info)
	t.observeLimit(u, h, info)
}

// observeNotice records that the process that has responded leaves, or wants no requests
// for some time. Responses to earlier requests on the connection say so too.
func (t *transaction) observeNotice(u *fleet.Upstream, h *fasthttp.ResponseHeader, info core.ResponseInfo) {
	if h.StatusCode() == fasthttp.StatusMisdirectedRequest {
		// Another process has responded.
		return
	}
	now := time.Now()
	if info.Leaving {
		t.relay.Picker.Fleet.ObserveLeaving(now, u)
	}
	if info.RetryAfter > 0 {
		t.relay.Picker.Fleet.ObservePause(now, u, info.RetryAfter)
	}
}

// refusePaused refuses a request that has not run, if all upstreams that it could be sent to
// want no requests for some time, and reports whether they do.
func (t *transaction) refusePaused(now time.Time, o fleet.Outlook) bool {
	if o.State != fleet.PoolPaused {
		return false
	}
	wait := o.PausedUntil.Sub(now)
	wait += time.Duration(pauseSpread * rand.Float64() * float64(wait))
	t.refuse(fasthttp.StatusServiceUnavailable, core.ReasonPaused, "the upstreams of the service want no requests for some time", wait)
	return true
}

// acquireUpstream waits for an upstream until the given time. It returns nil without an error
// at once if no upstream would accept the request by then.
func (t *transaction) acquireUpstream(ctx context.Context, now, until time.Time) (*fleet.Upstream, error) {
	var u *fleet.Upstream
	err := t.poolState.queue.Wait(ctx, t.queueItem(now, until, func() bool {
		now := time.Now()
		u = t.relay.Picker.Pick(now, t.pool, t.tried)
		return u != nil || t.relay.Picker.Unreachable(now, t.pool, t.tried, until)
	}))
	return u, err
}
