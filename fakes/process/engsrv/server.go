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

// Server is a model engine. The exported fields are set before Start.
type Server struct {
	// Listen is the loopback address; the default is a free port.
	Listen netip.AddrPort
	// Settings are the initial settings; nil means Defaults.
	Settings *Settings
	// Logger is optional.
	Logger log.Logger

	http    *serve.Server
	ctx     context.Context
	stop    context.CancelFunc
	stopped chan struct{}
	arrived chan struct{}
	tracker load.Tracker
	runs    load.RunCounter

	mu                      sync.Mutex
	settings                Settings
	incarnation             uint64
	running                 []*sequence
	cache                   cache
	keptTokens              map[string]int
	keptIDs                 []string
	reports                 []engine.LoadReport
	highestToken            uint64
	orders                  []Order
	steps                   int
	tokens                  int
	resumed                 int
	promptBlocks, hitBlocks int
}

// Order is an order that the engine received.
type Order struct {
	engine.Order
	// Stale is set if the fencing token was older than the highest one seen,
	// Executed if the order was executed.
	Stale    bool `json:"stale"`
	Executed bool `json:"taken"`
}

// Stats holds the counters and the current state of the engine.
type Stats struct {
	load.Stats
	Incarnation    uint64 `json:"incarnation"`
	Steps          int    `json:"steps"`
	Tokens         int    `json:"tokens"`
	ResumedStreams int    `json:"resumed"`
	CachedBlocks   int    `json:"cached_blocks"`
	// PromptBlocks counts the blocks of all prompts, HitBlocks those of them that
	// were in the cache.
	PromptBlocks int `json:"prompt_blocks"`
	HitBlocks    int `json:"hit_blocks"`
	// Orders holds the last 100 orders.
	Orders []Order `json:"orders"`
}

// Start serves until Close.
func (s *Server) Start() error {
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.stopped, s.arrived = make(chan struct{}), make(chan struct{}, 1)
	s.keptTokens = map[string]int{}
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
	h, err := serve.Start(s.Listen, s.addRoutes)
	if err != nil {
		return err
	}
	s.http = h
	s.recordReport(time.Now())
	go s.runSteps()
	return nil
}

// Addr returns the address at which the server listens.
func (s *Server) Addr() netip.AddrPort { return s.http.Addr() }

// Close cancels the running requests and stops the server.
func (s *Server) Close() error {
	s.stop()
	<-s.stopped
	s.mu.Lock()
	s.cancelAll()
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
	s.tracker.SetConfig(set.Config)
	return nil
}

// Get returns the settings.
func (s *Server) Get() Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings
}

// ResetToCold makes the engine cold and empties its cache, without announcing it.
func (s *Server) ResetToCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.ResetToCold(false)
	s.cache.clear(time.Now())
	_ = level.Info(s.Logger).Log("msg", "the engine is cold")
}

// Restart simulates a restart of the process: running requests are canceled, the
// cache, the kept token counts and the highest fencing token are reset, and the
// incarnation changes.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelAll()
	s.tracker.ResetToCold(true)
	s.cache = cache{}
	s.keptTokens, s.keptIDs = map[string]int{}, nil
	s.highestToken = 0
	s.incarnation++
	s.recordReport(time.Now())
	_ = level.Info(s.Logger).Log("msg", "the engine has restarted", "incarnation", s.incarnation)
}

// cancelAll cancels all running requests.
func (s *Server) cancelAll() {
	for _, q := range slices.Clone(s.running) {
		s.cancel(q, time.Now())
	}
}

// Stats returns the counters and the current state.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{
		Stats: s.tracker.Stats(), Incarnation: s.incarnation, Steps: s.steps, Tokens: s.tokens,
		ResumedStreams: s.resumed, CachedBlocks: s.cache.order.Len(), PromptBlocks: s.promptBlocks, HitBlocks: s.hitBlocks, Orders: slices.Clone(s.orders),
	}
}

// recordReport appends a load report of the current state.
func (s *Server) recordReport(now time.Time) {
	s.reports = append(s.reports, engine.LoadReport{Incarnation: s.incarnation, Inflight: s.tracker.Stats().Inflight, CreatedAt: now})
	// Reports older than the one that is returned now are not needed any more.
	if i := s.reportIndex(now); i > 0 {
		s.reports = s.reports[i:]
	}
}

// reportIndex returns the index of the report to return now: the newest one that
// is at least ReportLagMs old, or else the oldest.
func (s *Server) reportIndex(now time.Time) int {
	limit := now.Add(-time.Duration(s.settings.ReportLagMs) * time.Millisecond)
	i := 0
	for i+1 < len(s.reports) && !s.reports[i+1].CreatedAt.After(limit) {
		i++
	}
	return i
}

func (s *Server) addRoutes(app *fiber.App) {
	app.Get(engine.PathLoad, s.loadReport)
	app.Post(engine.PathOrders, s.handleOrder)
	app.Get(engine.PathEvents, s.cacheEvents)
	s.addControlRoutes(app)
	app.Post("/*", s.generate)
}
