package load

import (
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core/process/conf"
)

// Scenario describes one run.
type Scenario struct {
	Name string `toml:"name"`
	// Seed makes the sequence of requests repeatable.
	Seed uint64 `toml:"seed"`
	// Warmup is load before the measurement; Length is the measured time.
	Warmup conf.Duration `toml:"warmup"`
	Length conf.Duration `toml:"length"`
	// Targets are the addresses that take the load in turn.
	Targets []netip.AddrPort `toml:"targets"`
	Streams []Stream         `toml:"stream"`
	Events  []Event          `toml:"event"`
	// Window is the length of the time slots of the report; default 1s.
	Window conf.Duration `toml:"window"`
}

// Stream is a class of requests.
type Stream struct {
	Name    string            `toml:"name"`
	Method  string            `toml:"method"`
	Path    string            `toml:"path"`
	Headers map[string]string `toml:"headers"`
	// Rate is the number of requests a second.
	Rate float64 `toml:"rate"`
	// Size is the mean body size in bytes; sizes are exponentially distributed
	// unless Fixed is set.
	Size  int  `toml:"size"`
	Fixed bool `toml:"fixed"`
	// Shared is the number of prefixes of which each body begins with one, for
	// example system prompts, and Prefix their length in bytes.
	Shared int `toml:"shared"`
	Prefix int `toml:"prefix"`
	// Body replaces the generated body.
	Body string `toml:"body"`
	// Targets replace the scenario's targets for this stream.
	Targets []netip.AddrPort `toml:"targets"`
	// Keyed adds an idempotency key of its own to each request.
	Keyed bool `toml:"keyed"`
}

// Event is an HTTP request that is sent at a time of the run, for example an
// operator's order or a fault.
type Event struct {
	Name    string            `toml:"name"`
	At      conf.Duration     `toml:"at"`
	Method  string            `toml:"method"`
	URL     string            `toml:"url"`
	Headers map[string]string `toml:"headers"`
	Body    string            `toml:"body"`
}

// Check reports the first setting that is missing or out of range.
func (s *Scenario) Check() error {
	if len(s.Streams) == 0 || s.Length.Duration <= 0 {
		return trace.BadParameter("scenario %q needs a stream and a length", s.Name)
	}
	for i := range s.Streams {
		st := &s.Streams[i]
		targets := s.targets(st)
		if st.Rate <= 0 || st.Path == "" || len(targets) == 0 {
			return trace.BadParameter("stream %q needs a rate, a path and targets", st.Name)
		}
		for _, t := range targets {
			if !t.Addr().IsLoopback() {
				return trace.BadParameter("target %s is not a loopback address", t)
			}
		}
	}
	return nil
}

func (s *Scenario) targets(st *Stream) []netip.AddrPort {
	if len(st.Targets) > 0 {
		return st.Targets
	}
	return s.Targets
}

func (s *Scenario) window() time.Duration { return s.Window.OrDefault(time.Second) }
