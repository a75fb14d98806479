package policy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/core/request/picker"
)

// Scenario describes one experiment. Zero fields select the defaults.
type Scenario struct {
	Name string
	Seed uint64
	// Entries, Upstreams and Zones default to 6, 12 and 3. The entries and
	// upstreams are distributed evenly over the zones.
	Entries   int
	Upstreams int
	Zones     int
	// Slots is the number of requests that an upstream serves at once; default 8.
	Slots int
	// Slowdown is the factor by which the first upstream is slower; default 3.
	Slowdown float64
	// Load is the arrival rate as a fraction of the total capacity; default 0.7.
	Load float64
	// FirstZoneShare is the fraction of all requests that arrive in the first
	// zone; by default, all zones get equal shares.
	FirstZoneShare float64
	// ReportLag is the age of the load in a report; default 250 ms.
	ReportLag time.Duration
	// Credit makes load reports tell an entry how many requests it may have in
	// flight at the upstream (its credit), and makes agents refuse requests above
	// their limit. Requests then wait at the entry; without Credit they wait at
	// the upstream.
	Credit bool
	// Duration is the simulated time in which requests arrive; default 10 min.
	// The first tenth is not measured.
	Duration time.Duration
}

func (s Scenario) withDefaults() Scenario {
	setDefault := func(p *int, v int) {
		if *p == 0 {
			*p = v
		}
	}
	setDefault(&s.Entries, 6)
	setDefault(&s.Upstreams, 12)
	setDefault(&s.Zones, 3)
	setDefault(&s.Slots, 8)
	if s.Slowdown == 0 {
		s.Slowdown = 3
	}
	if s.Load == 0 {
		s.Load = 0.7
	}
	if s.ReportLag == 0 {
		s.ReportLag = 250 * time.Millisecond
	}
	if s.Duration == 0 {
		s.Duration = 10 * time.Minute
	}
	return s
}

// serviceTimeMix is the distribution of service times at an upstream of normal
// speed: a mixture of exponential distributions for short, long and a few very
// long responses.
var serviceTimeMix = []struct {
	share float64
	mean  time.Duration
}{
	{0.70, 200 * time.Millisecond},
	{0.25, time.Second},
	{0.05, 6 * time.Second},
}

func meanServiceTime() (sum float64) {
	for _, m := range serviceTimeMix {
		sum += m.share * m.mean.Seconds()
	}
	return sum
}

// request is one simulated request. serviceTime is that at an upstream of normal
// speed.
type request struct {
	arrival     time.Duration
	serviceTime time.Duration
	entry       int
}

// arrivals generates the requests of a scenario; they arrive as a Poisson process.
func (s Scenario) arrivals() []request {
	r := rand.New(rand.NewPCG(s.Seed, 1))
	capacity := float64(s.Slots) * (float64(s.Upstreams-1) + 1/s.Slowdown) / meanServiceTime()
	rate := s.Load * capacity
	var requests []request
	for at := 0.0; ; {
		at += r.ExpFloat64() / rate
		if at >= s.Duration.Seconds() {
			return requests
		}
		req := request{arrival: time.Duration(at * 1e9), entry: r.IntN(s.Entries)}
		if s.FirstZoneShare > 0 {
			// Entry i is in zone i modulo Zones.
			if inFirstZone := r.Float64() < s.FirstZoneShare; inFirstZone != (req.entry%s.Zones == 0) {
				for inFirstZone != (req.entry%s.Zones == 0) {
					req.entry = r.IntN(s.Entries)
				}
			}
		}
		u := r.Float64()
		for _, m := range serviceTimeMix {
			if u -= m.share; u < 0 || m == serviceTimeMix[len(serviceTimeMix)-1] {
				req.serviceTime = time.Duration(r.ExpFloat64() * float64(m.mean))
				break
			}
		}
		requests = append(requests, req)
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

// subset returns the indexes in ups of the upstreams that an entry uses.
func (s Scenario) subset(entry int, ups []*core.UpstreamState) []int {
	name := func(i int) string { return fmt.Sprint("entry-", i) }
	var peers []string
	for i := range s.Entries {
		if i%s.Zones == entry%s.Zones {
			peers = append(peers, name(i))
		}
	}
	chosen := picker.Subset("service", name(entry), zone(entry%s.Zones), ups, 0, peers...)
	var indexes []int
	for i, u := range ups {
		if len(indexes) < len(chosen) && chosen[len(indexes)] == u {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

func zone(i int) string { return fmt.Sprint("zone-", i) }

// Picker is a picker under test.
type Picker struct {
	Name string
	// New returns the picker of one entry.
	New func(zone string, intN func(int) int) core.Picker
}

// Pickers lists the pickers that are compared.
var Pickers = []Picker{
	{"ours", func(z string, n func(int) int) core.Picker { return &picker.TwoChoices{Zone: z, IntN: n} }},
	{"two choices, no ageing", func(z string, n func(int) int) core.Picker {
		return &picker.TwoChoices{Zone: z, IntN: n, ReportDecay: -1}
	}},
	{"round-robin", func(string, func(int) int) core.Picker { return &picker.RoundRobin{} }},
	{"random", func(_ string, n func(int) int) core.Picker { return &picker.Random{IntN: n} }},
	{"least-loaded", func(_ string, n func(int) int) core.Picker { return &picker.LeastLoaded{IntN: n} }},
}
