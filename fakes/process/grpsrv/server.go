package grpsrv

import (
	"context"
	"net/netip"
	"strconv"

	"github.com/gofiber/fiber/v3"
	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/group"
	"parsleyroute.example/core/suite/ranks"
	"parsleyroute.example/fakes/process/serve"
)

// Defaults is a group of four ranks whose steps take 5 ms plus the time for the
// load.
var Defaults = Config{
	Shape:    ranks.Shape{Layers: 2, Ranks: 4, SlotsPerRank: 3, Experts: 8},
	Settings: ranks.Settings{BaseMs: 5, TokenUs: 5, StageMs: 2},
}

// Config is the initial configuration of a group.
type Config struct {
	ranks.Shape
	ranks.Settings
}

// Server serves one group. The exported fields are set before Start.
type Server struct {
	// Listen is the loopback address; the default is a free port.
	Listen netip.AddrPort
	Config Config

	group ranks.Group
	http  *serve.Server
	ctx   context.Context
	stop  context.CancelFunc
}

// Start serves until Close.
func (s *Server) Start() error {
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.group.Shape, s.group.Settings = s.Config.Shape, s.Config.Settings
	if err := s.group.Start(); err != nil {
		return err
	}
	h, err := serve.Start(s.Listen, s.addRoutes)
	if err != nil {
		_ = s.group.Close()
	}
	s.http = h
	return err
}

// Addr returns the address at which the server listens.
func (s *Server) Addr() netip.AddrPort { return s.http.Addr() }

// Group returns the group.
func (s *Server) Group() *ranks.Group { return &s.group }

// Close stops the ranks and the server.
func (s *Server) Close() error {
	s.stop()
	if err := s.group.Close(); err != nil {
		return err
	}
	return s.http.Close()
}

func (s *Server) addRoutes(app *fiber.App) {
	app.Post("/ranks/:rank/inspect", s.stateHandler(func(r core.RankEngine, in group.Request) (core.RankState, error) {
		return r.Inspect(s.ctx, core.Ballot(in.Ballot))
	}))
	app.Post("/ranks/:rank/prepare", s.stateHandler(func(r core.RankEngine, in group.Request) (core.RankState, error) {
		return r.Prepare(s.ctx, core.Ballot(in.Ballot), in.Incarnation, in.Epoch, in.Step)
	}))
	app.Post("/ranks/:rank/decide", s.stateHandler(func(r core.RankEngine, in group.Request) (core.RankState, error) {
		return r.Decide(s.ctx, core.Ballot(in.Ballot), in.Incarnation, in.Epoch, in.Step, in.Commit)
	}))
	app.Post("/ranks/:rank/stage", s.stage)
	app.Post("/ranks/:rank/load", s.load)
	app.Get("/ranks/:rank/map", s.activeMap)
	s.addControlRoutes(app)
}

// stateHandler returns a handler for the requests that return the rank's state.
func (s *Server) stateHandler(op func(core.RankEngine, group.Request) (core.RankState, error)) fiber.Handler {
	return func(c fiber.Ctx) error {
		r, _, err := s.rank(c)
		if err != nil {
			return err
		}
		var in group.Request
		if err := serve.DecodeBody(c, &in); err != nil {
			return err
		}
		st, err := op(r, in)
		if err != nil {
			return err
		}
		return c.JSON(group.FromState(st))
	}
}

func (s *Server) stage(c fiber.Ctx) error {
	r, _, err := s.rank(c)
	if err != nil {
		return err
	}
	var in group.Request
	if err := serve.DecodeBody(c, &in); err != nil {
		return err
	}
	if in.Map == nil {
		return trace.BadParameter("the request has no expert map")
	}
	m := core.ExpertMap(*in.Map)
	moved, err := r.Stage(s.ctx, core.Ballot(in.Ballot), &m)
	if err != nil {
		return err
	}
	return c.JSON(group.StageResponse{Moved: moved})
}

func (s *Server) load(c fiber.Ctx) error {
	r, _, err := s.rank(c)
	if err != nil {
		return err
	}
	load, err := r.Load(s.ctx)
	if err != nil {
		return err
	}
	return c.JSON(group.Load{Load: load})
}

func (s *Server) activeMap(c fiber.Ctx) error {
	_, n, err := s.rank(c)
	if err != nil {
		return err
	}
	m, err := s.group.ActiveMap(n)
	if err != nil {
		return err
	}
	return c.JSON(group.Map(*m))
}

// rank returns the rank named in the path, and its number.
func (s *Server) rank(c fiber.Ctx) (core.RankEngine, int, error) {
	n, err := strconv.Atoi(c.Params("rank"))
	if err != nil {
		return nil, 0, trace.BadParameter("the rank %q is not a number", c.Params("rank"))
	}
	r, err := s.group.Rank(n)
	return r, n, err
}
