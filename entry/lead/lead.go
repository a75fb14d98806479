package lead

import (
	"cmp"
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/samber/lo"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/lease"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/request/claim"
	"parsleyroute.example/core/version/commit"
	"parsleyroute.example/core/version/expert"
	"parsleyroute.example/core/version/rebal"
)

const (
	// contenders is the number of entries that contend for a lease.
	contenders = 3
	// sweepLease names the lease for the removal of old claims.
	sweepLease = "claims"
	// sweepPeriod is the time between two removals.
	sweepPeriod = time.Hour
	// rankTimeout bounds a call to a rank's agent.
	rankTimeout = time.Second
)

// Leader runs the work whose leases this entry contends for. Exported fields
// are set before Run.
type Leader struct {
	Self   string
	Holder string
	Key    string
	Store  core.Store
	Clock  core.Clock
	Logger log.Logger

	once   sync.Once
	plans  chan map[string]group
	client *http.Client
}

// group is what the leader needs to know of a group of ranks.
type group struct {
	shape  expert.Shape
	agents []netip.AddrPort
}

func (g group) equal(o group) bool { return g.shape == o.shape && slices.Equal(g.agents, o.agents) }

func (l *Leader) init() {
	l.once.Do(func() {
		l.plans = make(chan map[string]group, 1)
		l.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 30 * time.Second}}
	})
}

// Apply takes a new configuration and instance list. It does not block.
func (l *Leader) Apply(table *core.Table, instances []core.Instance) {
	l.init()
	plan := map[string]group{}
	for name, g := range groups(table) {
		if contends(name, l.Self, instances) {
			plan[name] = g
		}
	}
	if contends(sweepLease, l.Self, instances) {
		plan[sweepLease] = group{}
	}
	select {
	case <-l.plans:
	default:
	}
	l.plans <- plan
}

// groups returns the complete groups of services that declare their experts.
func groups(table *core.Table) map[string]group {
	out := map[string]group{}
	members := lo.GroupBy(lo.Values(table.Upstreams), func(u *core.UpstreamState) string { return u.Group })
	delete(members, "")
	for name, ups := range members {
		s := table.Services[ups[0].Service]
		if s == nil || s.Layers == 0 {
			continue
		}
		slices.SortFunc(ups, func(a, b *core.UpstreamState) int { return cmp.Compare(a.Rank, b.Rank) })
		g := group{shape: expert.Shape{Layers: s.Layers, Ranks: len(ups), SlotsPerRank: s.SlotsPerRank, Experts: s.Experts}}
		for i, u := range ups {
			if u.Rank == i {
				g.agents = append(g.agents, u.Agent)
			}
		}
		if len(g.agents) == len(ups) && g.shape.Check() == nil {
			out[name] = g
		}
	}
	return out
}

// contends reports whether self is among the first entries for a lease by
// rendezvous hashing. An entry that is not listed contends, too: the list may
// lag or be unknown.
func contends(name, self string, instances []core.Instance) bool {
	score := func(entry string) uint64 { return xxhash.Sum64String(name + "\x00" + entry) }
	own, ahead := score(self), 0
	for _, i := range instances {
		if i.Role == core.RoleEntry && !i.Leaving && i.Name != self && score(i.Name) > own {
			ahead++
		}
	}
	return ahead < contenders
}

// Run follows the plans until ctx ends and waits for the work to end.
func (l *Leader) Run(ctx context.Context) error {
	l.init()
	type job struct {
		group group
		stop  func()
	}
	jobs := map[string]job{}
	defer func() {
		for _, j := range jobs {
			j.stop()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case plan := <-l.plans:
			for name, j := range jobs {
				if g, ok := plan[name]; !ok || !g.equal(j.group) {
					j.stop()
					delete(jobs, name)
				}
			}
			for name, g := range plan {
				if _, ok := jobs[name]; !ok {
					jobs[name] = job{group: g, stop: l.start(ctx, name, g)}
				}
			}
		}
	}
}

// start contends for a lease and does its work while it is held. The returned
// function ends both and waits.
func (l *Leader) start(ctx context.Context, name string, g group) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	held := &lease.Lease{Store: l.Store, Clock: l.Clock, Name: name, Holder: l.Holder, Logger: l.Logger}
	work := func() { l.rebalance(ctx, name, g, held) }
	if name == sweepLease {
		work = func() { l.sweep(ctx, held) }
	}
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); _ = held.Run(ctx) }()
	go func() { defer wg.Done(); work() }()
	return func() { cancel(); wg.Wait() }
}

func (l *Leader) rebalance(ctx context.Context, name string, g group, held *lease.Lease) {
	c := &rebal.Controller{
		Group: name, Shape: g.shape, Lease: held, Store: l.Store, Placer: expert.Incremental{},
		Clock: l.Clock, Logger: l.Logger, Writer: l.Holder,
	}
	for i, addr := range g.agents {
		client := commit.NewClient("http://"+addr.String(), name, l.Key, rankTimeout, l.client)
		c.Ranks = append(c.Ranks, client)
		if i == 0 {
			c.Switcher = client
		}
	}
	_ = c.Run(ctx)
}

func (l *Leader) sweep(ctx context.Context, held *lease.Lease) {
	s := &claim.Sweeper{Store: l.Store, Clock: l.Clock}
	for l.Clock.Sleep(ctx, sweepPeriod) == nil {
		if _, ok := held.Held(); !ok {
			continue
		}
		n, err := s.Sweep(ctx)
		meter.AddEvents("claims_removed", int64(n))
		if err != nil {
			_ = level.Warn(l.Logger).Log("msg", "old claims not removed", "err", err)
		}
	}
}
