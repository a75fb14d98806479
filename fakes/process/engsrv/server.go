package engsrv

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/gofiber/fiber/v3"

	"parsleyroute.example/core/process/engine"
	"parsleyroute.example/fakes/process/load"
	"parsleyroute.example/fakes/process/serve"
)

// Server is a model engine. The fields are set before Start.
type Server struct {
	// Listen is the loopback address; the default is a free port.
	Listen netip.AddrPort
	// Settings are the settings at the start; nil means Defaults.
	Settings *Settings
	// Logger is optional.
	Logger log.Logger

	http    *serve.Server
	ctx     context.Context
	stop    context.CancelFunc
	stopped chan struct{}
	arrived chan struct{}
	gauge   load.Gauge
	tally   load.Tally

	mu          sync.Mutex
	settings    Settings
	incarnation uint64
	running     []*sequence
	cache       cache
	kept        map[string]int
	keptIDs     []string
	reports     []engine.LoadReport
	token       uint64
	orders      []Order
	steps       int
	tokens      int
	resumed     int
	prompt, hit int
}

// Order is an order that the engine got.
type Order struct {
	engine.Order
	// Stale tells that its token was older than the highest one seen, Taken
	// that it was carried out.
	Stale bool `json:"stale"`
	Taken bool `json:"taken"`
}

// Stats is the account of the engine.
type Stats struct {
	load.Stats
	Incarnation uint64 `json:"incarnation"`
	Steps       int    `json:"steps"`
	Tokens      int    `json:"tokens"`
	Resumed     int    `json:"resumed"`
	Cached      int    `json:"cached_blocks"`
	// Prompt and Hit count the blocks of all prompts, and those of them that
	// were in the cache.
	Prompt int `json:"prompt_blocks"`
	Hit    int `json:"hit_blocks"`
	// Orders holds the last 100 orders.
	Orders []Order `json:"orders"`
}

// Start serves until Close.
func (s *Server) Start() error {
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.stopped, s.arrived = make(chan struct{}), make(chan struct{}, 1)
	s.kept = map[string]int{}
	s.incarnation = rand.Uint64()>>1 | 1
	if s.Settings == nil {
		d := Defaults
		s.Settings = &d
	}
	if s.Logger == nil {
		s.Logger = log.NewNopLogger()
	}
	if err := s.Set(*s.Settings); err != nil {
		return err
	}
	h, err := serve.Start(s.Listen, s.routes)
	if err != nil {
		return err
	}
	s.http = h
	s.history(time.Now())
	go s.loop()
	return nil
}

// Addr returns the address at which the server listens.
func (s *Server) Addr() netip.AddrPort { return s.http.Addr() }

// Close cuts the running requests and stops the server.
func (s *Server) Close() error {
	s.stop()
	<-s.stopped
	s.mu.Lock()
	s.cut()
	s.mu.Unlock()
	return s.http.Close()
}

// Set changes the settings.
func (s *Server) Set(set Settings) error {
	if err := set.check(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = set
	s.gauge.Set(set.Config)
	return nil
}

// Get returns the settings.
func (s *Server) Get() Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings
}

// Cool makes the engine cold and empties its cache, without a sign to anyone.
func (s *Server) Cool() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gauge.Cool(false)
	s.cache.clear(time.Now())
	_ = level.Info(s.Logger).Log("msg", "the engine is cold")
}

// Restart acts as a new process in the place of the old one: running requests
// are cut, and the incarnation is new.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut()
	s.gauge.Cool(true)
	s.cache = cache{}
	s.kept, s.keptIDs = map[string]int{}, nil
	s.token = 0
	s.incarnation++
	s.history(time.Now())
	_ = level.Info(s.Logger).Log("msg", "the engine has restarted", "incarnation", s.incarnation)
}

// cut ends all running requests.
func (s *Server) cut() {
	for _, q := range slices.Clone(s.running) {
		s.cancel(q, time.Now())
	}
}

// Stats returns the account.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{
		Stats: s.gauge.Stats(), Incarnation: s.incarnation, Steps: s.steps, Tokens: s.tokens,
		Resumed: s.resumed, Cached: s.cache.order.Len(), Prompt: s.prompt, Hit: s.hit, Orders: slices.Clone(s.orders),
	}
}

// history adds the present state to the reports.
func (s *Server) history(now time.Time) {
	s.reports = append(s.reports, engine.LoadReport{Incarnation: s.incarnation, Inflight: s.gauge.Stats().Inflight, CreatedAt: now})
	// The newest report of the right age is the one to show.
	if i := s.shown(now); i > 0 {
		s.reports = s.reports[i:]
	}
}

// shown returns the index of the report that is shown now.
func (s *Server) shown(now time.Time) int {
	limit := now.Add(-time.Duration(s.settings.ReportLagMs) * time.Millisecond)
	i := 0
	for i+1 < len(s.reports) && !s.reports[i+1].CreatedAt.After(limit) {
		i++
	}
	return i
}

func (s *Server) routes(app *fiber.App) {
	app.Get(engine.PathLoad, s.report)
	app.Post(engine.PathOrders, s.order)
	app.Get(engine.PathEvents, s.events)
	s.controls(app)
	app.Post("/*", s.generate)
}
