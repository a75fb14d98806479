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

// stallRequest is the body of PUT /control/ranks.
type stallRequest struct {
	Rank    int  `json:"rank"`
	Stalled bool `json:"stalled"`
}

// replaceRequest is the body of POST /control/replace.
type replaceRequest struct {
	Rank int `json:"rank"`
}

// loadRequest is the body of PUT /control/load: a matrix of tokens per step, with a
// row for each layer and a column for each expert, or the parameters of
// ranks.Shape.ZipfLoad.
type loadRequest struct {
	Load   core.ExpertLoad `json:"load"`
	Zipf   float64         `json:"zipf"`
	Tokens float64         `json:"tokens"`
	Seed   uint64          `json:"seed"`
}

func (s *Server) addControlRoutes(app *fiber.App) {
	g := &s.group
	app.Get("/control/settings", func(c fiber.Ctx) error { return c.JSON(g.CurrentSettings()) })
	// Keys that are absent from the body keep their value.
	app.Put("/control/settings", func(c fiber.Ctx) error {
		set := g.CurrentSettings()
		if err := serve.DecodeBody(c, &set); err != nil {
			return err
		}
		if err := g.UpdateSettings(set); err != nil {
			return err
		}
		return c.JSON(set)
	})
	app.Put("/control/load", func(c fiber.Ctx) error {
		var in loadRequest
		if err := serve.DecodeBody(c, &in); err != nil {
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
		var in stallRequest
		if err := serve.DecodeBody(c, &in); err != nil {
			return err
		}
		if err := g.SetStalled(in.Rank, in.Stalled); err != nil {
			return err
		}
		return c.JSON(in)
	})
	app.Post("/control/replace", func(c fiber.Ctx) error {
		var in replaceRequest
		if err := serve.DecodeBody(c, &in); err != nil {
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
