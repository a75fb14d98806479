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
	// maxAttempts is the maximum number of attempts of a request that fail at
	// upstreams, and of consecutive attempts to resume a stream.
	maxAttempts = 3
	// maxRefusals is the maximum number of dispatches of a request that agents
	// refuse. A refusal causes no work at an upstream and therefore uses no retry
	// budget. Refusals of repeatable requests by agents at their limit do not
	// count, because these requests wait in the queue until their deadline.
	maxRefusals = 16
	// maxRecordedAttempts is the maximum number of attempts of a request in the
	// journal.
	maxRecordedAttempts = 32
	// grantInterval is the time between checks for upstream capacity that becomes
	// available with time alone, such as at the end of a backoff.
	grantInterval = 20 * time.Millisecond
	// idleGrantInterval replaces grantInterval while no request is queued.
	idleGrantInterval = 100 * time.Millisecond
	// noUpstreamRetryAfter is the retry delay for callers of a service that has
	// no upstream which may serve the request.
	noUpstreamRetryAfter = 5 * time.Second
	// refusalRetryDelay is the delay before the next dispatch after a refusal. It
	// prevents an immediate retry at an agent that is still at its limit.
	refusalRetryDelay = 5 * time.Millisecond
)

// Router dispatches requests to upstreams. Exported fields must be set before Run.
type Router struct {
	Self    core.Instance
	Clock   core.Clock
	Table   func() *core.Table
	Links   *pool.Keyed[netip.AddrPort, *links.Link]
	Picker  core.Picker
	Limiter *admit.Limiter
	Budgets *retry.Budgets
	// SubsetSize is the number of upstreams used for each service; zero means
	// picker.DefaultSubsetSize.
	SubsetSize int
	Logger     log.Logger
	Claims     *claim.Claims
	Affinity   *Affinity

	journal Journal
	mu      sync.Mutex
	queues  map[string]*admit.Queue
	subsets map[string]cachedSubset
	// peers holds the names of the entries in the same zone that are not leaving.
	peers []string
	// leaving holds the addresses of agents that the platform lists as leaving.
	leaving map[netip.AddrPort]bool
}

// cachedSubset holds the upstreams that the entry uses for a service in one
// version of the table.
type cachedSubset struct {
	service   *core.ServiceState
	upstreams []*core.UpstreamState
}

// Run periodically assigns upstream capacity to queued requests until ctx ends.
func (r *Router) Run(ctx context.Context) error {
	for {
		interval := grantInterval
		if r.Queued() == 0 {
			interval = idleGrantInterval
		}
		if err := r.Clock.Sleep(ctx, interval); err != nil {
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

// upstreamSubset returns the upstreams of the service that this entry uses.
func (r *Router) upstreamSubset(s *core.ServiceState) []*core.UpstreamState {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cached, ok := r.subsets[s.Name]; ok && cached.service == s {
		return cached.upstreams
	}
	if r.subsets == nil {
		r.subsets = map[string]cachedSubset{}
	}
	selected := picker.Subset(s.Name, r.Self.Name, r.Self.Zone, r.usableUpstreams(s), r.SubsetSize, r.peers...)
	r.subsets[s.Name] = cachedSubset{service: s, upstreams: selected}
	return selected
}

// usableUpstreams returns the upstreams of the service without those that are
// taken out by operators, excluded by a routing rule or leaving, so that these
// are not counted in the subset. r.mu must be held.
func (r *Router) usableUpstreams(s *core.ServiceState) []*core.UpstreamState {
	var out []*core.UpstreamState
	for _, u := range s.Upstreams {
		if !u.Out && !r.leaving[u.Agent] && (s.RoutedUpstreams == nil || s.RoutedUpstreams[u.Name]) {
			out = append(out, u)
		}
	}
	return out
}

// SetInstances sets the instance list. Agents that are leaving receive no new
// requests, unless an instance that is not leaving has the same address: that
// instance is the successor.
func (r *Router) SetInstances(instances []core.Instance) {
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

// ApplyTable updates rate limits, retry budgets and queue lengths, and closes the
// links to agents that are not in the table. entryCount is the number of entries
// that share the rate limits.
func (r *Router) ApplyTable(t *core.Table, entryCount int) {
	r.Limiter.Update(t, entryCount)
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

// RegisterGauges registers the gauges of the router.
func (r *Router) RegisterGauges() {
	meter.Gauge("queued", func() any { return r.Queued() })
}
