package clock

import (
	"context"
	"sort"
	"sync"
	"time"
)

// Manual is a clock that only Advance changes. Its zero value starts at the zero
// time.
type Manual struct {
	mu     sync.Mutex
	now    time.Time
	timers []timer
}

type timer struct {
	at time.Time
	ch chan time.Time
}

// NewManual returns a Manual clock that starts at now.
func NewManual(now time.Time) *Manual { return &Manual{now: now} }

// Now implements core.Clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After implements core.Clock.
func (m *Manual) After(d time.Duration) <-chan time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	ch := make(chan time.Time, 1)
	if d <= 0 {
		ch <- m.now
		return ch
	}
	m.timers = append(m.timers, timer{at: m.now.Add(d), ch: ch})
	return ch
}

// Sleep implements core.Clock.
func (m *Manual) Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-m.After(d):
		return nil
	}
}

// Advance advances the clock by d and fires the expired timers in order.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	sort.SliceStable(m.timers, func(i, j int) bool { return m.timers[i].at.Before(m.timers[j].at) })
	n := 0
	for n < len(m.timers) && !m.timers[n].at.After(m.now) {
		m.timers[n].ch <- m.timers[n].at
		n++
	}
	m.timers = append([]timer(nil), m.timers[n:]...)
}
