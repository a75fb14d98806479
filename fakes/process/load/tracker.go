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
func (t *Tracker) SetConfig(c Config) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cfg = c
}

// Admit counts an incoming request and reports whether to run it.
func (t *Tracker) Admit() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.limit()
	n := t.stats.Inflight + 1
	if n > limit {
		if time.Now().Before(t.graceEnd) {
			t.stats.GraceViolations++
		} else {
			t.stats.Violations++
			t.stats.MaxExcess = max(t.stats.MaxExcess, n-limit)
		}
	}
	if t.cfg.RefuseFactor > 0 && float64(n) > t.cfg.RefuseFactor*float64(limit) {
		t.stats.Refused++
		return false
	}
	t.stats.Inflight = n
	t.stats.MaxInflight = max(t.stats.MaxInflight, n)
	t.stats.Started++
	return true
}

// Finish counts the end of an admitted request.
func (t *Tracker) Finish(completed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Inflight--
	if !completed {
		t.stats.Canceled++
		return
	}
	t.stats.Completed++
	t.completions++
}

// ResetToCold makes the upstream cold. Other processes detect a restart by its
// new incarnation; a reset that is not announced starts a grace period.
func (t *Tracker) ResetToCold(announced bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.completions = 0
	t.stats.ColdResets++
	if !announced {
		t.graceEnd = time.Now().Add(time.Duration(t.cfg.GraceMs) * time.Millisecond)
	}
}

// OverloadFactor returns the concurrency divided by the limit, at least 1.
func (t *Tracker) OverloadFactor() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(1, float64(t.stats.Inflight)/float64(max(1, t.limit())))
}

// Stats returns the current values and the counters.
func (t *Tracker) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats
	s.Limit = t.limit()
	return s
}

func (t *Tracker) limit() int {
	return min(t.cfg.MaxLimit, t.cfg.ColdLimit+t.completions/max(1, t.cfg.CompletionsPerSlot))
}
