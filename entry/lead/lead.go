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
	"parsleyroute.example/core/conn/rest"
	"parsleyroute.example/core/process/lease"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/request/claim"
	"parsleyroute.example/core/version/commit"
	"parsleyroute.example/core/version/expert"
	"parsleyroute.example/core/version/rebal"
)

const (
	// contendersPerLease is the number of entries that contend for each lease.
	contendersPerLease = 3
	// sweepLease is the name of the lease for the removal of old claims.
	sweepLease = "claims"
	// sweepInterval is the time between two removals of old claims.
	sweepInterval = time.Hour
	// rankTimeout limits a call to the agent of a rank.
	rankTimeout = time.Second
)

// Leader contends for the leases that are assigned to this entry and runs the tasks
// whose leases it holds. Exported fields must be set before Run.
type Leader struct {
	// Self is the name of this entry.
	Self string
	// Holder identifies this process as the holder of a lease.
	Holder string
	// Key is the peer key for calls to agents.
	Key    string
	Store  core.Store
	Clock  core.Clock
	Logger log.Logger

	once        sync.Once
	assignments chan map[string]rankGroup // tasks to contend for, by lease name
	client      *http.Client
}

// rankGroup describes a group of ranks; agents is in the order of the ranks.
type rankGroup struct {
	shape  expert.Shape
	agents []netip.AddrPort
}

func (g rankGroup) equal(o rankGroup) bool {
	return g.shape == o.shape && slices.Equal(g.agents, o.agents)
}

func (l *Leader) init() {
	l.once.Do(func() {
		l.assignments = make(chan map[string]rankGroup, 1)
		l.client = &http.Client{Transport: &rest.LimitedTransport{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 30 * time.Second}}}
	})
}

// Apply determines the tasks to contend for from a table and an instance list. It
// does not block.
func (l *Leader) Apply(table *core.Table, instances []core.Instance) {
	l.init()
	assignment := map[string]rankGroup{}
	for name, g := range rankGroups(table) {
		if isContender(name, l.Self, instances) {
			assignment[name] = g
		}
	}
	if isContender(sweepLease, l.Self, instances) {
		assignment[sweepLease] = rankGroup{}
	}
	// Replace an assignment that Run has not received yet.
	select {
	case <-l.assignments:
	default:
	}
	l.assignments <- assignment
}

// rankGroups returns the groups of services that declare experts. It leaves out
// groups whose ranks are not numbered from 0 without gaps.
func rankGroups(table *core.Table) map[string]rankGroup {
	out := map[string]rankGroup{}
	byGroup := lo.GroupBy(lo.Values(table.Upstreams), func(u *core.UpstreamState) string { return u.Group })
	delete(byGroup, "")
	for name, ups := range byGroup {
		s := table.Services[ups[0].Service]
		if s == nil || s.Layers == 0 {
			continue
		}
		slices.SortFunc(ups, func(a, b *core.UpstreamState) int { return cmp.Compare(a.Rank, b.Rank) })
		g := rankGroup{shape: expert.Shape{Layers: s.Layers, Ranks: len(ups), SlotsPerRank: s.SlotsPerRank, Experts: s.Experts}}
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

// isContender reports whether self is among the first contendersPerLease entries for
// a lease by rendezvous hashing. An entry that is not in the list also contends,
// because the list may be outdated or unknown.
func isContender(name, self string, instances []core.Instance) bool {
	score := func(entry string) uint64 { return xxhash.Sum64String(name + "\x00" + entry) }
	ownScore, higher := score(self), 0
	for _, i := range instances {
		if i.Role == core.RoleEntry && !i.Leaving && i.Name != self && score(i.Name) > ownScore {
			higher++
		}
	}
	return higher < contendersPerLease
}

// Run starts and stops tasks according to the latest assignment until ctx ends. It
// then waits until all tasks have stopped.
func (l *Leader) Run(ctx context.Context) error {
	l.init()
	type job struct {
		group rankGroup
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
		case assignment := <-l.assignments:
			for name, j := range jobs {
				if g, ok := assignment[name]; !ok || !g.equal(j.group) {
					j.stop()
					delete(jobs, name)
				}
			}
			for name, g := range assignment {
				if _, ok := jobs[name]; !ok {
					jobs[name] = job{group: g, stop: l.startWork(ctx, name, g)}
				}
			}
		}
	}
}

// startWork contends for a lease and runs its task while the lease is held. The
// returned function stops both and waits for them.
func (l *Leader) startWork(ctx context.Context, name string, g rankGroup) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	workLease := &lease.Lease{Store: l.Store, Clock: l.Clock, Name: name, Holder: l.Holder, Logger: l.Logger}
	work := func() { l.rebalance(ctx, name, g, workLease) }
	if name == sweepLease {
		work = func() { l.sweep(ctx, workLease) }
	}
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); _ = workLease.Run(ctx) }()
	go func() { defer wg.Done(); work() }()
	return func() { cancel(); wg.Wait() }
}

func (l *Leader) rebalance(ctx context.Context, name string, g rankGroup, workLease *lease.Lease) {
	c := &rebal.Controller{
		Group: name, Shape: g.shape, Lease: workLease, Store: l.Store, Placer: expert.Incremental{},
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

func (l *Leader) sweep(ctx context.Context, workLease *lease.Lease) {
	s := &claim.Sweeper{Store: l.Store, Clock: l.Clock}
	for l.Clock.Sleep(ctx, sweepInterval) == nil {
		if _, ok := workLease.Held(); !ok {
			continue
		}
		n, err := s.Sweep(ctx)
		meter.AddEvents("claims_removed", int64(n))
		if err != nil {
			_ = level.Warn(l.Logger).Log("msg", "old claims not removed", "err", err)
		}
	}
}
