package policy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/core/request/picker"
)

// Scenario is one experiment. Zero settings mean defaults.
type Scenario struct {
	Name string
	Seed uint64
	// Entries, Upstreams and Zones default to 6, 12 and 3; they are spread
	// evenly over the zones.
	Entries   int
	Upstreams int
	Zones     int
	// Slots is the number of requests that an upstream serves at once; default 8.
	Slots int
	// Slow is the factor by which the first upstream is slower; default 3.
	Slow float64
	// Load is the arrival rate as a share of the capacity; default 0.7.
	Load float64
	// Skew is the share of all requests that arrive in the first zone; default
	// even.
	Skew float64
	// Lag is the age of the load in a report; default 250 ms.
	Lag time.Duration
	// Credit makes entries respect credit and agents refuse at their limit.
	// Requests then wait at the entry; without it they wait at the upstream.
	Credit bool
	// Length is the simulated time in which requests arrive; default 10 min.
	// The first tenth is not measured.
	Length time.Duration
}

func (s Scenario) withDefaults() Scenario {
	def := func(p *int, v int) {
		if *p == 0 {
			*p = v
		}
	}
	def(&s.Entries, 6)
	def(&s.Upstreams, 12)
	def(&s.Zones, 3)
	def(&s.Slots, 8)
	if s.Slow == 0 {
		s.Slow = 3
	}
	if s.Load == 0 {
		s.Load = 0.7
	}
	if s.Lag == 0 {
		s.Lag = 250 * time.Millisecond
	}
	if s.Length == 0 {
		s.Length = 10 * time.Minute
	}
	return s
}

// mix is the distribution of service times at an upstream of normal speed:
// short answers, long ones, and few very long ones, each exponential.
var mix = []struct {
	share float64
	mean  time.Duration
}{
	{0.70, 200 * time.Millisecond},
	{0.25, time.Second},
	{0.05, 6 * time.Second},
}

func meanLength() (sum float64) {
	for _, m := range mix {
		sum += m.share * m.mean.Seconds()
	}
	return sum
}

// request is one request of the arrival sequence.
type request struct {
	arrival time.Duration
	length  time.Duration
	entry   int
}

// arrivals draws the requests of a scenario, a Poisson process.
func (s Scenario) arrivals() []request {
	r := rand.New(rand.NewPCG(s.Seed, 1))
	capacity := float64(s.Slots) * (float64(s.Upstreams-1) + 1/s.Slow) / meanLength()
	rate := s.Load * capacity
	var all []request
	for at := 0.0; ; {
		at += r.ExpFloat64() / rate
		if at >= s.Length.Seconds() {
			return all
		}
		q := request{arrival: time.Duration(at * 1e9), entry: r.IntN(s.Entries)}
		if s.Skew > 0 {
			// Entry i is in zone i modulo Zones.
			if first := r.Float64() < s.Skew; first != (q.entry%s.Zones == 0) {
				for first != (q.entry%s.Zones == 0) {
					q.entry = r.IntN(s.Entries)
				}
			}
		}
		u := r.Float64()
		for _, m := range mix {
			if u -= m.share; u < 0 || m == mix[len(mix)-1] {
				q.length = time.Duration(r.ExpFloat64() * float64(m.mean))
				break
			}
		}
		all = append(all, q)
	}
}

// upstreams returns the simulated upstreams; upstream i is in zone i modulo
// Zones.
func (s Scenario) upstreams() []*core.UpstreamState {
	ups := make([]*core.UpstreamState, s.Upstreams)
	for i := range ups {
		ups[i] = &core.UpstreamState{Upstream: core.Upstream{Name: fmt.Sprint("upstream-", i), Zone: zone(i % s.Zones), Limit: s.Slots}}
	}
	return ups
}

// subset returns the indexes of the upstreams that an entry uses.
func (s Scenario) subset(entry int, ups []*core.UpstreamState) []int {
	name := func(i int) string { return fmt.Sprint("entry-", i) }
	var peers []string
	for i := range s.Entries {
		if i%s.Zones == entry%s.Zones {
			peers = append(peers, name(i))
		}
	}
	chosen := picker.Subset("service", name(entry), zone(entry%s.Zones), ups, 0, peers...)
	var idx []int
	for i, u := range ups {
		if len(idx) < len(chosen) && chosen[len(idx)] == u {
			idx = append(idx, i)
		}
	}
	return idx
}

func zone(i int) string { return fmt.Sprint("zone-", i) }

// Picker is a picker under test.
type Picker struct {
	Name string
	// New returns the picker of one entry.
	New func(zone string, intN func(int) int) core.Picker
}

// Pickers are the pickers that are compared.
var Pickers = []Picker{
	{"ours", func(z string, n func(int) int) core.Picker { return &picker.TwoChoices{Zone: z, IntN: n} }},
	{"two choices, no ageing", func(z string, n func(int) int) core.Picker {
		return &picker.TwoChoices{Zone: z, IntN: n, ReportDecay: -1}
	}},
	{"round-robin", func(string, func(int) int) core.Picker { return &picker.RoundRobin{} }},
	{"random", func(_ string, n func(int) int) core.Picker { return &picker.Random{IntN: n} }},
	{"least-loaded", func(_ string, n func(int) int) core.Picker { return &picker.LeastLoaded{IntN: n} }},
}
