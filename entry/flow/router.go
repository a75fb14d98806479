package flow

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"

	"parsleyroute.example/core"
	"parsleyroute.example/core/conn/links"
	"parsleyroute.example/core/conn/pool"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/request/admit"
	"parsleyroute.example/core/request/claim"
	"parsleyroute.example/core/request/picker"
	"parsleyroute.example/core/request/retry"
)

const (
	// maxAttempts bounds the dispatches of a request that upstreams failed.
	maxAttempts = 3
	// maxRefused bounds the dispatches of a request that agents refused. Such a
	// refusal costs no upstream work, so it takes no retry budget. Refusals of
	// repeatable requests by full agents do not count: such a request waits in
	// the queue until its deadline.
	maxRefused = 16
	// maxRecorded bounds the attempts that the journal keeps of a request.
	maxRecorded = 32
	// grantPeriod is the time between checks for credit that grows with time
	// alone.
	grantPeriod = 20 * time.Millisecond
	// idlePeriod is the same while nothing waits, when there is nothing to hurry
	// for.
	idlePeriod = 100 * time.Millisecond
	// noUpstreamRetry is the time after which a caller may try again a service
	// of which all upstreams are out.
	noUpstreamRetry = 5 * time.Second
	// refusedPause keeps a request whose dispatch was refused from asking the
	// same full agents again at once.
	refusedPause = 5 * time.Millisecond
)

// Router takes requests to upstreams. Exported fields are set before Run.
type Router struct {
	Self    core.Instance
	Clock   core.Clock
	Table   func() *core.Table
	Links   *pool.Keyed[netip.AddrPort, *links.Link]
	Picker  core.Picker
	Limiter *admit.Limiter
	Budgets *retry.Budgets
	// Subset is the number of upstreams used for each service; zero means
	// picker.DefaultSubsetSize.
	Subset int
	Logger log.Logger
	Claims *claim.Claims
	Prefix *Affinity

	journal Journal
	mu      sync.Mutex
	queues  map[string]*admit.Queue
	subsets map[string]subset
	// peers names the live entries of the own zone.
	peers []string
	// leaving holds the agents whose instances the platform lists as leaving.
	leaving map[netip.AddrPort]bool
}

// subset caches the upstreams that the entry uses for a service at one version
// of the table.
type subset struct {
	state     *core.ServiceState
	upstreams []*core.UpstreamState
}

// Run grants queued requests credit that appears with time, until ctx ends.
func (r *Router) Run(ctx context.Context) error {
	for {
		period := grantPeriod
		if r.Queued() == 0 {
			period = idlePeriod
		}
		if err := r.Clock.Sleep(ctx, period); err != nil {
			return nil
		}
		for _, q := range r.allQueues() {
			q.Grant()
		}
	}
}

func (r *Router) allQueues() []*admit.Queue {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*admit.Queue, 0, len(r.queues))
	for _, q := range r.queues {
		out = append(out, q)
	}
	return out
}

// Queued returns the number of requests that wait for capacity.
func (r *Router) Queued() int {
	n := 0
	for _, q := range r.allQueues() {
		n += q.Len()
	}
	return n
}

func (r *Router) queue(s *core.ServiceState) *admit.Queue {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.queues == nil {
		r.queues = map[string]*admit.Queue{}
	}
	q := r.queues[s.Name]
	if q == nil {
		q = &admit.Queue{Clock: r.Clock, MaxLength: s.MaxQueued}
		r.queues[s.Name] = q
	}
	return q
}

// upstreams returns the entry's subset of the service's upstreams.
func (r *Router) upstreams(s *core.ServiceState) []*core.UpstreamState {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.subsets[s.Name]; ok && c.state == s {
		return c.upstreams
	}
	if r.subsets == nil {
		r.subsets = map[string]subset{}
	}
	chosen := picker.Subset(s.Name, r.Self.Name, r.Self.Zone, r.usable(s), r.Subset, r.peers...)
	r.subsets[s.Name] = subset{state: s, upstreams: chosen}
	return chosen
}

// usable leaves out upstreams that operators have taken out and those that are
// leaving, so that they do not use up places of the subset.
func (r *Router) usable(s *core.ServiceState) []*core.UpstreamState {
	var out []*core.UpstreamState
	for _, u := range s.Upstreams {
		if !u.Out && !r.leaving[u.Agent] && (s.RoutedUpstreams == nil || s.RoutedUpstreams[u.Name]) {
			out = append(out, u)
		}
	}
	return out
}

// List takes the instance list: agents that are leaving get no new requests. An
// address that also belongs to an instance that stays is that of a successor.
func (r *Router) List(instances []core.Instance) {
	leaving := map[netip.AddrPort]bool{}
	for _, in := range instances {
		if in.Role == core.RoleAgent && in.Leaving {
			leaving[in.PeerAddr] = true
		}
	}
	for _, in := range instances {
		if !in.Leaving {
			delete(leaving, in.PeerAddr)
		}
	}
	var peers []string
	for _, in := range instances {
		if in.Role == core.RoleEntry && in.Zone == r.Self.Zone && !in.Leaving {
			peers = append(peers, in.Name)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = leaving
	r.peers = peers
	r.subsets = nil
}

// Apply takes a new table: limits, budgets and queue lengths.
func (r *Router) Apply(t *core.Table, entries int) {
	r.Limiter.Update(t, entries)
	r.Budgets.Update(t)
	agents := map[netip.AddrPort]bool{}
	for _, u := range t.Upstreams {
		agents[u.Agent] = true
	}
	r.Links.Retain(func(a netip.AddrPort) bool { return agents[a] })
	r.mu.Lock()
	for name, q := range r.queues {
		if s := t.Services[name]; s != nil && s.MaxQueued > 0 {
			q.SetMaxLength(s.MaxQueued)
		}
	}
	r.mu.Unlock()
}

// Gauges publishes the router's state.
func (r *Router) Gauges() {
	meter.Gauge("queued", func() any { return r.Queued() })
}
