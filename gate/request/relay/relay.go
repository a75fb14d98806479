package relay

import (
	"cmp"
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/clock"
	"parsleyroute.example/core/process/evlog"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/request/admit"
	"parsleyroute.example/gate/conn/inlet"
	"parsleyroute.example/gate/process/fleet"
	"parsleyroute.example/gate/process/policy"
	"parsleyroute.example/gate/version/route"
)

// RetryLimits configures the RetryBudget of each pool.
type RetryLimits struct {
	Ratio  float64
	Burst  float64
	Window time.Duration
}

// Relay forwards requests to upstreams. Its exported fields are set before use.
type Relay struct {
	Protocol core.Protocol
	// Table returns the active configuration, or nil if none is known.
	Table       func() *route.Table
	Picker      *fleet.Picker
	RetryLimits RetryLimits
	// Containment decides which requests are refused because they would crash an
	// upstream. OnContainmentChange, if set, is called when what other gates should
	// know of it has changed. Position returns the position of this gate; nil means
	// that there are no others.
	Containment         policy.Containment
	OnContainmentChange func()
	Position            func() policy.Position
	// DecisionLog logs the events of requests.
	DecisionLog *evlog.Logger
	// Responses bounds the bytes of responses that are buffered; nil means no limit.
	Responses *policy.ByteBudget
	// LongOutage is the duration of a pool's outage after which stream requests no
	// longer wait for the pool to recover. Zero means 12 s, which is longer than a
	// group of ranks takes to re-form after a zone is disconnected (4 to 9 s were
	// seen).
	LongOutage time.Duration

	// draining is the gate's shutdown, nil before it.
	draining     atomic.Pointer[policy.Shutdown]
	shutdownOnce sync.Once
	shutdown     context.Context
	giveUp       context.CancelFunc

	mu    sync.Mutex
	pools map[string]*poolState
}

// poolState is the state of one pool: its queue, retry budget, latest activity
// and the start of an outage. Whether the pool is up or down at a given time is
// fleet.PoolState.
type poolState struct {
	queue    *admit.Queue
	budget   *RetryBudget
	silence  *policy.Silence
	shortage policy.Shortage
	// durations holds how long the responses took.
	durations policy.Durations
	// returns schedules the callers that were refused because of limits.
	returns policy.ReturnSchedule
	// downSince is the start of the current outage, in nanoseconds since
	// processStart. It is zero if the last request found the pool up.
	downSince atomic.Int64
}

// defaultLongOutage is the default of Relay.LongOutage.
const defaultLongOutage = 12 * time.Second

// trackOutage records whether the pool is down and returns the duration of the
// current outage.
func (p *poolState) trackOutage(now time.Time, down bool) time.Duration {
	if !down {
		p.downSince.Store(0)
		return 0
	}
	sinceStart := int64(now.Sub(processStart))
	if p.downSince.CompareAndSwap(0, sinceStart) {
		return 0
	}
	return time.Duration(sinceStart - p.downSince.Load())
}

func (r *Relay) longOutage() time.Duration { return cmp.Or(r.LongOutage, defaultLongOutage) }

func (r *Relay) pool(name string) *poolState {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[name]
	if p == nil {
		if r.pools == nil {
			r.pools = map[string]*poolState{}
		}
		p = &poolState{
			queue:   &admit.Queue{Clock: clock.Real{}, MaxLength: maxQueueLength},
			silence: r.Picker.Fleet.Silence(name),
			budget:  &RetryBudget{Ratio: r.RetryLimits.Ratio, Burst: r.RetryLimits.Burst, Window: r.RetryLimits.Window},
		}
		r.pools[name] = p
	}
	return p
}

// Tick assigns free slots to queued requests. The gate calls it regularly, since
// requests of other gates may have ended or a group may be up again.
func (r *Relay) Tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pools {
		if p.queue.Len() > 0 {
			p.queue.Grant()
		}
	}
}

// Serve implements inlet.Handler.
func (r *Relay) Serve(x *inlet.Exchange) {
	t := &transaction{relay: r, inbound: x, info: r.Protocol.RequestInfo(x.Header), start: x.Received}
	meter.Event("requests")
	table := r.Table()
	if table == nil {
		t.refuse(fasthttp.StatusServiceUnavailable, core.ReasonNotReady, "no configuration is known yet", notReadyRetryAfter)
		return
	}
	t.configVersion = table.Config.Version
	t.route = table.Find(string(x.Header.Host()), string(x.Header.RequestURI()))
	if t.route == nil {
		t.refuse(fasthttp.StatusNotFound, core.ReasonNotFound, "no route matches the host and path", 0)
		return
	}
	if table.NeedsKey(t.route) {
		team := table.Team(t.info.APIKey)
		if team == nil {
			t.refuse(fasthttp.StatusUnauthorized, core.ReasonUnauthenticated, "no team has this API key", 0)
			return
		}
		t.team = team
	}
	t.pool = table.Pool(t.route, t.info.AttemptID)
	if t.pool == nil {
		// The message calls the pool a service.
		t.refuse(fasthttp.StatusServiceUnavailable, core.ReasonNoUpstream, "the route has no service", notReadyRetryAfter)
		return
	}
	t.run()
}

// Panicked implements inlet.Handler.
func (r *Relay) Panicked(x *inlet.Exchange, value any) {
	meter.Event("panics")
	r.DecisionLog.Log("panic", "request", r.Protocol.RequestInfo(x.Header).AttemptID, "error", fmt.Sprint(value), "stack", string(debug.Stack()))
}

// Reject implements inlet.Handler.
func (r *Relay) Reject(x *inlet.Exchange, status int, reason core.Reason) {
	t := &transaction{relay: r, inbound: x, info: r.Protocol.RequestInfo(x.Header), start: time.Now()}
	if reason == core.ReasonMemory {
		t.refuse(status, reason, "the gate has no memory for the body", memoryRetryAfter)
		return
	}
	t.refuse(status, reason, "the request cannot be read", 0)
}
