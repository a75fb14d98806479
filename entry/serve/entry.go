package serve

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/gofiber/fiber/v3"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"parsleyroute.example/core"
	"parsleyroute.example/core/conn/links"
	"parsleyroute.example/core/conn/pool"
	"parsleyroute.example/core/conn/server"
	"parsleyroute.example/core/process/admin"
	"parsleyroute.example/core/process/clock"
	"parsleyroute.example/core/process/conf"
	"parsleyroute.example/core/process/objapi"
	"parsleyroute.example/core/process/spread"
	"parsleyroute.example/core/process/start"
	"parsleyroute.example/core/request/admit"
	"parsleyroute.example/core/request/claim"
	"parsleyroute.example/core/request/retry"
	"parsleyroute.example/core/version/rules"
	"parsleyroute.example/core/wire"
	"parsleyroute.example/entry/flow"
	"parsleyroute.example/entry/front"
	"parsleyroute.example/entry/lead"
)

// Entry is an entry process. Exported fields must be set before Run.
type Entry struct {
	Settings Settings
	Logger   log.Logger

	clock      core.Clock
	store      core.Store
	node       *spread.Node
	peerClient *spread.PeerClient
	router     *flow.Router
	// explainer finds the records of requests.
	explainer *flow.Explainer
	leader    *lead.Leader
	front     *front.Frontend
	table     atomic.Pointer[core.Table]
	draining  atomic.Bool
	// rules is used only by the node's goroutine that calls apply.
	rules rules.Compiler
}

// Run serves until ctx ends, then drains.
func (e *Entry) Run(ctx context.Context) error {
	base, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := e.build(base); err != nil {
		return err
	}
	callers := &server.Server{App: e.callerApp(), Listen: e.Settings.Listen}
	peers := &server.Server{App: e.peerApp(), Listen: e.Settings.Peer}
	if err := errors.Join(callers.Start(), peers.Start()); err != nil {
		return err
	}
	go func() { _ = e.node.Run(base) }()
	go func() { _ = e.router.Run(base) }()
	leaderDone := make(chan struct{})
	go func() { defer close(leaderDone); _ = e.leader.Run(base) }()
	_ = level.Info(e.Logger).Log("msg", "listening", "callers", callers.Addr(), "peers", peers.Addr())
	<-ctx.Done()
	err := e.drain(callers, peers)
	stop()
	// Wait until the leader has released its leases, so that a successor does not
	// have to wait for them to expire.
	<-leaderDone
	e.node.Close()
	_ = level.Info(e.Logger).Log("msg", "ended", "err", err)
	return err
}

// build creates the components. base is the parent context of all requests.
func (e *Entry) build(base context.Context) error {
	s := &e.Settings
	i := do.New()
	do.ProvideValue[core.Clock](i, clock.Real{})
	do.ProvideValue(i, spread.NewPeerClient(s.Key, 0))
	do.Provide(i, func(do.Injector) (core.Store, error) {
		return &objapi.Store{Addr: s.Platform.Address, Timeout: s.Platform.Timeout.Duration}, nil
	})
	do.Provide(i, func(do.Injector) (core.Picker, error) { return newPicker(s.Picker, s.Zone) })
	do.Provide(i, e.provideNode)
	do.Provide(i, e.provideRouter)
	do.Provide(i, func(i do.Injector) (*flow.Explainer, error) {
		return &flow.Explainer{
			Router:    do.MustInvoke[*flow.Router](i),
			Instances: do.MustInvoke[*spread.Node](i).Instances,
			TraceClient: func(in core.Instance) wire.Trace {
				return wire.NewTraceProtobufClient("http://"+in.PeerAddr.String(), do.MustInvoke[*spread.PeerClient](i))
			},
		}, nil
	})
	do.Provide(i, func(i do.Injector) (*front.Frontend, error) {
		return &front.Frontend{
			Handler:     do.MustInvoke[*flow.Router](i),
			Finder:      do.MustInvoke[*flow.Explainer](i),
			Table:       e.table.Load,
			Clock:       do.MustInvoke[core.Clock](i),
			Ready:       func() bool { return e.node.Synced() && e.table.Load() != nil && !e.draining.Load() },
			BaseContext: base,
		}, nil
	})
	e.clock = do.MustInvoke[core.Clock](i)
	e.store = do.MustInvoke[core.Store](i)
	e.peerClient = do.MustInvoke[*spread.PeerClient](i)
	var err error
	if e.front, err = do.Invoke[*front.Frontend](i); err != nil {
		return err
	}
	e.router = do.MustInvoke[*flow.Router](i)
	e.node = do.MustInvoke[*spread.Node](i)
	e.leader = &lead.Leader{
		Self: s.Instance, Holder: fmt.Sprintf("%s/%x", s.Instance, start.Incarnation()), Key: s.Key,
		Store: e.store, Clock: e.clock, Logger: e.Logger,
	}
	e.explainer = do.MustInvoke[*flow.Explainer](i)
	e.router.RegisterGauges()
	return nil
}

func (e *Entry) provideNode(i do.Injector) (*spread.Node, error) {
	s := &e.Settings
	return &spread.Node{
		Self:        core.Instance{Name: s.Instance, Role: core.RoleEntry, Zone: s.Zone, PeerAddr: s.Peer},
		Store:       do.MustInvoke[core.Store](i),
		Lister:      &objapi.Lister{Addr: s.Platform.Address, Timeout: s.Platform.Timeout.Duration},
		Clock:       do.MustInvoke[core.Clock](i),
		Seeds:       s.Seeds,
		Clients:     do.MustInvoke[*spread.PeerClient](i),
		PeerKey:     s.Key,
		Incarnation: start.Incarnation(),
		Logger:      e.Logger,
		OnChange:    e.apply,
	}, nil
}

func (e *Entry) provideRouter(i do.Injector) (*flow.Router, error) {
	s := &e.Settings
	picker, err := do.Invoke[core.Picker](i)
	if err != nil {
		return nil, err
	}
	c := do.MustInvoke[core.Clock](i)
	peerClient := do.MustInvoke[*spread.PeerClient](i)
	affinity := &flow.Affinity{Disabled: s.Affinity == "off"}
	agentLinks := &pool.Keyed[netip.AddrPort, *links.Link]{New: func(a netip.AddrPort) *links.Link {
		return (&links.Link{Addr: a, PeerKey: s.Key, Clock: c, HTTP: peerClient, OnCache: affinity.ApplyEvents}).Open()
	}}
	return &flow.Router{
		Self:       core.Instance{Name: s.Instance, Role: core.RoleEntry, Zone: s.Zone, PeerAddr: s.Peer},
		Clock:      c,
		Table:      e.table.Load,
		Links:      agentLinks,
		Picker:     picker,
		Limiter:    &admit.Limiter{Clock: c},
		Budgets:    &retry.Budgets{},
		SubsetSize: s.Subset,
		Logger:     e.Logger,
		Affinity:   affinity,
		Claims: &claim.Claims{
			Store:  do.MustInvoke[core.Store](i),
			Agents: flow.AgentClient{Links: agentLinks},
			Clock:  c,
			Writer: fmt.Sprintf("%s/%x", s.Instance, start.Incarnation()),
		},
	}, nil
}

// apply compiles the current objects and updates the router and the leader.
func (e *Entry) apply([]core.Object) {
	table, errs := e.rules.Compile(e.node.Objects())
	for _, err := range errs {
		_ = level.Warn(e.Logger).Log("msg", "object ignored", "err", err.Error())
	}
	entries := lo.CountBy(e.node.Instances(), func(i core.Instance) bool {
		return i.Role == core.RoleEntry && !i.Leaving
	})
	e.router.SetInstances(e.node.Instances())
	e.table.Store(table)
	e.router.ApplyTable(table, max(entries, 1))
	e.leader.Apply(table, e.node.Instances())
}

func (e *Entry) callerApp() *fiber.App {
	app := fiber.New(front.FiberConfig())
	e.front.Register(app)
	e.admin().Register(app)
	return app
}

// admin returns the API for operators.
func (e *Entry) admin() *admin.API {
	return &admin.API{
		Store:     e.store,
		Objects:   e.node.Objects,
		Table:     e.table.Load,
		Instances: e.node.Instances,
		QueryStatus: func(ctx context.Context, in core.Instance, refs []*wire.ObjectRef) (*wire.StatusResponse, error) {
			return e.peerClient.ConfigClient(in.PeerAddr).Status(ctx, &wire.StatusRequest{Refs: refs})
		},
		Explain:   e.explain,
		KeyHashes: e.Settings.Operators,
		Logger:    e.Logger,
		Clock:     e.clock,
	}
}

// explain finds the record of a request for operators.
func (e *Entry) explain(id string) (any, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	rec, err := e.explainer.Find(ctx, id)
	return rec, err == nil
}

func (e *Entry) peerApp() *fiber.App {
	app := fiber.New(fiber.Config{AppName: "parsleyroute entry peers", IdleTimeout: time.Minute, Immutable: true})
	server.Twirp(app, wire.ConfigPathPrefix, e.node.Handler())
	server.Twirp(app, wire.TracePathPrefix, spread.RequirePeerKey(e.Settings.Key, wire.NewTraceServer(e.explainer)))
	server.Debug(app)
	return app
}

// drain makes the entry report that it is not ready, and continues to serve for the
// grace period so that load balancers can detect this. It then waits for the requests
// in flight.
func (e *Entry) drain(callers, peers *server.Server) error {
	e.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), e.Settings.DrainTimeout.OrDefault(conf.DefaultDrainTimeout))
	defer cancel()
	_ = clock.Real{}.Sleep(ctx, e.Settings.GracePeriod.OrDefault(conf.DefaultGracePeriod))
	return errors.Join(callers.Close(ctx), peers.Close(ctx))
}
