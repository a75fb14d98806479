package ramp

import (
	"sync"
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
)

// entryActiveDuration is the time for which an entry counts as active after its
// last request.
const entryActiveDuration = 10 * time.Second

// busyRetryAfter is the time after which a refused request may be retried.
const busyRetryAfter = 100 * time.Millisecond

// Config is the declared state of the upstream.
type Config struct {
	// Limit is the maximum concurrency, and ColdLimit that of a cold upstream.
	// The limit grows by one after CompletionsPerStep completions. Zero means 1
	// for each of them.
	Limit              int
	ColdLimit          int
	CompletionsPerStep int
	// Share is the fraction of Limit that is admitted; zero means 1.
	Share float64
	// Out is set if operators have taken the upstream or its zone out of service.
	Out bool
	// Leaving is set while the platform lists the agent's instance as leaving.
	// New requests are refused as after Drain, but Leaving can be reset.
	Leaving bool
}

// Limiter admits requests to one upstream. It starts cold, and it refuses all
// requests until Configure is called.
type Limiter struct {
	Clock core.Clock
	// Incarnation is included in each load report.
	Incarnation uint64

	mu         sync.Mutex
	configured bool
	cfg        Config
	ramp       rampState
	draining   bool
	inflight   int
	entries    map[string]*entry
	// waiting holds the start times of requests that wait for the first byte of
	// their response.
	waiting map[*Slot]time.Time
	idle    chan struct{}
}

type entry struct {
	inflight    int
	lastRequest time.Time
}

// Slot is an admitted request.
type Slot struct {
	limiter *Limiter
	entry   string
	start   time.Time
	// halfFull is set if at least half of the limit was in use when the request
	// was admitted. Other completions do not show that the limit can grow.
	halfFull bool
	// serviceTime is the time to the first byte; zero until then.
	serviceTime time.Duration
	once        sync.Once
}

// Configure sets the declared state. The state of the ramp is kept.
func (l *Limiter) Configure(cfg Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cfg.Limit = max(cfg.Limit, 1)
	cfg.ColdLimit = min(max(cfg.ColdLimit, 1), cfg.Limit)
	cfg.CompletionsPerStep = max(cfg.CompletionsPerStep, 1)
	if cfg.Share <= 0 || cfg.Share > 1 {
		cfg.Share = 1
	}
	if !l.configured {
		l.ramp.limit = cfg.ColdLimit
		l.configured = true
	}
	l.cfg = cfg
	l.ramp.limit = min(max(l.ramp.limit, cfg.ColdLimit), cfg.Limit)
}

// Acquire admits a request of an entry or refuses it.
func (l *Limiter) Acquire(name string) (*Slot, *core.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	e := l.touchEntry(name, now)
	if refusal := l.checkAdmission(now); refusal != nil {
		return nil, refusal
	}
	l.inflight++
	s := &Slot{limiter: l, entry: name, start: now, halfFull: 2*l.inflight >= l.ramp.limit}
	e.inflight++
	if l.waiting == nil {
		l.waiting = map[*Slot]time.Time{}
	}
	l.waiting[s] = now
	return s, nil
}

func (l *Limiter) checkAdmission(now time.Time) *core.Refusal {
	switch {
	case !l.configured:
		return core.NewRefusal(core.ReasonNotReady, "the agent has no configuration of its upstream yet")
	case l.draining || l.cfg.Leaving:
		return core.NewRefusal(core.ReasonDraining, "the upstream is draining")
	case l.cfg.Out:
		return core.NewRefusal(core.ReasonUpstreamOut, "the upstream is out")
	}
	l.checkStall(now)
	if l.inflight >= l.currentLimit() {
		r := core.NewRefusal(core.ReasonUpstreamBusy, "the upstream is at its limit")
		r.RetryAfter = busyRetryAfter
		return r
	}
	return nil
}

// checkStall resets the limit to cold if a request has waited for its first byte
// far longer than the baseline: the first sign of a cold upstream is that
// responses are late.
func (l *Limiter) checkStall(now time.Time) {
	if l.ramp.baseline == 0 || l.ramp.limit == l.cfg.ColdLimit {
		return
	}
	for _, start := range l.waiting {
		if now.Sub(start) > coldMultiple*l.ramp.baseline {
			l.ramp.resetToCold(l.cfg.ColdLimit)
			meter.Event("ramp_stall")
			return
		}
	}
}

// currentLimit returns the current limit, or zero if no request is admitted.
// Share does not reduce it below 1.
func (l *Limiter) currentLimit() int {
	if !l.configured || l.draining || l.cfg.Leaving || l.cfg.Out {
		return 0
	}
	return max(1, min(l.ramp.limit, int(l.cfg.Share*float64(l.cfg.Limit))))
}

func (l *Limiter) touchEntry(name string, now time.Time) *entry {
	if l.entries == nil {
		l.entries = map[string]*entry{}
	}
	e := l.entries[name]
	if e == nil {
		e = &entry{}
		l.entries[name] = e
	}
	e.lastRequest = now
	return e
}

// pruneEntries removes the entries that are no longer active and returns the
// number of those left, at least one.
func (l *Limiter) pruneEntries(now time.Time) int {
	for name, e := range l.entries {
		if e.inflight == 0 && now.Sub(e.lastRequest) > entryActiveDuration {
			delete(l.entries, name)
		}
	}
	return max(1, len(l.entries))
}

// Load returns the load report for an entry. Its credit is the entry's in-flight
// count plus its share of the free slots, and at least one while the upstream
// admits requests, so that an idle entry can send one.
func (l *Limiter) Load(name string) core.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	load := core.Load{
		Inflight:    l.inflight,
		Limit:       l.currentLimit(),
		ServiceTime: l.ramp.baseline,
		Draining:    l.draining || l.cfg.Leaving,
		Incarnation: l.Incarnation,
		ReceivedAt:  now,
	}
	if load.Limit == 0 {
		return load
	}
	activeEntries := l.pruneEntries(now)
	own := 0
	if e := l.entries[name]; e != nil {
		own = e.inflight
	}
	free := max(0, load.Limit-l.inflight)
	load.Credit = max(1, own+(free+activeEntries-1)/activeEntries)
	return load
}

// Ready reports whether the limiter is configured and neither draining nor
// leaving.
func (l *Limiter) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.configured && !l.draining && !l.cfg.Leaving
}

// ResetToCold sets the limit to ColdLimit at once.
func (l *Limiter) ResetToCold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ramp.resetToCold(max(l.cfg.ColdLimit, 1))
	meter.Event("ramp_cool")
}

// Drain makes the limiter refuse all new requests. It returns a channel that is
// closed once no request is in flight.
func (l *Limiter) Drain() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.draining {
		l.draining = true
		l.idle = make(chan struct{})
		if l.inflight == 0 {
			close(l.idle)
		}
	}
	return l.idle
}

// RecordFirstByte records the service time: the time to the first byte of the
// response, which unlike the total time does not depend on the response's length.
func (s *Slot) RecordFirstByte() {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	if s.serviceTime == 0 {
		s.serviceTime = max(s.limiter.Clock.Now().Sub(s.start), 1)
		delete(s.limiter.waiting, s)
	}
}

// Release ends the request. failed is set if the upstream failed to process it.
// Only the first call has an effect.
func (s *Slot) Release(failed bool) {
	s.once.Do(func() { s.limiter.release(s, failed) })
}

func (l *Limiter) release(s *Slot, failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, s)
	l.inflight--
	if e := l.entries[s.entry]; e != nil {
		e.inflight--
	}
	switch {
	case failed:
		l.ramp.halveLimit(l.cfg.ColdLimit)
		meter.Event("ramp_cut")
	case s.serviceTime > 0:
		if l.ramp.recordCompletion(s, l.cfg) {
			meter.Event("ramp_cut")
		}
	}
	if l.draining && l.inflight == 0 {
		close(l.idle)
	}
}
