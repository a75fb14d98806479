// Package serve runs the sidecar of a rank, which forwards the calls of gates, in
// particular of the one that leads the group, to the engine on the same machine.
package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core/process/conf"
	"parsleyroute.example/core/process/evlog"
	"parsleyroute.example/core/process/side"
	"parsleyroute.example/core/wire"
	"parsleyroute.example/platform"
)

const (
	// callTimeout limits the handling of one call from a gate.
	callTimeout = 2 * time.Second
	// idleTimeout is how long an idle connection of a gate is kept open.
	idleTimeout = 30 * time.Second
	// maxRequestBody is the maximum size in bytes of a call. A map of 8 sets of 63 ranks
	// with 5 experts each has about 10 KB.
	maxRequestBody = 1 << 20
	// closeTimeout limits the wait for calls in flight at shutdown.
	closeTimeout = time.Second
)

// Settings holds the settings of the sidecar of a rank.
type Settings struct {
	// Instance is the name of this instance and Zone its availability zone.
	Instance string `toml:"instance"`
	Zone     string `toml:"zone"`
	// Listen is the address at which gates call, Engine the address of the
	// engine.
	Listen netip.AddrPort `toml:"listen"`
	Engine netip.AddrPort `toml:"engine"`
	// Memory is the memory limit of the process in MB.
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

// Rank is the sidecar of a rank. Exported fields must be set before Run.
type Rank struct {
	Settings    Settings
	DecisionLog *evlog.Logger
}

// Run serves until ctx ends.
func (r *Rank) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", r.Settings.Listen.String())
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	sidecar := &side.Server{Client: platform.NewWorkerClient(), Engine: r.Settings.Engine}
	srv := &http.Server{
		Handler:           http.MaxBytesHandler(http.TimeoutHandler(wire.NewRankAgentServer(sidecar), callTimeout, ""), maxRequestBody),
		ReadHeaderTimeout: callTimeout, IdleTimeout: idleTimeout,
	}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ln) }()
	r.DecisionLog.Log("started", "listen", r.Settings.Listen, "engine", r.Settings.Engine, "zone", r.Settings.Zone)
	<-ctx.Done()
	cctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err = srv.Shutdown(cctx)
	<-done
	r.DecisionLog.Log("ended", "error", err)
	return nil
}
