package plain

import (
	"bytes"
	"context"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gravitational/trace"

	"parsleyroute.example/core/conn/rest"
	"parsleyroute.example/core/process/engine"
	"parsleyroute.example/core/suite/answer"
	"parsleyroute.example/fakes/process/load"
	"parsleyroute.example/fakes/process/serve"
)

// Tokens is the number of tokens in each answer.
const Tokens = 4

// HeaderRun carries the number of the run of the request's key.
const HeaderRun = "X-Run-Number"

// Settings is what the control endpoints change.
type Settings struct {
	load.Config
	// DelayMs is the time of a run, times the square of the excess above what
	// the service bears.
	DelayMs int `json:"delay_ms"`
	// LoseAnswers is the number of coming runs whose answer is lost: the
	// connection is closed after the run.
	LoseAnswers int `json:"lose_answers"`
	// FailAnswers is the number of coming runs that answer 500.
	FailAnswers int `json:"fail_answers"`
}

// Defaults are the settings of a service whose runs take 20 ms.
var Defaults = Settings{
	Config:  load.Config{Cold: 4, Max: 32, Step: 8, Over: 2, GraceMs: 1000},
	DelayMs: 20,
}

func (s Settings) check() error {
	if s.Cold < 1 || s.Max < s.Cold || s.Step < 1 || s.Over < 0 || s.GraceMs < 0 {
		return trace.BadParameter("cold, max or step is out of range")
	}
	if s.DelayMs < 0 || s.LoseAnswers < 0 || s.FailAnswers < 0 {
		return trace.BadParameter("a setting is negative")
	}
	return nil
}

// Server is a plain service. The fields are set before Start.
type Server struct {
	// Listen is the loopback address; the default is a free port.
	Listen netip.AddrPort
	// Settings are the settings at the start; nil means Defaults.
	Settings *Settings

	http  *serve.Server
	ctx   context.Context
	stop  context.CancelFunc
	gauge load.Gauge
	tally load.Tally

	mu       sync.Mutex
	settings Settings
}

// Start serves until Close.
func (s *Server) Start() error {
	s.ctx, s.stop = context.WithCancel(context.Background())
	if s.Settings == nil {
		d := Defaults
		s.Settings = &d
	}
	if err := s.Set(*s.Settings); err != nil {
		return err
	}
	h, err := serve.Start(s.Listen, s.routes)
	s.http = h
	return err
}

// Addr returns the address at which the server listens.
func (s *Server) Addr() netip.AddrPort { return s.http.Addr() }

// Close cuts the running requests and stops the server.
func (s *Server) Close() error {
	s.stop()
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

// Stats returns the account of the load.
func (s *Server) Stats() load.Stats { return s.gauge.Stats() }

// Runs returns the counts of runs, as load.Tally.Runs does.
func (s *Server) Runs(key, request string) load.Runs { return s.tally.Runs(key, request) }

// Cool makes the service cold without a sign to anyone.
func (s *Server) Cool() { s.gauge.Cool(false) }

func (s *Server) routes(app *fiber.App) {
	app.Get("/control/settings", func(c fiber.Ctx) error { return c.JSON(s.Get()) })
	// Keys that the body leaves out keep their value.
	app.Put("/control/settings", func(c fiber.Ctx) error {
		set := s.Get()
		if err := serve.Body(c, &set); err != nil {
			return err
		}
		if err := s.Set(set); err != nil {
			return err
		}
		return c.JSON(set)
	})
	app.Get("/control/stats", func(c fiber.Ctx) error { return c.JSON(s.Stats()) })
	app.Get("/control/runs", func(c fiber.Ctx) error {
		return c.JSON(s.Runs(c.Query("key"), c.Query("request")))
	})
	app.Post("/control/cold", func(c fiber.Ctx) error {
		s.Cool()
		return c.JSON(s.Stats())
	})
	app.All("/*", s.run)
}

func (s *Server) run(c fiber.Ctx) error {
	if !s.gauge.Enter() {
		return c.Status(fiber.StatusServiceUnavailable).JSON(rest.ErrorResponse{Error: rest.ErrorDetail{
			Reason: engine.ReasonOverloaded, Message: "the service has more requests than it bears",
		}})
	}
	key, request := c.Get(engine.HeaderKey), c.Get(engine.HeaderRequest)
	body := bytes.Clone(c.Body())
	n := s.tally.Add(key, request)
	set := s.take()
	excess := s.gauge.Excess()
	t := time.NewTimer(time.Duration(float64(set.DelayMs) * excess * excess * float64(time.Millisecond)))
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.ctx.Done():
		s.gauge.Leave(false)
		return serve.Drop(c)
	}
	s.gauge.Leave(true)
	if set.LoseAnswers > 0 {
		return serve.Drop(c)
	}
	if set.FailAnswers > 0 {
		return c.Status(fiber.StatusInternalServerError).JSON(rest.ErrorResponse{Error: rest.ErrorDetail{
			Reason: rest.ReasonUnavailable, Message: "the run failed",
		}})
	}
	c.Set(HeaderRun, strconv.Itoa(n))
	c.Set("Content-Type", "application/json")
	return c.Send(answer.NewSeed(body, key, request).JSON(Tokens))
}

// take returns the settings of a run and uses up one lost or failed answer.
func (s *Server) take() Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.settings
	switch {
	case set.LoseAnswers > 0:
		s.settings.LoseAnswers--
	case set.FailAnswers > 0:
		s.settings.FailAnswers--
	}
	return set
}
