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
	"parsleyroute.example/core/process/evlog"
	"parsleyroute.example/core/process/lease"
	"parsleyroute.example/core/process/meter"
)

const (
	// leaseName is the name of the lease held by the leader of all groups.
	leaseName = "ranks"
	// leaseTTL bounds how long the groups are without a leader if the other gates
	// do not detect that it has died; usually they do so within a second.
	// leaseRenewInterval is the time between renewals, each of which is a call to
	// the store.
	leaseTTL           = 4 * time.Second
	leaseRenewInterval = leaseTTL / 3
	// contendInterval is the time between checks whether this gate contends.
	contendInterval = 500 * time.Millisecond
)

// Leader contends for the lease and balances all groups while it holds it. Its
// exported fields are set before Run.
type Leader struct {
	// Ranks reaches the ranks through their sidecars, Direct reaches the engines
	// without them.
	Ranks       core.RankClient
	Direct      core.RankClient
	Store       core.Store
	DecisionLog *evlog.Logger
	// Holder identifies this process among the contenders.
	Holder string
	// Fenced is set if the ranks refuse orders with an outdated token. A leader
	// then continues after its term while the store is unreachable.
	Fenced bool
	// Era returns the latest era of the store that is known, see lease.Lease.
	Era func() uint64
	// Ended reports whether another contender's process is known to have ended.
	Ended func(holder string) bool
	// Alive reports whether another contender's process is known to run.
	Alive func(holder string) bool
	// GapShare returns the duration of a pool's forward passes as a fraction of
	// the longest allowed gap between two events of a stream, zero if it is
	// unknown.
	GapShare func(pool string) float64
	// Contends reports whether this gate contends for the lease now.
	Contends func() bool

	specs atomic.Pointer[map[string]*GroupSpec]
	lease atomic.Pointer[lease.Lease]
	nonce uint64
	// refusedToken is the highest token that a rank has refused as outdated.
	refusedToken atomic.Uint64
	// slowRanks maps the name of each group to a slowRankSnapshot.
	slowRanks sync.Map
}

// SetGroups replaces the set of groups to balance.
func (l *Leader) SetGroups(specs map[string]*GroupSpec) { l.specs.Store(&specs) }

// Leading reports whether this gate leads the groups.
func (l *Leader) Leading() bool {
	_, ok := l.leaderToken()
	return ok
}

// Run contends for the lease and balances the groups while it holds it, until
// ctx ends. It returns after switches in progress have ended.
func (l *Leader) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	l.nonce = rand.Uint64N(1 << nonceBits)
	wg.Go(func() { l.runLease(ctx) })
	wg.Go(func() { l.recoverAbandonedSwitches(ctx) })
	groups := map[string]*group{}
	busy := map[string]*atomic.Bool{}
	tick := time.NewTicker(minRoundInterval)
	defer tick.Stop()
	var lastRound time.Time
	var currentToken uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		token, ok := l.leaderToken()
		if token != currentToken {
			l.DecisionLog.Log("leader", "leading", ok, "token", token, "former", currentToken)
			currentToken = token
			// State from a former term may be outdated. A round still in
			// progress finishes with its own group value.
			groups, busy = map[string]*group{}, map[string]*atomic.Bool{}
		}
		specs := *l.specs.Load()
		if !ok || time.Since(lastRound) < roundInterval(rankCount(specs))-minRoundInterval/2 {
			continue
		}
		lastRound = time.Now()
		for name, spec := range specs {
			g := groups[name]
			if g == nil {
				g = l.newGroup(token)
				groups[name], busy[name] = g, &atomic.Bool{}
			}
			running := busy[name]
			if !running.CompareAndSwap(false, true) {
				continue
			}
			g.spec, g.gapShare = spec, l.GapShare(spec.Pool)
			wg.Go(func() {
				defer running.Store(false)
				err := g.runRound(ctx)
				l.slowRanks.Store(name, slowRankSnapshot{at: time.Now(), slowdowns: g.slowRanks()})
				if err != nil {
					meter.Event("rank_round_errors")
					if trace.IsAccessDenied(err) {
						l.refusedToken.Store(max(l.refusedToken.Load(), token))
					}
					l.DecisionLog.Log("round_failed", "group", name, "epoch", g.epoch, "token", token, "error", err)
				}
			})
		}
	}
}

// rankCount returns the number of ranks of all groups.
func rankCount(specs map[string]*GroupSpec) int {
	n := 0
	for _, s := range specs {
		n += len(s.Members)
	}
	return n
}

func (l *Leader) newGroup(token uint64) *group {
	return &group{ranks: l.Ranks, direct: l.Direct, decisionLog: l.DecisionLog, token: token, nonce: l.nonce}
}

// leaderToken returns the token under which this process leads, zero if it does
// not. If orders are fenced, a leader continues after the end of its term until
// it learns of another leader, from the store or from a refused order: nobody
// can acquire the lease while the store is unreachable, and once a rank has
// received an order from a successor, it refuses those of the former leader.
func (l *Leader) leaderToken() (uint64, bool) {
	t := l.lease.Load()
	if t == nil {
		return 0, false
	}
	token, ok := t.Held()
	if !ok && l.Fenced {
		token, ok = t.LastToken()
	}
	if !ok || token <= l.refusedToken.Load() {
		return 0, false
	}
	return token, true
}

// runLease acquires and renews the lease while this gate contends for it.
func (l *Leader) runLease(ctx context.Context) {
	for ctx.Err() == nil {
		if !l.Contends() {
			_ = clock.Real{}.Sleep(ctx, contendInterval)
			continue
		}
		lctx, cancel := context.WithCancel(ctx)
		t := &lease.Lease{Store: l.Store, Name: leaseName, Holder: l.Holder, TTL: leaseTTL, RenewInterval: leaseRenewInterval, Ended: l.Ended, Alive: l.Alive, Era: l.Era, Fenced: l.Fenced}
		l.lease.Store(t)
		done := make(chan struct{})
		go func() {
			defer close(done)
			if err := t.Run(lctx); err != nil {
				l.DecisionLog.Log("lease_failed", "error", err)
			}
		}()
		for ctx.Err() == nil && (l.Contends() || l.isLeader()) {
			_ = clock.Real{}.Sleep(ctx, contendInterval)
		}
		cancel()
		<-done
	}
}

func (l *Leader) isLeader() bool {
	_, ok := l.leaderToken()
	return ok
}

// slowRankSnapshot holds the slowdowns of a group's slow ranks by instance at a
// point in time.
type slowRankSnapshot struct {
	at        time.Time
	slowdowns map[string]float64
}

// maxSlowRankAge is the age up to which a slowRankSnapshot is used.
const maxSlowRankAge = time.Second

// SlowRanks returns the slowdowns of the slow ranks by instance, for the groups
// that this process leads.
func (l *Leader) SlowRanks() map[string]float64 {
	slowdowns := map[string]float64{}
	l.slowRanks.Range(func(_, v any) bool {
		if s := v.(slowRankSnapshot); time.Since(s.at) < maxSlowRankAge {
			maps.Copy(slowdowns, s.slowdowns)
		}
		return true
	})
	return slowdowns
}
