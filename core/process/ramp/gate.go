package ramp

import (
	"sync"
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
)

// activePeriod is how long an entry counts as active after its last request.
const activePeriod = 10 * time.Second

// busyRetry is the time after which a refused request may try again.
const busyRetry = 100 * time.Millisecond

// Config is the declared state of the upstream.
type Config struct {
	// Limit and Cold bound the concurrency; Step is the number of completions
	// for each increase. Zero means 1.
	Limit              int
	ColdLimit          int
	CompletionsPerStep int
	// Share is the admitted share of Limit; zero means 1.
	Share float64
	// Out is set if operators have taken the upstream or its zone out.
	Out bool
	// Leaving is set while the platform lists the agent's instance as leaving.
	// It refuses new requests as Drain does, but it can be taken back.
	Leaving bool
}

// Limiter admits requests to one upstream. It starts cold, and it refuses all
// requests until Configure is called.
type Limiter struct {
	Clock core.Clock
	// Incarnation goes with each load report.
	Incarnation uint64

	mu         sync.Mutex
	configured bool
	cfg        Config
	warm       warmth
	draining   bool
	inflight   int
	entries    map[string]*entry
	// waiting holds the start times of requests without a first byte.
	waiting map[*Slot]time.Time
	idle    chan struct{}
}

type entry struct {
	inflight int
	seen     time.Time
}

// Slot is an admitted request.
type Slot struct {
	gate  *Limiter
	entry string
	start time.Time
	// atLimit tells that the upstream was at least half full, so that the
	// answer says something about the limit.
	atLimit bool
	// service is the time to the first byte; zero until then.
	service time.Duration
	once    sync.Once
}

// Configure sets the declared state. The warmth of the upstream is kept.
func (g *Limiter) Configure(cfg Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	cfg.Limit = max(cfg.Limit, 1)
	cfg.ColdLimit = min(max(cfg.ColdLimit, 1), cfg.Limit)
	cfg.CompletionsPerStep = max(cfg.CompletionsPerStep, 1)
	if cfg.Share <= 0 || cfg.Share > 1 {
		cfg.Share = 1
	}
	if !g.configured {
		g.warm.limit = cfg.ColdLimit
		g.configured = true
	}
	g.cfg = cfg
	g.warm.limit = min(max(g.warm.limit, cfg.ColdLimit), cfg.Limit)
}

// Acquire admits a request of an entry or refuses it.
func (g *Limiter) Acquire(name string) (*Slot, *core.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	e := g.entry(name, now)
	if refusal := g.refuse(now); refusal != nil {
		return nil, refusal
	}
	g.inflight++
	s := &Slot{gate: g, entry: name, start: now, atLimit: 2*g.inflight >= g.warm.limit}
	e.inflight++
	if g.waiting == nil {
		g.waiting = map[*Slot]time.Time{}
	}
	g.waiting[s] = now
	return s, nil
}

func (g *Limiter) refuse(now time.Time) *core.Refusal {
	switch {
	case !g.configured:
		return core.Refuse(core.ReasonNotReady, "the agent has no configuration of its upstream yet")
	case g.draining || g.cfg.Leaving:
		return core.Refuse(core.ReasonDraining, "the upstream is draining")
	case g.cfg.Out:
		return core.Refuse(core.ReasonUpstreamOut, "the upstream is out")
	}
	g.checkStall(now)
	if g.inflight >= g.limit() {
		r := core.Refuse(core.ReasonUpstreamBusy, "the upstream is at its limit")
		r.RetryAfter = busyRetry
		return r
	}
	return nil
}

// checkStall returns the upstream to cold if a request has waited for its
// first byte far longer than the baseline: a cold upstream shows first by
// answers that do not come.
func (g *Limiter) checkStall(now time.Time) {
	if g.warm.baseline == 0 || g.warm.limit == g.cfg.ColdLimit {
		return
	}
	for _, start := range g.waiting {
		if now.Sub(start) > coldFactor*g.warm.baseline {
			g.warm.cool(g.cfg.ColdLimit)
			meter.Event("ramp_stall")
			return
		}
	}
}

// limit returns the limit in force. The admitted share never takes it below 1.
func (g *Limiter) limit() int {
	if !g.configured || g.draining || g.cfg.Leaving || g.cfg.Out {
		return 0
	}
	return max(1, min(g.warm.limit, int(g.cfg.Share*float64(g.cfg.Limit))))
}

func (g *Limiter) entry(name string, now time.Time) *entry {
	if g.entries == nil {
		g.entries = map[string]*entry{}
	}
	e := g.entries[name]
	if e == nil {
		e = &entry{}
		g.entries[name] = e
	}
	e.seen = now
	return e
}

// active drops entries that are no longer active and returns the number left.
func (g *Limiter) active(now time.Time) int {
	for name, e := range g.entries {
		if e.inflight == 0 && now.Sub(e.seen) > activePeriod {
			delete(g.entries, name)
		}
	}
	return max(1, len(g.entries))
}

// Load returns the report for an entry. Its credit is the entry's in-flight
// count plus its share of the free slots, and at least one while the upstream
// takes work, so that an idle entry can try.
func (g *Limiter) Load(name string) core.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	load := core.Load{
		Inflight:    g.inflight,
		Limit:       g.limit(),
		ServiceTime: g.warm.baseline,
		Draining:    g.draining || g.cfg.Leaving,
		Incarnation: g.Incarnation,
		At:          now,
	}
	if load.Limit == 0 {
		return load
	}
	active := g.active(now)
	own := 0
	if e := g.entries[name]; e != nil {
		own = e.inflight
	}
	free := max(0, load.Limit-g.inflight)
	load.Credit = max(1, own+(free+active-1)/active)
	return load
}

// Ready reports whether the gate is configured and neither draining nor
// leaving.
func (g *Limiter) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.configured && !g.draining && !g.cfg.Leaving
}

// ResetToCold returns the upstream to cold at once.
func (g *Limiter) ResetToCold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.warm.cool(max(g.cfg.ColdLimit, 1))
	meter.Event("ramp_cool")
}

// Drain refuses all new requests from now on, and returns a channel that is
// closed once no request is in flight.
func (g *Limiter) Drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.draining {
		g.draining = true
		g.idle = make(chan struct{})
		if g.inflight == 0 {
			close(g.idle)
		}
	}
	return g.idle
}

// RecordFirstByte records the service time: the time to the first byte of the
// answer, which unlike the whole time does not depend on the answer's length.
func (s *Slot) RecordFirstByte() {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	if s.service == 0 {
		s.service = max(s.gate.Clock.Now().Sub(s.start), 1)
		delete(s.gate.waiting, s)
	}
}

// Release ends the request. failed tells that the upstream failed it.
func (s *Slot) Release(failed bool) {
	s.once.Do(func() { s.gate.release(s, failed) })
}

func (g *Limiter) release(s *Slot, failed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, s)
	g.inflight--
	if e := g.entries[s.entry]; e != nil {
		e.inflight--
	}
	switch {
	case failed:
		g.warm.overloaded(g.cfg.ColdLimit)
		meter.Event("ramp_cut")
	case s.service > 0:
		if g.warm.completed(s, g.cfg) {
			meter.Event("ramp_cut")
		}
	}
	if g.draining && g.inflight == 0 {
		close(g.idle)
	}
}
