package load

import (
	"sync"
	"time"
)

// Config sets what an upstream bears. All numbers are requests at once unless
// stated.
type Config struct {
	// Cold and Max are what it bears when cold and when warm.
	Cold int `json:"cold"`
	Max  int `json:"max"`
	// Step is the number of completions for which it bears one more.
	Step int `json:"step"`
	// Over is the multiple of what it bears above which it refuses requests.
	Over float64 `json:"over"`
	// GraceMs is the time after an unannounced turn to cold for which an
	// excess counts as a grace violation, because nobody can know of it yet.
	GraceMs int `json:"grace_ms"`
}

// Stats is the account of a Gauge.
type Stats struct {
	Bears    int `json:"bears"`
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
	// Colds counts the turns to cold.
	Colds int `json:"colds"`
}

// Gauge accounts for the requests of one upstream. Its zero value bears
// nothing; Set comes first.
type Gauge struct {
	mu     sync.Mutex
	cfg    Config
	stats  Stats
	served int
	grace  time.Time
}

// Set changes the settings.
func (g *Gauge) Set(c Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cfg = c
}

// Enter accounts for a request that comes in and reports whether it is run.
func (g *Gauge) Enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	bears := g.bears()
	n := g.stats.Inflight + 1
	if n > bears {
		if time.Now().Before(g.grace) {
			g.stats.GraceViolations++
		} else {
			g.stats.Violations++
			g.stats.MaxExcess = max(g.stats.MaxExcess, n-bears)
		}
	}
	if g.cfg.Over > 0 && float64(n) > g.cfg.Over*float64(bears) {
		g.stats.Refused++
		return false
	}
	g.stats.Inflight = n
	g.stats.MaxInflight = max(g.stats.MaxInflight, n)
	g.stats.Started++
	return true
}

// Leave accounts for the end of a request.
func (g *Gauge) Leave(completed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stats.Inflight--
	if !completed {
		g.stats.Cancelled++
		return
	}
	g.stats.Completed++
	g.served++
}

// Cool makes the upstream cold. A restart announces itself by its new
// incarnation; a turn that is not announced opens a grace time.
func (g *Gauge) Cool(announced bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.served = 0
	g.stats.Colds++
	if !announced {
		g.grace = time.Now().Add(time.Duration(g.cfg.GraceMs) * time.Millisecond)
	}
}

// Excess returns the concurrency relative to what the upstream bears, at
// least 1.
func (g *Gauge) Excess() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(1, float64(g.stats.Inflight)/float64(max(1, g.bears())))
}

// Stats returns the account.
func (g *Gauge) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stats
	s.Bears = g.bears()
	return s
}

func (g *Gauge) bears() int {
	return min(g.cfg.Max, g.cfg.Cold+g.served/max(1, g.cfg.Step))
}
