// Package serve wires the parts of a gate together and runs them.
package serve

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyroute.example/core"
	"parsleyroute.example/core/conn/server"
	"parsleyroute.example/core/process/beside"
	"parsleyroute.example/core/process/start"
	"parsleyroute.example/core/process/trail"
	"parsleyroute.example/core/wire"
	"parsleyroute.example/gate/conn/inlet"
	"parsleyroute.example/gate/process/fleet"
	"parsleyroute.example/gate/process/gossip"
	"parsleyroute.example/gate/process/ranks"
	"parsleyroute.example/gate/process/view"
	"parsleyroute.example/gate/request/relay"
	"parsleyroute.example/gate/version/route"
	"parsleyroute.example/platform"
)

const (
	// noticeTime is how long a gate that ends goes on taking connections: the
	// balancer asks every second and needs two misses.
	noticeTime = 3200 * time.Millisecond
	// graceMargin is kept between the last request and the end of the grace
	// time.
	graceMargin = 500 * time.Millisecond
	// contenders is the number of gates that contend for the lease of the
	// leader, each of which calls the store about once a second.
	contenders = 2
	// connectionShare is the part of the descriptors that callers may use.
	connectionShare = 2
)

// Gate is one gate process. Exported fields are set before Run.
type Gate struct {
	Settings Settings
	// Reloads brings settings that were read anew. Of these, the seeds take
	// effect; the others need a new process.
	Reloads <-chan Settings
	Trail   *trail.Trail

	store    *platform.Store
	view     *view.View
	fleet    *fleet.Fleet
	gossip   *gossip.Gossip
	relay    *relay.Relay
	leader   *ranks.Leader
	ranks    core.RankClient
	callers  *inlet.Server
	table    atomic.Pointer[route.Table]
	synced   atomic.Bool
	draining atomic.Bool
	states   chan view.State
	// heard is signalled when another gate has told of its load.
	heard chan struct{}
}

// Run serves until ctx ends, then drains.
func (g *Gate) Run(ctx context.Context) error {
	base, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g.build(base)
	ready := &server.Server{App: g.readyApp(), Listen: g.Settings.Ready}
	peers := &server.Server{App: g.peersApp(), Listen: g.Settings.Peers}
	if err := errors.Join(g.callers.Start(), ready.Start(), peers.Start()); err != nil {
		return err
	}
	if g.Settings.Metrics.IsValid() {
		metrics := &server.Server{App: metricsApp(), Listen: g.Settings.Metrics}
		if err := metrics.Start(); err != nil {
			return err
		}
	}
	var wg sync.WaitGroup
	wg.Go(func() { g.view.Run(base) })
	wg.Go(func() { g.control(base) })
	wg.Go(func() { g.register(base) })
	wg.Go(func() { g.leader.Run(base) })
	wg.Go(func() { g.watchGroups(base) })
	wg.Go(func() {
		if err := g.gossip.Run(base); err != nil {
			g.Trail.Log("gossip_failed", "error", err)
		}
	})
	g.Trail.Log("started", "callers", g.Settings.Callers, "peers", g.Settings.Peers, "zone", g.Settings.Zone)
	<-ctx.Done()
	err := g.drain()
	stop()
	wg.Wait()
	g.Trail.Log("ended", "cause", errorText(err))
	return nil
}

func errorText(err error) string {
	if err == nil {
		return "drained"
	}
	return err.Error()
}

// build makes the parts. base bounds all work of the process.
func (g *Gate) build(base context.Context) {
	s := &g.Settings
	s.complete()
	g.states, g.heard = make(chan view.State, 1), make(chan struct{}, 1)
	g.store = platform.NewStore(s.Store)
	g.fleet = &fleet.Fleet{
		Bounds: fleet.Bounds{ColdOvershoot: s.Cold.Overshoot, ColdSlack: s.Cold.Slack},
		Trail:  g.Trail, OnLoad: func() { g.gossip.Changed() },
	}
	g.view = &view.View{
		Feed: g.store, Decoder: platform.Decoder{}, Trail: g.Trail,
		OnChange: g.offer, Pull: pull,
		Lead:    func() bool { return g.gossip.Leads() },
		OnKnown: func() { g.gossip.Announce() },
	}
	g.gossip = &gossip.Gossip{
		Listen: s.Peers, Seeds: s.Seeds, Instance: s.Instance, Zone: s.Zone, Incarnation: start.Incarnation(),
		Trail: g.Trail, Load: g.fleet.Loads, Paces: g.slowRanks, Known: g.view.Known, Leaving: g.draining.Load, Watching: g.view.Watching,
		OnBeat: func(addr netip.AddrPort, b *wire.Beat) {
			g.view.Heard(base, addr, b.GetKnown())
			select {
			case g.heard <- struct{}{}:
			default:
			}
		},
	}
	g.relay = &relay.Relay{
		Protocol: platform.Protocol{}, Table: g.table.Load, Trail: g.Trail,
		Picker:      &fleet.Picker{Fleet: g.fleet, Zone: s.Zone, Key: xxhash.Sum64String(s.Instance)},
		RetryLimits: relay.RetryLimits{Ratio: s.Retry.Ratio, Burst: s.Retry.Burst, Window: s.Retry.Window.Duration},
	}
	workers := platform.NewWorkers()
	g.ranks = &beside.Client{Port: s.Ranks, Direct: workers, HTTP: peerClient}
	g.leader = &ranks.Leader{
		Ranks: g.ranks, Direct: workers,
		Store: g.store, Trail: g.Trail, Holder: holder(s.Instance, g.gossip.Incarnation),
		Fenced: s.Fenced, Ended: g.ended, Alive: g.alive,
		GapShare: g.fleet.PauseShare,
		Contends: func() bool { return !g.draining.Load() && g.gossip.First(contenders) },
	}
	g.leader.SetGroups(nil)
	g.callers = &inlet.Server{
		Listen: s.Callers, Handler: g.relay, Connections: s.Files / connectionShare,
		Limits: func() core.CallerLimits {
			if t := g.table.Load(); t != nil {
				return t.Config.Limits
			}
			return core.CallerLimits{}
		},
	}
}

// drain reports not ready, goes on taking requests until the balancer has
// noticed, and then waits for those in flight.
func (g *Gate) drain() error {
	g.draining.Store(true)
	g.callers.Drain()
	grace := g.Settings.Grace.Duration - graceMargin
	g.Trail.Log("draining", "active", g.callers.Active(), "grace", grace)
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	select {
	case <-time.After(min(noticeTime, grace/2)):
	case <-ctx.Done():
	}
	return g.callers.Close(ctx)
}
