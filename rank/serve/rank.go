// Package serve runs the process beside a rank: it passes the calls of the
// group's controller on to the engine on its machine.
package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core/process/beside"
	"parsleyroute.example/core/process/conf"
	"parsleyroute.example/core/process/trail"
	"parsleyroute.example/core/wire"
	"parsleyroute.example/platform"
)

const (
	// callTimeout bounds one call by the controller.
	callTimeout = 2 * time.Second
	// idleTimeout is how long an idle connection of a controller is kept.
	idleTimeout = 30 * time.Second
	// closeTimeout bounds the wait for calls in flight at shutdown.
	closeTimeout = time.Second
)

// Settings are the settings of the process beside a rank.
type Settings struct {
	// Instance is the name of the instance and Zone its availability zone.
	Instance string `toml:"instance"`
	Zone     string `toml:"zone"`
	// Listen is the address for controllers, Engine that of the engine.
	Listen netip.AddrPort `toml:"listen"`
	Engine netip.AddrPort `toml:"engine"`
	// Memory bounds the process's memory in MB.
	Memory int `toml:"memory"`
}

// Check reports the first setting that is missing or out of range.
func (s *Settings) Check() error {
	if err := conf.CheckIdentity(s.Instance, s.Zone); err != nil {
		return err
	}
	if s.Memory < 0 {
		return trace.BadParameter("setting memory must not be negative")
	}
	return errors.Join(conf.CheckAddress("listen", s.Listen), conf.CheckAddress("engine", s.Engine))
}

// Rank is the process beside a rank. Exported fields are set before Run.
type Rank struct {
	Settings Settings
	Trail    *trail.Logger
}

// Run serves until ctx ends.
func (r *Rank) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", r.Settings.Listen.String())
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	agent := &beside.Server{Client: platform.NewWorkers(), Engine: r.Settings.Engine}
	srv := &http.Server{
		Handler:           http.TimeoutHandler(wire.NewRankAgentServer(agent), callTimeout, ""),
		ReadHeaderTimeout: callTimeout, IdleTimeout: idleTimeout,
	}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ln) }()
	r.Trail.Log("started", "listen", r.Settings.Listen, "engine", r.Settings.Engine, "zone", r.Settings.Zone)
	<-ctx.Done()
	cctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err = srv.Shutdown(cctx)
	<-done
	r.Trail.Log("ended", "error", err)
	return nil
}
