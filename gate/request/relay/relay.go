package relay

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/clock"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/process/trail"
	"parsleyroute.example/core/request/admit"
	"parsleyroute.example/gate/conn/inlet"
	"parsleyroute.example/gate/process/fleet"
	"parsleyroute.example/gate/version/route"
)

// Bounds are the platform's limits on repeated sends.
type Bounds struct {
	RetryRatio  float64
	RetryBurst  float64
	RetryWindow time.Duration
}

// Relay handles requests. Its exported fields are set before use.
type Relay struct {
	Protocol core.Protocol
	// Table returns the configuration in force, nil if none is known.
	Table  func() *route.Table
	Picker *fleet.Picker
	Bounds Bounds
	Trail  *trail.Trail
	// LongDown is how long a pool must have had no upstream for its requests to be
	// refused without a wait; zero means 12 s, which is longer than it takes a
	// group of ranks to form anew after a zone was cut off (4 to 9 s were seen).
	LongDown time.Duration

	mu    sync.Mutex
	pools map[string]*poolState
}

// poolState is what the relay keeps for each pool.
type poolState struct {
	queue  *admit.Queue
	budget *Budget
	pulse  pulse
	// downSince is when a request first found no upstream that may take work, as
	// the time since epoch, zero if the last one did.
	downSince atomic.Int64
}

// defaultLongDown is the default of Relay.LongDown.
const defaultLongDown = 12 * time.Second

// downFor takes note of whether the pool has an upstream now, and returns for how
// long it has had none.
func (p *poolState) downFor(now time.Time, down bool) time.Duration {
	if !down {
		p.downSince.Store(0)
		return 0
	}
	at := int64(now.Sub(epoch))
	if p.downSince.CompareAndSwap(0, at) {
		return 0
	}
	return time.Duration(at - p.downSince.Load())
}

func (r *Relay) longDown() time.Duration { return cmp.Or(r.LongDown, defaultLongDown) }

func (r *Relay) pool(name string) *poolState {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[name]
	if p == nil {
		if r.pools == nil {
			r.pools = map[string]*poolState{}
		}
		p = &poolState{
			queue:  &admit.Queue{Clock: clock.Real{}, Length: queueLength},
			budget: &Budget{Ratio: r.Bounds.RetryRatio, Burst: r.Bounds.RetryBurst, Window: r.Bounds.RetryWindow},
		}
		r.pools[name] = p
	}
	return p
}

// Tick grants waiting requests the places that other gates have left.
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
	t := &trip{r: r, x: x, info: r.Protocol.RequestInfo(x.Header), start: x.Received}
	meter.Event("requests")
	table := r.Table()
	if table == nil {
		t.refuse(fasthttp.StatusServiceUnavailable, core.ReasonNotReady, "no configuration is known yet", startRetry)
		return
	}
	t.version = table.Config.Version
	t.route = table.Find(string(x.Header.Host()), string(x.Header.RequestURI()))
	if t.route == nil {
		t.refuse(fasthttp.StatusNotFound, core.ReasonNotFound, "no route takes this host and path", 0)
		return
	}
	if table.NeedsKey(t.route) {
		team := table.Team(t.info.APIKey)
		if team == nil {
			t.refuse(fasthttp.StatusUnauthorized, core.ReasonUnauthenticated, "no team holds the key", 0)
			return
		}
		t.team = team
	}
	t.pool = table.Pool(t.route, t.info.AttemptID)
	if t.pool == nil {
		t.refuse(fasthttp.StatusServiceUnavailable, core.ReasonNoUpstream, "the route has no service", startRetry)
		return
	}
	t.run()
}

// Reject implements inlet.Handler.
func (r *Relay) Reject(x *inlet.Exchange, status int, reason core.Reason) {
	t := &trip{r: r, x: x, info: r.Protocol.RequestInfo(x.Header), start: time.Now()}
	t.refuse(status, reason, "the request cannot be read", 0)
}
