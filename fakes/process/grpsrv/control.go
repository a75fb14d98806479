package grpsrv

import (
	"cmp"
	"strconv"

	"github.com/gofiber/fiber/v3"
	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/suite/ranks"
	"parsleyroute.example/fakes/process/serve"
)

// stall is the body of PUT /control/ranks.
type stall struct {
	Rank    int  `json:"rank"`
	Stalled bool `json:"stalled"`
}

// replace is the body of POST /control/replace.
type replace struct {
	Rank int `json:"rank"`
}

// demand is the body of PUT /control/load: a matrix of tokens a step of shape
// Layers x Experts, or the parameters of ranks.Shape.ZipfLoad.
type demand struct {
	Load   core.ExpertLoad `json:"load"`
	Zipf   float64         `json:"zipf"`
	Tokens float64         `json:"tokens"`
	Seed   uint64          `json:"seed"`
}

func (s *Server) controls(app *fiber.App) {
	g := &s.group
	app.Get("/control/settings", func(c fiber.Ctx) error { return c.JSON(g.CurrentSettings()) })
	// Keys that the body leaves out keep their value.
	app.Put("/control/settings", func(c fiber.Ctx) error {
		set := g.CurrentSettings()
		if err := serve.Body(c, &set); err != nil {
			return err
		}
		if err := g.UpdateSettings(set); err != nil {
			return err
		}
		return c.JSON(set)
	})
	app.Put("/control/load", func(c fiber.Ctx) error {
		var in demand
		if err := serve.Body(c, &in); err != nil {
			return err
		}
		if in.Load == nil {
			in.Load = g.Shape.ZipfLoad(in.Zipf, in.Tokens, in.Seed)
		}
		if err := g.SetLoad(in.Load); err != nil {
			return err
		}
		return c.JSON(struct{}{})
	})
	app.Put("/control/ranks", func(c fiber.Ctx) error {
		var in stall
		if err := serve.Body(c, &in); err != nil {
			return err
		}
		if err := g.SetStalled(in.Rank, in.Stalled); err != nil {
			return err
		}
		return c.JSON(in)
	})
	app.Post("/control/replace", func(c fiber.Ctx) error {
		var in replace
		if err := serve.Body(c, &in); err != nil {
			return err
		}
		if err := g.ReplaceRank(in.Rank); err != nil {
			return err
		}
		return c.JSON(in)
	})
	app.Get("/control/stats", func(c fiber.Ctx) error { return c.JSON(g.Stats()) })
	app.Get("/control/steps", func(c fiber.Ctx) error {
		after, err := strconv.ParseUint(cmp.Or(c.Query("after"), "0"), 10, 64)
		if err != nil {
			return trace.BadParameter("after %q is not a step", c.Query("after"))
		}
		return c.JSON(struct {
			Steps []ranks.Step `json:"steps"`
		}{g.Steps(after)})
	})
}
