package serve

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/gofiber/fiber/v3"
	"github.com/gravitational/trace"
	"github.com/samber/do/v2"

	"parsleyroute.example/agent/cache"
	"parsleyroute.example/agent/guard"
	"parsleyroute.example/core"
	"parsleyroute.example/core/conn/links"
	"parsleyroute.example/core/conn/server"
	"parsleyroute.example/core/process/clock"
	"parsleyroute.example/core/process/conf"
	"parsleyroute.example/core/process/engine"
	"parsleyroute.example/core/process/group"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/process/objapi"
	"parsleyroute.example/core/process/ramp"
	"parsleyroute.example/core/process/spread"
	"parsleyroute.example/core/process/start"
	"parsleyroute.example/core/request/claim"
	"parsleyroute.example/core/request/codec"
	"parsleyroute.example/core/request/frame"
	"parsleyroute.example/core/request/ledger"
	"parsleyroute.example/core/version/rules"
	"parsleyroute.example/core/wire"
)

// reportInterval is the time between reads of the upstream's load report.
const reportInterval = 250 * time.Millisecond

// Agent is an agent process. Exported fields must be set before Run.
type Agent struct {
	Settings Settings
	Logger   log.Logger

	incarnation   uint64
	node          *spread.Node
	limiter       *ramp.Limiter
	ledger        *ledger.Ledger
	handler       *guard.Handler
	engine        core.Engine
	fencingTokens fencingTokens
	cacheFeed     *cache.Feed
	// ranks is nil if the upstream is not a rank.
	ranks *rankService
	// rules is used only by the node's goroutine that calls configure.
	rules rules.Compiler
	// engineIncarnation is the incarnation in the last load report; 0 before the
	// first report.
	engineIncarnation uint64
}

// Run serves until ctx ends, then drains.
func (a *Agent) Run(ctx context.Context) error {
	base, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	a.incarnation = start.Incarnation()
	a.build(base)
	srv := &server.Server{App: a.app(), Listen: a.Settings.Listen}
	if err := srv.Start(); err != nil {
		return err
	}
	go func() { _ = a.node.Run(base) }()
	go a.pollReports(base)
	go a.cacheFeed.Run(base)
	if a.ranks != nil {
		go a.ranks.run(base)
	}
	_ = level.Info(a.Logger).Log("msg", "listening", "address", srv.Addr(), "incarnation", a.incarnation)
	<-ctx.Done()
	err := a.drain(srv)
	stop()
	a.node.Close()
	_ = level.Info(a.Logger).Log("msg", "ended", "err", err)
	return err
}

// build creates the components. base is the parent context of all requests.
func (a *Agent) build(base context.Context) {
	s := &a.Settings
	i := do.New()
	do.ProvideValue[core.Clock](i, clock.Real{})
	do.Provide(i, func(do.Injector) (core.Store, error) {
		return &objapi.Store{Addr: s.Platform.Address, Timeout: s.Platform.Timeout.Duration}, nil
	})
	do.Provide(i, func(do.Injector) (core.Engine, error) { return newEngine(s.Engine), nil })
	do.Provide(i, func(i do.Injector) (*ramp.Limiter, error) {
		return &ramp.Limiter{Clock: do.MustInvoke[core.Clock](i), Incarnation: a.incarnation}, nil
	})
	do.Provide(i, func(i do.Injector) (*ledger.Ledger, error) {
		return &ledger.Ledger{Clock: do.MustInvoke[core.Clock](i), Incarnation: a.incarnation}, nil
	})
	do.Provide(i, func(i do.Injector) (*guard.Handler, error) {
		return &guard.Handler{
			Upstream:  s.Upstream,
			Limiter:   do.MustInvoke[*ramp.Limiter](i),
			Ledger:    do.MustInvoke[*ledger.Ledger](i),
			Engine:    do.MustInvoke[core.Engine](i),
			CacheFeed: a.cacheFeed,
			Recorder: &claim.Claims{
				Store:  do.MustInvoke[core.Store](i),
				Clock:  do.MustInvoke[core.Clock](i),
				Writer: fmt.Sprintf("%s/%x", s.Instance, a.incarnation),
			},
			Logger:      a.Logger,
			BaseContext: base,
		}, nil
	})
	do.Provide(i, func(i do.Injector) (*spread.Node, error) {
		return &spread.Node{
			Self:        core.Instance{Name: s.Instance, Role: core.RoleAgent, Zone: s.Zone, PeerAddr: s.Listen},
			Store:       do.MustInvoke[core.Store](i),
			Lister:      &objapi.Lister{Addr: s.Platform.Address, Timeout: s.Platform.Timeout.Duration},
			Clock:       do.MustInvoke[core.Clock](i),
			Seeds:       s.Seeds,
			Clients:     spread.NewPeerClient(s.Key, 0),
			PeerKey:     s.Key,
			Incarnation: a.incarnation,
			Logger:      a.Logger,
			Load:        func() *wire.Load { return codec.LoadToWire(a.limiter.Load("")) },
			OnChange:    a.configure,
		}, nil
	})
	a.engine = do.MustInvoke[core.Engine](i)
	a.cacheFeed = &cache.Feed{Engine: a.engine, Clock: do.MustInvoke[core.Clock](i)}
	if s.Engine.ControlAddr.IsValid() {
		a.ranks = &rankService{
			engine: &group.Rank{Addr: s.Engine.ControlAddr, Rank: s.Engine.Rank},
			key:    s.Key, clock: do.MustInvoke[core.Clock](i), logger: a.Logger, updates: make(chan groupMembers, 1),
		}
	}
	a.limiter = do.MustInvoke[*ramp.Limiter](i)
	a.ledger = do.MustInvoke[*ledger.Ledger](i)
	a.handler = do.MustInvoke[*guard.Handler](i)
	a.node = do.MustInvoke[*spread.Node](i)
}

// newEngine returns the adapter for the engine kind in the settings.
func newEngine(s Engine) core.Engine {
	if s.Kind == "plain" {
		return &engine.PlainService{Addr: s.Address}
	}
	return &engine.Engine{Addr: s.Address}
}

// configure configures the limiter and the ranks from the current objects and instance
// list.
func (a *Agent) configure([]core.Object) {
	table, errs := a.rules.Compile(a.node.Objects())
	for _, err := range errs {
		_ = level.Warn(a.Logger).Log("msg", "object ignored", "err", err.Error())
	}
	u := table.Upstreams[a.Settings.Upstream]
	if u == nil {
		return
	}
	a.limiter.Configure(ramp.Config{
		Limit: u.Limit, ColdLimit: u.ColdLimit, CompletionsPerStep: u.LimitStep, Share: u.Share, Out: u.Out, Leaving: a.isLeaving(),
	})
	a.ranks.configure(table, u)
}

// isLeaving reports whether the platform lists this instance as leaving. An instance
// with the same name and another address is a predecessor of this one.
func (a *Agent) isLeaving() bool {
	return slices.ContainsFunc(a.node.Instances(), func(in core.Instance) bool {
		return in.Name == a.Settings.Instance && in.PeerAddr == a.Settings.Listen && in.Leaving
	})
}

func (a *Agent) app() *fiber.App {
	app := fiber.New(fiber.Config{
		AppName:     "parsleyroute agent",
		BodyLimit:   frame.MaxBodyBytes + (1 << 20),
		IdleTimeout: time.Minute,
		Concurrency: 1 << 20,
	})
	app.Post(links.DispatchPath, a.dispatch)
	server.Twirp(app, wire.ConfigPathPrefix, a.node.Handler())
	server.Twirp(app, wire.UpstreamPathPrefix, spread.RequirePeerKey(a.Settings.Key, wire.NewUpstreamServer(upstreamService{a})))
	if a.ranks != nil {
		server.Twirp(app, wire.RanksPathPrefix, a.ranks)
	}
	server.Debug(app)
	app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get("/readyz", func(c fiber.Ctx) error {
		if !a.limiter.Ready() {
			return c.SendStatus(http.StatusServiceUnavailable)
		}
		return c.SendString("ready\n")
	})
	return app
}

// dispatch handles one dispatch of an entry.
func (a *Agent) dispatch(c fiber.Ctx) error {
	if !spread.PeerKeyMatches(a.Settings.Key, c.Get(spread.PeerKeyHeader)) {
		meter.Refusal(core.ReasonPeerUnauthorized)
		return c.SendStatus(http.StatusUnauthorized)
	}
	// Copy the body, because it is used after this handler has returned.
	data := append([]byte(nil), c.Body()...)
	d, body, err := frame.DecodeDispatch(data)
	if err != nil {
		meter.Refusal(core.ReasonBadRequest)
		return c.Status(http.StatusBadRequest).SendString(trace.UserMessage(err))
	}
	conn := c.RequestCtx().Conn()
	c.RequestCtx().SetBodyStreamWriter(func(w *bufio.Writer) { a.handler.Serve(conn, w, d, body) })
	return nil
}

// pollReports reads the load reports of the upstream. When the upstream has
// restarted, it reduces the limiter to the cold limit and resets the cache events.
func (a *Agent) pollReports(ctx context.Context) {
	for {
		report, err := a.engine.Report(ctx)
		if trace.IsNotImplemented(err) {
			return
		}
		if err == nil && report.Incarnation != a.engineIncarnation {
			if a.engineIncarnation != 0 {
				a.limiter.ResetToCold()
			}
			a.engineIncarnation = report.Incarnation
			a.cacheFeed.Reset(report.Incarnation)
		}
		if (clock.Real{}).Sleep(ctx, reportInterval) != nil {
			return
		}
	}
}

// drain refuses new requests, waits until requests in flight have ended and the
// outcomes of claimed requests are recorded, and closes the server.
func (a *Agent) drain(srv *server.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), a.Settings.DrainTimeout.OrDefault(conf.DefaultDrainTimeout))
	defer cancel()
	idle := a.limiter.Drain()
	// Continue to refuse requests for the grace period, because entries learn from
	// refusals that the agent is draining. Without it they would get connection
	// errors instead.
	_ = clock.Real{}.Sleep(ctx, a.Settings.GracePeriod.OrDefault(conf.DefaultGracePeriod))
	select {
	case <-idle:
	case <-ctx.Done():
		return trace.LimitExceeded("requests were still in flight after the drain timeout")
	}
	if err := a.handler.WaitRecorded(ctx); err != nil {
		return err
	}
	return srv.Close(ctx)
}
