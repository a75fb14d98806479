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
	// Seed is the seed of the random numbers, so that a run can be repeated
	// with the same sequence of requests.
	Seed uint64 `toml:"seed"`
	// Warmup is the time during which load is sent before the measurement;
	// Length is the measured time.
	Warmup conf.Duration `toml:"warmup"`
	Length conf.Duration `toml:"length"`
	// Targets are the addresses to which requests are sent; each request goes
	// to a random one.
	Targets []netip.AddrPort `toml:"targets"`
	Streams []Stream         `toml:"stream"`
	Events  []Event          `toml:"event"`
	// Window is the length of the time windows in the result; default 1s.
	Window conf.Duration `toml:"window"`
}

// Stream is a class of requests with a common rate and form. Their responses need
// not be streamed.
type Stream struct {
	Name    string            `toml:"name"`
	Method  string            `toml:"method"`
	Path    string            `toml:"path"`
	Headers map[string]string `toml:"headers"`
	// Rate is the mean number of requests per second.
	Rate float64 `toml:"rate"`
	// Size is the mean size in bytes of the generated bodies. Sizes are
	// exponentially distributed, up to 20 times the mean, unless FixedSize is
	// set.
	Size      int  `toml:"size"`
	FixedSize bool `toml:"fixed"`
	// PrefixCount is the number of shared prefixes, for example system prompts.
	// Each generated body starts with a random one of them. PrefixSize is their
	// length in bytes.
	PrefixCount int `toml:"shared"`
	PrefixSize  int `toml:"prefix"`
	// Body replaces the generated body.
	Body string `toml:"body"`
	// Targets replaces the targets of the scenario for this stream.
	Targets []netip.AddrPort `toml:"targets"`
	// IdempotencyKeys adds a unique idempotency key to each request.
	IdempotencyKeys bool `toml:"keyed"`
}

// Event is an HTTP request that is sent at a set time of the run, for example
// to give an operator's command or to inject a fault.
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
