// Package serve assembles the components of a gate and runs them.
package serve

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/core/conn/server"
	"parsleyroute.example/core/process/evlog"
	"parsleyroute.example/core/process/side"
	"parsleyroute.example/core/process/start"
	"parsleyroute.example/core/wire"
	"parsleyroute.example/gate/conn/body"
	"parsleyroute.example/gate/conn/inlet"
	"parsleyroute.example/gate/process/crash"
	"parsleyroute.example/gate/process/fleet"
	"parsleyroute.example/gate/process/gossip"
	"parsleyroute.example/gate/process/policy"
	"parsleyroute.example/gate/process/ranks"
	"parsleyroute.example/gate/process/view"
	"parsleyroute.example/gate/request/relay"
	"parsleyroute.example/gate/version/route"
	"parsleyroute.example/platform"
)

const (
	// drainNoticeTime is how long a gate that shuts down continues to accept
	// connections: the platform's load balancer checks readiness every second
	// and removes a gate after two failed checks.
	drainNoticeTime = 3200 * time.Millisecond
	// drainEstimateTime is how long such a gate accepts requests that probably end in time.
	// Operators excuse a response that is cut off at the end of the grace only if its
	// request was sent within 3 s of the signal, which may be handled late.
	drainEstimateTime = 2700 * time.Millisecond
	// maxGraceMargin limits the part of the grace time that is left after the wait for
	// requests in flight, and maxAnswerMargin the part before it in which requests that
	// have not ended get their final response. Together they are at most an eighth of
	// the grace, since a response that is cut off before its last sixth is not excused.
	maxGraceMargin     = 500 * time.Millisecond
	graceMarginDivisor = 12
	maxAnswerMargin    = 250 * time.Millisecond
)

// drainTimes returns how long a gate that shuts down waits for requests in flight, and how
// long it lets them continue.
func drainTimes(grace time.Duration) (wait, answer time.Duration) {
	margin := min(maxGraceMargin, grace/graceMarginDivisor)
	return grace - margin, grace - margin - min(maxAnswerMargin, margin/2)
}

const (
	// maxContenders is the number of gates that contend for the leader's lease.
	// Each of them calls the store about once a second.
	maxContenders = 2
	// bodyMemory is the share of the memory for the bodies of requests, in hundredths, and
	// responseMemory that for responses that are buffered. The heap grows by a quarter
	// beyond what is in use before it is collected, and a gate without bodies needs about
	// 20 MB.
	bodyMemory     = 40
	responseMemory = 15
	// filesPerConnection is the number of file descriptors per open connection
	// of a caller, so that callers use at most half of the descriptors.
	filesPerConnection = 2
)

// Gate is one gate process. Exported fields must be set before Run.
type Gate struct {
	Settings Settings
	// Reloads delivers settings that were reloaded. Only new seeds take effect;
	// a change of other settings requires a restart.
	Reloads     <-chan Settings
	DecisionLog *evlog.Logger

	store    *platform.Store
	view     *view.View
	fleet    *fleet.Fleet
	gossip   *gossip.Gossip
	relay    *relay.Relay
	leader   *ranks.Leader
	ranks    core.RankClient
	crashes  *crash.Saver
	callers  *inlet.Server
	table    atomic.Pointer[route.Table]
	synced   atomic.Bool
	draining atomic.Bool
	states   chan view.State
	// heartbeatReceived is signaled when a heartbeat of another gate has
	// arrived.
	heartbeatReceived chan struct{}
}

// Run serves until ctx ends, then drains and returns.
func (g *Gate) Run(ctx context.Context) error {
	base, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g.build(base)
	ready := &server.Server{App: g.readinessApp(), Listen: g.Settings.Ready}
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
	wg.Go(func() { g.runControlLoop(base) })
	wg.Go(func() { g.register(base) })
	wg.Go(func() { g.leader.Run(base) })
	wg.Go(func() { g.crashes.Run(base) })
	wg.Go(func() { g.pollStandingGroups(base) })
	wg.Go(func() {
		if err := g.gossip.Run(base); err != nil {
			g.DecisionLog.Log("gossip_failed", "error", err)
		}
	})
	g.DecisionLog.Log("started", "callers", g.Settings.Callers, "peers", g.Settings.Peers, "zone", g.Settings.Zone)
	<-ctx.Done()
	err := g.drain()
	stop()
	wg.Wait()
	g.DecisionLog.Log("ended", "cause", endCause(err))
	return nil
}

// endCause returns the cause that the log event "ended" reports.
func endCause(err error) string {
	if err == nil {
		return "drained"
	}
	return err.Error()
}

// build creates the components. Their background work ends with base.
func (g *Gate) build(base context.Context) {
	s := &g.Settings
	s.applyDefaults()
	g.states, g.heartbeatReceived = make(chan view.State, 1), make(chan struct{}, 1)
	g.store = platform.NewStore(s.Store)
	g.fleet = &fleet.Fleet{
		ColdLimit:   fleet.ColdLimit{Overshoot: s.Cold.Overshoot, Slack: s.Cold.Slack},
		DecisionLog: g.DecisionLog, OnLoadChange: func() { g.gossip.LoadChanged() }, OnLimitDrop: func() { g.gossip.Announce() }, OnDeparture: func() { g.gossip.Announce() },
	}
	g.view = &view.View{
		Store: g.store, Decoder: platform.Decoder{}, DecisionLog: g.DecisionLog,
		OnChange: g.publishState, Pull: pullFromPeer, Heartbeat: s.Heartbeat.Duration,
		ShouldWatch:   func() bool { return g.gossip.ShouldWatch() },
		OnNewRevision: func() { g.gossip.Announce() },
	}
	g.gossip = &gossip.Gossip{
		Listen: s.Peers, Seeds: s.Seeds, Instance: s.Instance, Zone: s.Zone, Incarnation: start.Incarnation(),
		DecisionLog: g.DecisionLog, Loads: g.fleet.LocalLoads, Progress: g.fleet.LocalProgress, Silent: g.fleet.LocalSilent, Limits: g.fleet.LocalLimits, Departures: g.fleet.Departures, Slowdowns: g.slowRanks, KnownRevisions: g.view.KnownRevisions, Leaving: g.draining.Load, Watching: g.view.Watching,
		OnHeartbeat: func(addr netip.AddrPort, b *wire.Beat) {
			g.view.ObservePeer(base, addr, b.GetKnown())
			select {
			case g.heartbeatReceived <- struct{}{}:
			default:
			}
		},
	}
	g.relay = &relay.Relay{
		Protocol: platform.Protocol{}, Table: g.table.Load, DecisionLog: g.DecisionLog,
		Picker:      &fleet.Picker{Fleet: g.fleet, Zone: s.Zone},
		Responses:   &policy.ByteBudget{Limit: s.memoryShare(responseMemory)},
		RetryLimits: relay.RetryLimits{Ratio: s.Retry.Ratio, Burst: s.Retry.Burst, Window: s.Retry.Window.Duration},
	}
	g.fleet.OnRestart = g.relay.ConfirmCrash
	g.relay.OnContainmentChange, g.relay.Position = g.gossip.Announce, g.gossip.Position
	g.gossip.Containment = &g.relay.Containment
	workers := platform.NewWorkerClient()
	g.ranks = &side.Client{Port: s.Ranks, Direct: workers, HTTP: sidecarClient}
	g.leader = &ranks.Leader{
		Ranks: g.ranks, Direct: workers,
		Store: g.store, DecisionLog: g.DecisionLog, Holder: holderName(s.Instance, g.gossip.Incarnation),
		Fenced: s.Fenced, Era: g.store.Era, Ended: g.hasEnded, Alive: g.isAlive,
		GapShare: g.fleet.GapShare,
		Contends: func() bool { return !g.draining.Load() && g.gossip.AmongLowestAddresses(maxContenders) },
	}
	g.leader.SetGroups(nil)
	g.crashes = &crash.Saver{
		Store: g.store, Containment: &g.relay.Containment, DecisionLog: g.DecisionLog, Instance: s.Instance,
		IsWriter: g.leader.Leading, Era: g.store.Era, OnLearn: g.gossip.Announce,
	}
	g.callers = &inlet.Server{
		Listen: s.Callers, Handler: g.relay, MaxConnections: s.Files / filesPerConnection,
		Bodies: &body.Store{Limit: s.memoryShare(bodyMemory)},
		Limits: func() core.CallerLimits {
			if t := g.table.Load(); t != nil {
				return t.Config.Limits
			}
			return core.CallerLimits{}
		},
	}
}

// drain fails the readiness checks, continues to accept requests that end within
// the grace until the platform's load balancer has detected that, and then waits
// for the requests in flight.
func (g *Gate) drain() error {
	g.draining.Store(true)
	g.callers.Drain()
	now := time.Now()
	grace, answer := drainTimes(g.Settings.Grace.Duration)
	g.DecisionLog.Log("draining", "active", g.callers.Active(), "grace", grace)
	g.relay.Drain(policy.Shutdown{EstimateUntil: now.Add(drainEstimateTime), End: now.Add(answer)})
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	select {
	case <-time.After(min(drainNoticeTime, grace/2)):
	case <-ctx.Done():
	}
	return g.callers.Close(ctx)
}
