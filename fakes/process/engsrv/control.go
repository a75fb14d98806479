package engsrv

import (
	"github.com/gofiber/fiber/v3"

	"parsleyroute.example/fakes/process/serve"
)

func (s *Server) addControlRoutes(app *fiber.App) {
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
		return c.JSON(s.runs.Runs(c.Query("key"), c.Query("request")))
	})
	app.Post("/control/cold", func(c fiber.Ctx) error {
		s.ResetToCold()
		return c.JSON(s.Stats())
	})
	app.Post("/control/restart", func(c fiber.Ctx) error {
		s.Restart()
		return c.JSON(s.Stats())
	})
}
