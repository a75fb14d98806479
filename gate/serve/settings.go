package serve

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core/process/conf"
)

// Settings are a gate's settings.
type Settings struct {
	// Instance is the name of the instance and Zone its availability zone.
	Instance string `toml:"instance"`
	Zone     string `toml:"zone"`
	// Callers is the address for callers, Ready the one at which the balancer
	// asks whether the gate takes requests, Peers the one for other gates.
	Callers netip.AddrPort `toml:"callers"`
	Ready   netip.AddrPort `toml:"ready"`
	Peers   netip.AddrPort `toml:"peers"`
	// Metrics is the address at which counters are served.
	Metrics netip.AddrPort `toml:"metrics"`
	// Ranks is the port of the processes beside the ranks of groups; zero if
	// there are none.
	Ranks uint16 `toml:"ranks"`
	// Fenced is set if the ranks refuse orders with an outdated fencing token.
	Fenced bool `toml:"fenced"`
	// Seeds are the addresses of gates to begin with; some may be gone.
	Seeds []netip.AddrPort `toml:"seeds"`
	// Store is the address of the platform's store.
	Store netip.AddrPort `toml:"store"`
	// Memory bounds the process's memory in MB, Files its descriptors.
	Memory int `toml:"memory"`
	Files  int `toml:"files"`
	// Grace is the time between the signal to end and the process's being
	// killed.
	Grace conf.Duration `toml:"grace"`
	Retry Retry         `toml:"retry"`
	Cold  Cold          `toml:"cold"`
}

// Retry bounds the repeated sends to one pool by all gates in any window:
// ratio times the requests plus burst.
type Retry struct {
	Ratio  float64       `toml:"ratio"`
	Burst  float64       `toml:"burst"`
	Window conf.Duration `toml:"window"`
}

// Cold bounds the requests a second to a cold upstream by all gates: its own
// rate times overshoot plus slack.
type Cold struct {
	Overshoot float64 `toml:"overshoot"`
	Slack     float64 `toml:"slack"`
}

// Defaults of settings that a deployment may not have.
const (
	defaultGrace  = 8 * time.Second
	defaultWindow = 10 * time.Second
	// defaultRatio and defaultBurst bound repeated sends where the platform sets
	// no bound: a fifth more, and some for a start.
	defaultRatio = 0.2
	defaultBurst = 20
	// defaultOvershoot leaves a cold upstream its own rate.
	defaultOvershoot = 1
)

// complete fills in the defaults.
func (s *Settings) complete() {
	s.Grace.Duration = s.Grace.OrDefault(defaultGrace)
	s.Retry.Window.Duration = s.Retry.Window.OrDefault(defaultWindow)
	if s.Retry.Ratio == 0 && s.Retry.Burst == 0 {
		s.Retry.Ratio, s.Retry.Burst = defaultRatio, defaultBurst
	}
	s.Cold.Overshoot = cmp.Or(s.Cold.Overshoot, defaultOvershoot)
}

// Check reports the first setting that is missing or out of range.
func (s *Settings) Check() error {
	if err := conf.CheckIdentity(s.Instance, s.Zone); err != nil {
		return err
	}
	switch {
	case s.Memory < 0 || s.Files < 0:
		return trace.BadParameter("settings memory and files must not be negative")
	case s.Grace.Duration < 0:
		return trace.BadParameter("setting grace must not be negative")
	case s.Retry.Ratio < 0 || s.Retry.Burst < 0 || s.Retry.Window.Duration < 0:
		return trace.BadParameter("settings retry.ratio, retry.burst and retry.window must not be negative")
	case s.Cold.Overshoot < 0 || s.Cold.Slack < 0:
		return trace.BadParameter("settings cold.overshoot and cold.slack must not be negative")
	}
	for _, a := range []struct {
		name string
		addr netip.AddrPort
	}{{"callers", s.Callers}, {"ready", s.Ready}, {"peers", s.Peers}, {"store", s.Store}} {
		if err := conf.CheckAddress(a.name, a.addr); err != nil {
			return err
		}
	}
	return nil
}
