package serve

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"parsleyroute.example/core"
	"parsleyroute.example/core/process/clock"
	"parsleyroute.example/gate/process/ranks"
	"parsleyroute.example/gate/process/view"
	"parsleyroute.example/gate/version/route"
)

const (
	// controlPeriod is the time between looks at what changes with time, and
	// heardSpacing the least time between updates of the load by other gates.
	controlPeriod = 50 * time.Millisecond
	heardSpacing  = 10 * time.Millisecond
	// nearGates is the number of gates for which heardSpacing holds once: an
	// update takes time in proportion to their number.
	nearGates = 8
	// sweepPeriod is the time between looks for idle connections.
	sweepPeriod = 500 * time.Millisecond
	// groupPeriod is the time between questions to a group that is down, and
	// groupTimeout bounds one.
	groupPeriod  = 120 * time.Millisecond
	groupTimeout = 100 * time.Millisecond
	// registerWait bounds the attempts to register in the store at the start.
	registerWait = 2 * time.Second
)

// holder names a process among those that contend for the lease.
func holder(instance string, incarnation uint64) string {
	return fmt.Sprintf("%s/%x", instance, incarnation)
}

// ended reports whether a contender need not be waited for: a later process runs
// on its instance, or it is silent while most others are heard. If it lives, the
// ranks refuse its orders from then on.
func (g *Gate) ended(other string) bool {
	instance, _, _ := strings.Cut(other, "/")
	if instance == g.Settings.Instance {
		return other != holder(instance, g.gossip.Incarnation)
	}
	p := g.gossip.Present(instance)
	return p.Known && (p.Silent && g.Settings.Fenced || other != holder(instance, p.Incarnation))
}

// alive reports whether a contender's process is heard.
func (g *Gate) alive(other string) bool {
	instance, _, _ := strings.Cut(other, "/")
	p := g.gossip.Present(instance)
	return p.Heard && other == holder(instance, p.Incarnation)
}

// offer hands a state to the control goroutine. Only the newest counts.
func (g *Gate) offer(s view.State) {
	select {
	case <-g.states:
	default:
	}
	g.states <- s
}

// control owns the fleet.
func (g *Gate) control(ctx context.Context) {
	g.fleet.SetGates(g.gossip.Gates())
	tick := time.NewTicker(controlPeriod)
	defer tick.Stop()
	var swept, updated time.Time
	update := func() {
		paces := g.gossip.SlowPaces()
		maps.Copy(paces, g.slowRanks())
		g.fleet.Beat(g.gossip.Remote(), paces)
		updated = time.Now()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-g.states:
			g.apply(s)
		case s := <-g.Reloads:
			g.gossip.Add(s.Seeds...)
		case <-g.heard:
			if time.Since(updated) > heardSpacing*time.Duration(1+g.fleet.Gates()/nearGates) {
				update()
			}
		case now := <-tick.C:
			g.fleet.SetGates(g.gossip.Gates())
			update()
			g.relay.Tick()
			if now.Sub(swept) > sweepPeriod {
				g.fleet.Tick(now)
				swept = now
			}
		}
	}
}

func (g *Gate) apply(s view.State) {
	if s.Config != nil {
		if t := g.table.Load(); t == nil || t.Config != s.Config {
			g.table.Store(route.Compile(s.Config))
		}
	}
	g.fleet.Update(time.Now(), s.Upstreams, s.Out, s.Config)
	g.leader.SetGroups(ranks.GroupSpecs(s.Config, s.Upstreams))
	if s.Synced && s.Config != nil && !g.synced.Swap(true) {
		g.Trail.Log("ready", "config", s.Config.Version, "upstreams", len(s.Upstreams))
	}
}

// watchGroups asks a member of each group that is down whether the group runs
// again, since the store tells of it up to a heartbeat later.
func (g *Gate) watchGroups(ctx context.Context) {
	tick := time.NewTicker(groupPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for name, u := range g.fleet.DownGroups() {
			rctx, cancel := context.WithTimeout(ctx, groupTimeout)
			r, err := g.ranks.Report(rctx, core.RankAddr{Instance: u.ID, Engine: u.Conn.Addr}, false)
			cancel()
			if err == nil && r.Open && r.Group == name {
				g.fleet.GroupOpen(time.Now(), name, r.Epoch, u.ID)
				g.relay.Tick()
			}
		}
	}
}

// register writes this gate's address into the store and learns those of the
// others, for gates whose seeds are gone.
func (g *Gate) register(ctx context.Context) {
	for ctx.Err() == nil {
		err := g.registerOnce(ctx)
		if err == nil {
			return
		}
		g.Trail.Log("register_failed", "error", err)
		_ = clock.Real{}.Sleep(ctx, registerWait)
	}
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
	g.gossip.Registered(len(list))
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

// slowRanks returns the paces of the slow ranks that this gate knows as their
// leader, by key.
func (g *Gate) slowRanks() map[uint64]float64 {
	paces := map[uint64]float64{}
	for id, pace := range g.leader.SlowRanks() {
		paces[xxhash.Sum64String(id)] = pace
	}
	return paces
}
