// Package serve wires the parts of a gate together and runs them.
package serve

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"

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
	// defaultGrace is the default of Settings.Grace.
	defaultGrace = 8 * time.Second
	// controlPeriod is the time between updates of the load by other gates.
	controlPeriod = 50 * time.Millisecond
	// sweepPeriod is the time between looks for idle connections.
	sweepPeriod = 500 * time.Millisecond
	// groupPeriod is the time between questions to a group that is down, and
	// groupTimeout bounds one.
	groupPeriod  = 120 * time.Millisecond
	groupTimeout = 100 * time.Millisecond
	// registerWait bounds the attempts to register in the store at the start.
	registerWait = 2 * time.Second
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
	ranks    core.Ranks
	callers  *inlet.Server
	table    atomic.Pointer[route.Table]
	synced   atomic.Bool
	draining atomic.Bool
	states   chan view.State
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
	g.states = make(chan view.State, 1)
	g.store = platform.NewStore(s.Store)
	g.fleet = &fleet.Fleet{
		Bounds: fleet.Bounds{ColdOvershoot: s.Cold.Overshoot, ColdSlack: s.Cold.Slack},
		Trail:  g.Trail,
	}
	g.view = &view.View{
		Feed: g.store, Decoder: platform.Decoder{}, Trail: g.Trail,
		OnChange: g.offer, Pull: pull,
		Lead:    func() bool { return g.gossip.Leads() },
		OnKnown: func() { g.gossip.Announce() },
	}
	g.gossip = &gossip.Gossip{
		Listen: s.Peers, Seeds: s.Seeds, Instance: s.Instance, Zone: s.Zone, Incarnation: start.Incarnation(),
		Trail: g.Trail, Load: g.fleet.Loads, Known: g.view.Known, Leaving: g.draining.Load, Watching: g.view.Watching,
		OnBeat: func(addr netip.AddrPort, b *wire.Beat) { g.view.Heard(base, addr, b.GetKnown()) },
	}
	g.relay = &relay.Relay{
		Protocol: platform.Protocol{}, Table: g.table.Load, Trail: g.Trail,
		Picker: &fleet.Picker{Fleet: g.fleet, Zone: s.Zone},
		Bounds: relay.Bounds{RetryRatio: s.Retry.Ratio, RetryBurst: s.Retry.Burst, RetryWindow: s.Retry.Window.Or(10 * time.Second)},
	}
	workers := platform.NewWorkers()
	g.ranks = &beside.Client{Port: s.Ranks, Direct: workers, HTTP: peerClient}
	g.leader = &ranks.Leader{
		Ranks: g.ranks, Direct: workers,
		Store: g.store, Trail: g.Trail, Holder: holder(s.Instance, g.gossip.Incarnation),
		Fenced: s.Fenced, Ended: g.ended,
		Contends: func() bool { return !g.draining.Load() && g.gossip.First(contenders) },
	}
	g.leader.Update(nil)
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

// holder names a process among those that contend for the lease.
func holder(instance string, incarnation uint64) string {
	return fmt.Sprintf("%s/%x", instance, incarnation)
}

// ended reports whether a contender need not be waited for: a later process runs
// on its instance, or it is silent while others are heard. If it lives, the
// ranks refuse its orders from then on.
func (g *Gate) ended(other string) bool {
	instance, _, _ := strings.Cut(other, "/")
	if instance == g.Settings.Instance {
		return other != holder(instance, g.gossip.Incarnation)
	}
	incarnation, known, silent := g.gossip.Present(instance)
	return known && (silent && g.Settings.Fenced || other != holder(instance, incarnation))
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
	tick := time.NewTicker(controlPeriod)
	defer tick.Stop()
	var swept time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-g.states:
			g.apply(s)
		case s := <-g.Reloads:
			g.gossip.Add(s.Seeds...)
		case now := <-tick.C:
			g.fleet.SetGates(g.gossip.Gates())
			g.fleet.Beat(g.gossip.Remote())
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
	g.leader.Update(ranks.Specs(s.Config, s.Upstreams))
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
		select {
		case <-ctx.Done():
		case <-time.After(registerWait):
		}
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

// pull asks a peer for what it knows.
func pull(ctx context.Context, addr netip.AddrPort, r *wire.PullRequest) (*wire.PullResponse, error) {
	return wire.NewRelayProtobufClient("http://"+addr.String(), peerClient).Pull(ctx, r)
}

func (g *Gate) readyApp() *fiber.App {
	app := fiber.New(fiber.Config{AppName: "parsleyroute gate readiness"})
	app.Get("/-/readyz", func(c fiber.Ctx) error {
		if !g.synced.Load() || g.draining.Load() {
			return c.SendStatus(fiber.StatusServiceUnavailable)
		}
		return c.SendStatus(fiber.StatusOK)
	})
	return app
}

func (g *Gate) peersApp() *fiber.App {
	app := fiber.New(fiber.Config{AppName: "parsleyroute gate peers", IdleTimeout: time.Minute, Immutable: true})
	server.Twirp(app, wire.RelayPathPrefix, wire.NewRelayServer(view.Server{View: g.view}))
	return app
}

func metricsApp() *fiber.App {
	app := fiber.New(fiber.Config{AppName: "parsleyroute gate metrics"})
	server.Debug(app)
	return app
}

// drain reports not ready, goes on taking requests until the balancer has
// noticed, and then waits for those in flight.
func (g *Gate) drain() error {
	g.draining.Store(true)
	g.callers.Drain()
	grace := g.Settings.Grace.Or(defaultGrace) - graceMargin
	g.Trail.Log("draining", "active", g.callers.Active(), "grace", grace)
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	select {
	case <-time.After(min(noticeTime, grace/2)):
	case <-ctx.Done():
	}
	return g.callers.Close(ctx)
}
