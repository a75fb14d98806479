package serve

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core/process/conf"
)

// Settings holds the settings of a gate.
type Settings struct {
	// Instance is the name of this instance and Zone its availability zone.
	Instance string `toml:"instance"`
	Zone     string `toml:"zone"`
	// Callers is the address for callers, Ready the address for the readiness
	// checks of the platform's load balancer, and Peers the address for other
	// gates.
	Callers netip.AddrPort `toml:"callers"`
	Ready   netip.AddrPort `toml:"ready"`
	Peers   netip.AddrPort `toml:"peers"`
	// Metrics is the address at which counters are served.
	Metrics netip.AddrPort `toml:"metrics"`
	// Ranks is the port of the sidecars of ranks; zero if there are none.
	Ranks uint16 `toml:"ranks"`
	// Fenced is set if the ranks refuse orders with an outdated fencing token.
	Fenced bool `toml:"fenced"`
	// Seeds are the addresses of gates to contact first; some of them may no
	// longer run.
	Seeds []netip.AddrPort `toml:"seeds"`
	// Store is the address of the platform's store.
	Store netip.AddrPort `toml:"store"`
	// Memory is the memory limit of the process in MB, Files its limit of file
	// descriptors.
	Memory int `toml:"memory"`
	Files  int `toml:"files"`
	// Grace is the time between the termination signal and the kill signal.
	Grace conf.Duration `toml:"grace"`
	// Heartbeat is the interval at which upstreams write their entries to the store.
	Heartbeat conf.Duration `toml:"heartbeat"`
	Retry     Retry         `toml:"retry"`
	Cold      Cold          `toml:"cold"`
}

// Retry limits the retries in one pool by all gates together in any window to
// ratio times the requests plus burst.
type Retry struct {
	Ratio  float64       `toml:"ratio"`
	Burst  float64       `toml:"burst"`
	Window conf.Duration `toml:"window"`
}

// Cold limits the requests per second to a cold upstream by all gates together
// to overshoot times the upstream's own rate plus slack.
type Cold struct {
	Overshoot float64 `toml:"overshoot"`
	Slack     float64 `toml:"slack"`
}

// Defaults of settings that a deployment may lack.
const (
	defaultGrace     = 8 * time.Second
	defaultHeartbeat = 1200 * time.Millisecond
	defaultWindow    = 10 * time.Second
	// defaultRatio and defaultBurst limit the retries if the platform sets no
	// limit. The burst allows retries before many requests were counted.
	defaultRatio = 0.2
	defaultBurst = 20
	// defaultOvershoot limits a cold upstream to its own rate.
	defaultOvershoot = 1
)

// applyDefaults sets the defaults of settings that are missing.
func (s *Settings) applyDefaults() {
	s.Grace.Duration = s.Grace.OrDefault(defaultGrace)
	s.Heartbeat.Duration = s.Heartbeat.OrDefault(defaultHeartbeat)
	s.Retry.Window.Duration = s.Retry.Window.OrDefault(defaultWindow)
	if s.Retry.Ratio == 0 && s.Retry.Burst == 0 {
		s.Retry.Ratio, s.Retry.Burst = defaultRatio, defaultBurst
	}
	s.Cold.Overshoot = cmp.Or(s.Cold.Overshoot, defaultOvershoot)
}

// memoryShare returns a share of the memory in bytes, given in hundredths; zero if the
// memory is not limited.
func (s *Settings) memoryShare(hundredths int64) int64 {
	return int64(s.Memory) << 20 / 100 * hundredths
}

// Check reports the first setting that is missing or out of range.
func (s *Settings) Check() error {
	if err := conf.CheckIdentity(s.Instance, s.Zone); err != nil {
		return err
	}
	switch {
	case s.Memory < 0 || s.Files < 0:
		return trace.BadParameter("settings memory and files must not be negative")
	case s.Grace.Duration < 0 || s.Heartbeat.Duration < 0:
		return trace.BadParameter("settings grace and heartbeat must not be negative")
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
