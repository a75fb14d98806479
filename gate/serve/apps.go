package serve

import (
	"context"
	"net/netip"
	"time"

	"github.com/gofiber/fiber/v3"
	recoverer "github.com/gofiber/fiber/v3/middleware/recover"

	"parsleyroute.example/core/conn/server"
	"parsleyroute.example/core/wire"
	"parsleyroute.example/gate/process/view"
	"parsleyroute.example/platform"
)

// pullFromPeer requests from a peer the objects that this gate does not have.
func pullFromPeer(ctx context.Context, addr netip.AddrPort, r *wire.PullRequest) (*wire.PullResponse, error) {
	return wire.NewRelayProtobufClient("http://"+addr.String(), peerClient).Pull(ctx, r)
}

func (g *Gate) readinessApp() *fiber.App {
	app := fiber.New(fiber.Config{AppName: "parsleyroute gate readiness"})
	app.Use(recoverer.New())
	app.Get(platform.ReadinessPath, func(c fiber.Ctx) error {
		if !g.synced.Load() || g.draining.Load() {
			return c.SendStatus(fiber.StatusServiceUnavailable)
		}
		return c.SendStatus(fiber.StatusOK)
	})
	return app
}

func (g *Gate) peersApp() *fiber.App {
	app := fiber.New(fiber.Config{AppName: "parsleyroute gate peers", IdleTimeout: time.Minute, Immutable: true})
	app.Use(recoverer.New())
	server.Twirp(app, wire.RelayPathPrefix, wire.NewRelayServer(view.Server{View: g.view}))
	return app
}

func metricsApp() *fiber.App {
	app := fiber.New(fiber.Config{AppName: "parsleyroute gate metrics"})
	app.Use(recoverer.New())
	server.Debug(app)
	return app
}
