package ranks

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"parsleyroute.example/core/process/clock"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/lease"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/process/trail"
)

const (
	// leaseName names the lease of the leader of all groups.
	leaseName = "ranks"
	// leaseTTL is how long the groups may be without a leader after one has died
	// unnoticed; leaseRenew the time between its renewals, each of which is a
	// call to the store. Mostly the other gates notice within a second.
	leaseTTL   = 4 * time.Second
	leaseRenew = leaseTTL / 3
	// contendPeriod is the time between looks whether this gate contends.
	contendPeriod = 500 * time.Millisecond
)

// Leader contends for the lease and balances all groups while it holds it. Its
// exported fields are set before Run.
type Leader struct {
	// Ranks reaches the ranks through the processes beside them, and Direct the
	// engines themselves.
	Ranks  core.RankClient
	Direct core.RankClient
	Store  core.Store
	Trail  *trail.Trail
	// Holder names this process among the contenders.
	Holder string
	// Fenced is set if the ranks refuse orders with an outdated token. A leader
	// then goes on while nobody can reach the store.
	Fenced bool
	// Ended reports whether another contender's process is known to have ended.
	Ended func(holder string) bool
	// Alive reports whether another contender's process is known to run.
	Alive func(holder string) bool
	// PauseShare returns the part of the longest pause on time that the passes of
	// a pool take, zero if it is unknown.
	PauseShare func(pool string) float64
	// Contends reports whether this gate contends for the lease now.
	Contends func() bool

	specs atomic.Pointer[map[string]*Spec]
	lease atomic.Pointer[lease.Lease]
	nonce uint64
	// refused is the highest token that a rank has refused as outdated.
	refused atomic.Uint64
	// slow holds the paces of the slow ranks of each group, by instance.
	slow sync.Map
}

// Update takes over the groups.
func (l *Leader) Update(specs map[string]*Spec) { l.specs.Store(&specs) }

// Run leads until ctx ends. Switches that have begun are ended first.
func (l *Leader) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	l.nonce = rand.Uint64N(1 << nonceBits)
	wg.Go(func() { l.contend(ctx) })
	wg.Go(func() { l.guard(ctx) })
	groups := map[string]*group{}
	busy := map[string]*atomic.Bool{}
	tick := time.NewTicker(roundPeriod)
	defer tick.Stop()
	var leading uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		token, ok := l.held()
		if token != leading {
			l.Trail.Log("leader", "leading", ok, "token", token, "former", leading)
			leading = token
			// What a former term believed may be out of date. A round that is
			// still under way ends with its own group.
			groups, busy = map[string]*group{}, map[string]*atomic.Bool{}
		}
		if !ok {
			continue
		}
		for name, spec := range *l.specs.Load() {
			g := groups[name]
			if g == nil {
				g = l.newGroup(token)
				groups[name], busy[name] = g, &atomic.Bool{}
			}
			flag := busy[name]
			if !flag.CompareAndSwap(false, true) {
				continue
			}
			g.spec, g.pauseShare = spec, l.PauseShare(spec.Pool)
			wg.Go(func() {
				defer flag.Store(false)
				err := g.round(ctx)
				l.slow.Store(name, slowRanks{at: time.Now(), paces: g.slowRanks()})
				if err != nil {
					meter.Event("rank_round_errors")
					if trace.IsAccessDenied(err) {
						l.refused.Store(max(l.refused.Load(), token))
					}
					l.Trail.Log("round_failed", "group", name, "epoch", g.epoch, "token", token, "error", err)
				}
			})
		}
	}
}

func (l *Leader) newGroup(token uint64) *group {
	return &group{ranks: l.Ranks, direct: l.Direct, trail: l.Trail, token: token, nonce: l.nonce}
}

// held returns the token under which this process leads, zero if it does not.
// Beyond the end of its term a leader goes on until it learns of another one,
// from the store or by a refusal: nobody can get the lease while the store is
// away, and a successor's first order shuts the former leader out.
func (l *Leader) held() (uint64, bool) {
	t := l.lease.Load()
	if t == nil {
		return 0, false
	}
	token, ok := t.Held()
	if !ok && l.Fenced {
		token, ok = t.Last()
	}
	if !ok || token <= l.refused.Load() {
		return 0, false
	}
	return token, true
}

// contend runs the lease while this gate contends for it.
func (l *Leader) contend(ctx context.Context) {
	for ctx.Err() == nil {
		if !l.Contends() {
			_ = clock.Real{}.Sleep(ctx, contendPeriod)
			continue
		}
		lctx, cancel := context.WithCancel(ctx)
		t := &lease.Lease{Store: l.Store, Name: leaseName, Holder: l.Holder, TTL: leaseTTL, Renew: leaseRenew, Ended: l.Ended, Alive: l.Alive}
		l.lease.Store(t)
		done := make(chan struct{})
		go func() {
			defer close(done)
			if err := t.Run(lctx); err != nil {
				l.Trail.Log("lease_failed", "error", err)
			}
		}()
		for ctx.Err() == nil && (l.Contends() || l.leads()) {
			_ = clock.Real{}.Sleep(ctx, contendPeriod)
		}
		cancel()
		<-done
	}
}

func (l *Leader) leads() bool {
	_, ok := l.held()
	return ok
}

// slowRanks are the paces of a group's slow ranks by instance, as of at.
type slowRanks struct {
	at    time.Time
	paces map[string]float64
}

// slowAge is the age up to which the paces that this leader has read count.
const slowAge = time.Second

// SlowRanks returns the paces of the slow ranks by instance, as far as this
// process leads their groups.
func (l *Leader) SlowRanks() map[string]float64 {
	paces := map[string]float64{}
	l.slow.Range(func(_, v any) bool {
		if s := v.(slowRanks); time.Since(s.at) < slowAge {
			maps.Copy(paces, s.paces)
		}
		return true
	})
	return paces
}
