package load

import (
	"sync"
	"time"
)

// Config sets what an upstream bears. All numbers are requests at once unless
// stated.
type Config struct {
	// ColdLimit and Max are what it bears when cold and when warm.
	ColdLimit int `json:"cold"`
	MaxLimit  int `json:"max"`
	// CompletionsPerSlot is the number of completions for which it bears one more.
	CompletionsPerSlot int `json:"step"`
	// RefuseFactor is the multiple of what it bears above which it refuses requests.
	RefuseFactor float64 `json:"over"`
	// GraceMs is the time after an unannounced turn to cold for which an
	// excess counts as a grace violation, because nobody can know of it yet.
	GraceMs int `json:"grace_ms"`
}

// Stats is the account of a Gauge.
type Stats struct {
	Limit    int `json:"bears"`
	Inflight int `json:"inflight"`
	// MaxInflight is the highest concurrency seen, MaxExcess the highest
	// concurrency above what it bore outside of grace times.
	MaxInflight int `json:"max_inflight"`
	MaxExcess   int `json:"max_excess"`
	// Violations counts the requests that came while it had as many as it
	// bears, GraceViolations those of grace times.
	Violations      int `json:"violations"`
	GraceViolations int `json:"grace_violations"`
	Started         int `json:"started"`
	Completed       int `json:"completed"`
	Cancelled       int `json:"cancelled"`
	// Refused counts the requests refused far above what it bears.
	Refused int `json:"refused"`
	// ColdResets counts the turns to cold.
	ColdResets int `json:"colds"`
}

// Tracker accounts for the requests of one upstream. Its zero value bears
// nothing; Set comes first.
type Tracker struct {
	mu          sync.Mutex
	cfg         Config
	stats       Stats
	completions int
	graceEnd    time.Time
}

// SetConfig changes the settings.
func (g *Tracker) SetConfig(c Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cfg = c
}

// Admit accounts for a request that comes in and reports whether it is run.
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

// Finish accounts for the end of a request.
func (g *Tracker) Finish(completed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stats.Inflight--
	if !completed {
		g.stats.Cancelled++
		return
	}
	g.stats.Completed++
	g.completions++
}

// ResetToCold makes the upstream cold. A restart announces itself by its new
// incarnation; a turn that is not announced opens a grace time.
func (g *Tracker) ResetToCold(announced bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.completions = 0
	g.stats.ColdResets++
	if !announced {
		g.graceEnd = time.Now().Add(time.Duration(g.cfg.GraceMs) * time.Millisecond)
	}
}

// OverloadFactor returns the concurrency relative to what the upstream bears, at
// least 1.
func (g *Tracker) OverloadFactor() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(1, float64(g.stats.Inflight)/float64(max(1, g.limit())))
}

// Stats returns the account.
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
