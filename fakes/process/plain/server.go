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

// ResponseTokens is the number of tokens in each response.
const ResponseTokens = 4

// HeaderRunNumber is the response header with the number of runs of the request's
// key so far.
const HeaderRunNumber = "X-Run-Number"

// Settings holds the settings that the control endpoints change.
type Settings struct {
	load.Config
	// DelayMs is the duration of a run in milliseconds. It is multiplied by the
	// square of load.Tracker.OverloadFactor.
	DelayMs int `json:"delay_ms"`
	// LoseResponses is the number of upcoming runs whose response is lost: the
	// connection is closed after the run.
	LoseResponses int `json:"lose_answers"`
	// FailResponses is the number of upcoming runs that respond with status 500.
	FailResponses int `json:"fail_answers"`
}

// Defaults are the settings of a service whose runs take 20 ms.
var Defaults = Settings{
	Config:  load.Config{ColdLimit: 4, MaxLimit: 32, CompletionsPerSlot: 8, RefuseFactor: 2, GraceMs: 1000},
	DelayMs: 20,
}

func (s Settings) check() error {
	if s.ColdLimit < 1 || s.MaxLimit < s.ColdLimit || s.CompletionsPerSlot < 1 || s.RefuseFactor < 0 || s.GraceMs < 0 {
		return trace.BadParameter("cold, max, step, over or grace_ms is out of range")
	}
	if s.DelayMs < 0 || s.LoseResponses < 0 || s.FailResponses < 0 {
		return trace.BadParameter("delay_ms, lose_answers and fail_answers must not be negative")
	}
	return nil
}

// Server is a plain service. The fields are set before Start.
type Server struct {
	// Listen is the loopback address; the default is a free port.
	Listen netip.AddrPort
	// Settings are the initial settings; nil means Defaults.
	Settings *Settings

	http    *serve.Server
	ctx     context.Context
	stop    context.CancelFunc
	tracker load.Tracker
	runs    load.RunCounter

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
	h, err := serve.Start(s.Listen, s.addRoutes)
	s.http = h
	return err
}

// Addr returns the address at which the server listens.
func (s *Server) Addr() netip.AddrPort { return s.http.Addr() }

// Close aborts the running requests and stops the server.
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
	s.tracker.SetConfig(set.Config)
	return nil
}

// Get returns the settings.
func (s *Server) Get() Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings
}

// Stats returns the load statistics.
func (s *Server) Stats() load.Stats { return s.tracker.Stats() }

// Runs returns the counts of runs, as load.RunCounter.Runs does.
func (s *Server) Runs(key, request string) load.Runs { return s.runs.Runs(key, request) }

// ResetToCold makes the service cold without announcing it.
func (s *Server) ResetToCold() { s.tracker.ResetToCold(false) }

func (s *Server) addRoutes(app *fiber.App) {
	app.Get("/control/settings", func(c fiber.Ctx) error { return c.JSON(s.Get()) })
	// Keys that are absent from the body keep their value.
	app.Put("/control/settings", func(c fiber.Ctx) error {
		set := s.Get()
		if err := serve.DecodeBody(c, &set); err != nil {
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
		s.ResetToCold()
		return c.JSON(s.Stats())
	})
	app.All("/*", s.run)
}

func (s *Server) run(c fiber.Ctx) error {
	if !s.tracker.Admit() {
		return c.Status(fiber.StatusServiceUnavailable).JSON(rest.ErrorResponse{Error: rest.ErrorDetail{
			Reason: engine.ReasonOverloaded, Message: "the service is above its concurrency limit",
		}})
	}
	key, request := c.Get(engine.HeaderIdempotencyKey), c.Get(engine.HeaderRequestID)
	body := bytes.Clone(c.Body())
	n := s.runs.Record(key, request)
	set := s.takeSettings()
	overload := s.tracker.OverloadFactor()
	t := time.NewTimer(time.Duration(float64(set.DelayMs) * overload * overload * float64(time.Millisecond)))
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.ctx.Done():
		s.tracker.Finish(false)
		return serve.CloseWithoutResponse(c)
	}
	s.tracker.Finish(true)
	if set.LoseResponses > 0 {
		return serve.CloseWithoutResponse(c)
	}
	if set.FailResponses > 0 {
		return c.Status(fiber.StatusInternalServerError).JSON(rest.ErrorResponse{Error: rest.ErrorDetail{
			Reason: rest.ReasonUnavailable, Message: "the run failed",
		}})
	}
	c.Set(HeaderRunNumber, strconv.Itoa(n))
	c.Set("Content-Type", "application/json")
	return c.Send(answer.NewSeed(body, key, request).JSON(ResponseTokens))
}

// takeSettings returns the settings of a run and decrements the number of
// responses to lose or to fail.
func (s *Server) takeSettings() Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.settings
	switch {
	case set.LoseResponses > 0:
		s.settings.LoseResponses--
	case set.FailResponses > 0:
		s.settings.FailResponses--
	}
	return set
}
