package objsrv

import (
	"github.com/gofiber/fiber/v3"
	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/objapi"
	"parsleyroute.example/fakes/process/serve"
)

func (s *Server) addControlRoutes(app *fiber.App) {
	app.Get("/control/faults", func(c fiber.Ctx) error {
		f, _ := s.State()
		return c.JSON(f)
	})
	// Keys that are absent from the body keep their value.
	app.Put("/control/faults", func(c fiber.Ctx) error {
		f, _ := s.State()
		if err := serve.DecodeBody(c, &f); err != nil {
			return err
		}
		if err := s.SetFaults(f); err != nil {
			return err
		}
		return c.JSON(f)
	})
	app.Get("/control/stats", func(c fiber.Ctx) error {
		_, st := s.State()
		return c.JSON(st)
	})
	app.Post("/control/compact", func(c fiber.Ctx) error {
		s.store.CompactHistory()
		return c.JSON(struct{}{})
	})
	app.Put("/control/instances", func(c fiber.Ctx) error {
		var in objapi.Instance
		if err := serve.DecodeBody(c, &in); err != nil {
			return err
		}
		if in.Name == "" || !in.PeerAddr.IsValid() {
			return trace.BadParameter("an instance needs a name and a peer address")
		}
		s.lister.Put(core.Instance(in))
		return c.JSON(in)
	})
	app.Delete("/control/instances", func(c fiber.Ctx) error {
		if c.Query("name") == "" {
			return trace.BadParameter("the query needs the instance's name")
		}
		s.lister.Remove(c.Query("name"))
		return c.JSON(struct{}{})
	})
}
