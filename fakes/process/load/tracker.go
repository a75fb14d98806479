package load

import (
	"sync"
	"time"
)

// Config sets the concurrency limit of an upstream. All numbers are concurrent
// requests unless stated otherwise.
type Config struct {
	// ColdLimit and MaxLimit are the limits when the upstream is cold and when
	// it is warm.
	ColdLimit int `json:"cold"`
	MaxLimit  int `json:"max"`
	// CompletionsPerSlot is the number of completions that raise the limit by
	// one.
	CompletionsPerSlot int `json:"step"`
	// RefuseFactor is the multiple of the limit above which requests are
	// refused; zero means that none are.
	RefuseFactor float64 `json:"over"`
	// GraceMs is the grace period in milliseconds after an unannounced reset to
	// cold. Requests above the limit count as grace violations in it, because
	// load balancers cannot know of the reset yet.
	GraceMs int `json:"grace_ms"`
}

// Stats holds the current values and the counters of a Tracker.
type Stats struct {
	Limit    int `json:"bears"`
	Inflight int `json:"inflight"`
	// MaxInflight is the highest concurrency seen, MaxExcess the largest
	// number of requests above the limit outside grace periods.
	MaxInflight int `json:"max_inflight"`
	MaxExcess   int `json:"max_excess"`
	// Violations counts the requests that exceeded the limit outside grace
	// periods, GraceViolations those in grace periods.
	Violations      int `json:"violations"`
	GraceViolations int `json:"grace_violations"`
	Started         int `json:"started"`
	Completed       int `json:"completed"`
	Canceled        int `json:"cancelled"`
	// Refused counts the requests refused above RefuseFactor times the limit.
	Refused int `json:"refused"`
	// ColdResets counts the resets to cold.
	ColdResets int `json:"colds"`
}

// Tracker counts the requests of one upstream. The limit of its zero value is
// zero; call SetConfig before use.
type Tracker struct {
	mu          sync.Mutex
	cfg         Config
	stats       Stats
	completions int
	graceEnd    time.Time
}

// SetConfig changes the configuration.
func (g *Tracker) SetConfig(c Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cfg = c
}

// Admit counts an incoming request and reports whether to run it.
func (g *Tracker) Admit() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	limit := g.limit()
	n := g.stats.Inflight + 1
	if n > limit {
		if time.Now().Before(g.graceEnd) {
			g.stats.GraceViolations++
		} else {
			g.stats.Violations++
			g.stats.MaxExcess = max(g.stats.MaxExcess, n-limit)
		}
	}
	if g.cfg.RefuseFactor > 0 && float64(n) > g.cfg.RefuseFactor*float64(limit) {
		g.stats.Refused++
		return false
	}
	g.stats.Inflight = n
	g.stats.MaxInflight = max(g.stats.MaxInflight, n)
	g.stats.Started++
	return true
}

// Finish counts the end of an admitted request.
func (g *Tracker) Finish(completed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stats.Inflight--
	if !completed {
		g.stats.Canceled++
		return
	}
	g.stats.Completed++
	g.completions++
}

// ResetToCold makes the upstream cold. Other processes detect a restart by its
// new incarnation; a reset that is not announced starts a grace period.
func (g *Tracker) ResetToCold(announced bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.completions = 0
	g.stats.ColdResets++
	if !announced {
		g.graceEnd = time.Now().Add(time.Duration(g.cfg.GraceMs) * time.Millisecond)
	}
}

// OverloadFactor returns the concurrency divided by the limit, at least 1.
func (g *Tracker) OverloadFactor() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(1, float64(g.stats.Inflight)/float64(max(1, g.limit())))
}

// Stats returns the current values and the counters.
func (g *Tracker) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stats
	s.Limit = g.limit()
	return s
}

func (g *Tracker) limit() int {
	return min(g.cfg.MaxLimit, g.cfg.ColdLimit+g.completions/max(1, g.cfg.CompletionsPerSlot))
}
