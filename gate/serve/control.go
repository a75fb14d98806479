package serve

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"parsleyroute.example/core"
	"parsleyroute.example/core/process/clock"
	"parsleyroute.example/gate/process/fleet"
	"parsleyroute.example/gate/process/ranks"
	"parsleyroute.example/gate/process/view"
	"parsleyroute.example/gate/version/route"
)

const (
	// controlInterval is the interval of the periodic work of the control loop.
	// minLoadUpdateInterval is the minimum time between load updates that
	// heartbeats of other gates trigger.
	controlInterval       = 50 * time.Millisecond
	minLoadUpdateInterval = 10 * time.Millisecond
	// gatesPerUpdateInterval is the number of gates for which the minimum grows
	// by another minLoadUpdateInterval, since an update takes time in proportion
	// to the number of gates.
	gatesPerUpdateInterval = 8
	// idleSweepInterval is the interval at which expired idle connections are
	// closed.
	idleSweepInterval = 500 * time.Millisecond
	// groupPollInterval is the interval at which groups that stand are polled, and
	// groupPollTimeout limits one call.
	groupPollInterval = 120 * time.Millisecond
	groupPollTimeout  = 100 * time.Millisecond
	// registerRetryDelay is the delay before another attempt to register in the
	// store.
	registerRetryDelay = 2 * time.Second
)

// holderName returns the name under which a process contends for the lease.
func holderName(instance string, incarnation uint64) string {
	return fmt.Sprintf("%s/%x", instance, incarnation)
}

// hasEnded reports whether another contender has ended, so that its lease may be
// taken before it expires: a later process runs on its instance, or no
// heartbeats arrive from it while they do from most other gates. The latter
// counts only if the ranks check fencing tokens, since a process that still runs
// must have its orders refused from then on.
func (g *Gate) hasEnded(holder string) bool {
	instance, _, _ := strings.Cut(holder, "/")
	if instance == g.Settings.Instance {
		return holder != holderName(instance, g.gossip.Incarnation)
	}
	p := g.gossip.Presence(instance)
	return p.Known && (p.Silent && g.Settings.Fenced || holder != holderName(instance, p.Incarnation))
}

// isAlive reports whether heartbeats arrive from another contender's process.
func (g *Gate) isAlive(holder string) bool {
	instance, _, _ := strings.Cut(holder, "/")
	p := g.gossip.Presence(instance)
	return p.Alive && holder == holderName(instance, p.Incarnation)
}

// publishState sends a state to the control loop. It replaces a state that the
// loop has not received yet.
func (g *Gate) publishState(s view.State) {
	select {
	case <-g.states:
	default:
	}
	g.states <- s
}

// runControlLoop keeps the fleet up to date with the state of the store and the
// loads by other gates.
func (g *Gate) runControlLoop(ctx context.Context) {
	g.fleet.SetMembers(time.Now(), g.gossip.Members())
	tick := time.NewTicker(controlInterval)
	defer tick.Stop()
	var lastSweep, lastUpdate time.Time
	updateLoads := func() {
		slowdowns := g.gossip.RemoteSlowdowns()
		maps.Copy(slowdowns, g.slowRanks())
		g.fleet.UpdateRemoteLoads(g.gossip.RemoteLoads(), slowdowns, g.gossip.RemoteSilent())
		lastUpdate = time.Now()
		g.fleet.LearnLimits(lastUpdate, g.gossip.RemoteLimits())
		g.fleet.LearnDepartures(lastUpdate, g.gossip.RemoteDepartures())
	}
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-g.states:
			g.applyState(s)
		case s := <-g.Reloads:
			g.gossip.Add(s.Seeds...)
		case <-g.heartbeatReceived:
			if time.Since(lastUpdate) > minLoadUpdateInterval*time.Duration(1+g.fleet.GateCount()/gatesPerUpdateInterval) {
				updateLoads()
			}
		case now := <-tick.C:
			g.fleet.SetMembers(now, g.gossip.Members())
			updateLoads()
			g.fleet.CheckGroups(now, g.gossip.RemoteProgress())
			g.fleet.CheckSilence(now)
			g.relay.Tick()
			if now.Sub(lastSweep) > idleSweepInterval {
				g.fleet.CloseIdleConnections(now)
				lastSweep = now
			}
		}
	}
}

func (g *Gate) applyState(s view.State) {
	if s.Config != nil {
		if t := g.table.Load(); t == nil || t.Config != s.Config {
			g.table.Store(route.Compile(s.Config))
		}
	}
	g.fleet.Update(time.Now(), s.Upstreams, s.ZonesOut, s.Config)
	g.leader.SetGroups(ranks.GroupSpecs(s.Config, s.Upstreams))
	if s.Synced && s.Config != nil && !g.synced.Swap(true) {
		g.DecisionLog.Log("ready", "config", s.Config.Version, "upstreams", len(s.Upstreams))
	}
}

// pollStandingGroups asks the ranks of each group that stands whether the group
// runs again, since the store reports that only after the next periodic write of a
// member's entry. A rank in a new epoch is evidence that the group has formed anew.
// In the same epoch all ranks must answer, since a rank that is well answers also
// while another one stops the group. The rank that last did not answer is asked
// first, so that a standstill costs a call for each interval and not one for each
// rank.
func (g *Gate) pollStandingGroups(ctx context.Context) {
	tick := time.NewTicker(groupPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for name, s := range g.fleet.StandingGroups() {
			g.pollStandingGroup(ctx, name, s)
		}
		silent := g.fleet.SilentRanks()
		for i, r := range g.readReports(ctx, silent) {
			if r != nil {
				g.fleet.Hear(time.Now(), silent[i])
			}
		}
	}
}

func (g *Gate) pollStandingGroup(ctx context.Context, name string, s fleet.StandingGroup) {
	if s.Suspect == nil {
		return
	}
	member := s.Members[rand.IntN(len(s.Members))]
	answers := g.readReports(ctx, []*fleet.Upstream{s.Suspect, member})
	for _, r := range answers {
		if r != nil && r.Open && r.Group == name && r.Epoch > s.Epoch {
			g.beginTrial(name, r.Epoch, member.ID)
			return
		}
	}
	if !runsIn(answers[0], name, s.Epoch) {
		g.fleet.SuspectRank(name, s.Suspect.ID)
		return
	}
	if len(s.Members) < s.Suspect.Entry().Group.Size {
		return
	}
	for i, r := range g.readReports(ctx, s.Members) {
		if !runsIn(r, name, s.Epoch) {
			g.fleet.SuspectRank(name, s.Members[i].ID)
			return
		}
	}
	g.beginTrial(name, s.Epoch, "all_ranks")
}

// runsIn reports whether a rank states that it is in the group in the given epoch,
// and that neither a missing rank nor a switch of maps holds it.
func runsIn(r *core.RankReport, name string, epoch uint64) bool {
	return r != nil && r.Open && !r.Held && r.Group == name && r.Epoch == epoch
}

func (g *Gate) beginTrial(name string, epoch uint64, source string) {
	if g.fleet.BeginTrial(time.Now(), name, epoch, source) {
		g.relay.Tick()
	}
}

// readReports returns the reports of the ranks, nil for each that does not answer
// in time.
func (g *Gate) readReports(ctx context.Context, upstreams []*fleet.Upstream) []*core.RankReport {
	rctx, cancel := context.WithTimeout(ctx, groupPollTimeout)
	defer cancel()
	reports := make([]*core.RankReport, len(upstreams))
	var wg sync.WaitGroup
	for i, u := range upstreams {
		wg.Go(func() {
			if r, err := g.ranks.Report(rctx, core.RankAddr{Instance: u.ID, Engine: u.Conns.Addr}, false); err == nil {
				reports[i] = &r
			}
		})
	}
	wg.Wait()
	return reports
}

// register writes this gate's address to the store and reads the addresses of
// the other gates there, for gates whose seeds no longer run. It retries until
// it succeeds, and does so again once the store has come back from a copy, which may
// not have the address.
func (g *Gate) register(ctx context.Context) {
	registered := false
	var era uint64
	for ; ctx.Err() == nil; _ = (clock.Real{}).Sleep(ctx, registerRetryDelay) {
		known := g.storeEra()
		if registered && known == era {
			continue
		}
		if err := g.registerOnce(ctx); err != nil {
			g.DecisionLog.Log("register_failed", "era", known, "error", err)
			registered = false
			continue
		}
		if era = known; !registered {
			// The first responses have named the era.
			era = g.storeEra()
		}
		registered = true
	}
}

// storeEra returns the latest era of the store that this gate or one that it follows has
// seen.
func (g *Gate) storeEra() uint64 {
	era := g.store.Era()
	for _, k := range g.view.KnownRevisions() {
		era = max(era, core.Era(k.GetRevision()))
	}
	return era
}

func (g *Gate) registerOnce(ctx context.Context) error {
	list, _, err := g.store.ListKind(ctx, core.KindInstance)
	if err != nil {
		return err
	}
	own := core.Object{
		Key:    core.Key{Kind: core.KindInstance, Name: g.Settings.Instance},
		Writer: g.Settings.Instance, Value: []byte(g.Settings.Peers.String()),
	}
	names := make([]string, len(list))
	for i, o := range list {
		names[i] = o.Name
	}
	g.gossip.SetRegisteredGates(names)
	write := g.store.Create
	for _, o := range list {
		if o.Name == own.Name {
			if string(o.Value) == string(own.Value) {
				write = nil
				continue
			}
			own.Version, write = o.Version, g.store.Update
			continue
		}
		if a, err := netip.ParseAddrPort(string(o.Value)); err == nil {
			g.gossip.Add(a)
		}
	}
	if write == nil {
		return nil
	}
	_, err = write(ctx, own)
	return err
}

// slowRanks returns the slowdowns of the slow ranks in the groups that this gate
// leads, by the hash of the instance name.
func (g *Gate) slowRanks() map[uint64]float64 {
	slowdowns := map[uint64]float64{}
	for id, slowdown := range g.leader.SlowRanks() {
		slowdowns[xxhash.Sum64String(id)] = slowdown
	}
	return slowdowns
}
