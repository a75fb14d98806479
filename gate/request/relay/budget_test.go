package relay_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/gate/request/relay"
)

// TestRetryBudgetWindow guards against more retries in any window than its
// requests and the burst allow. The limit was exceeded in test runs when both
// counts covered 1.1 windows, so that requests older than a window allowed retries.
func TestRetryBudgetWindow(t *testing.T) {
	g := NewWithT(t)
	const ratio, burst = 0.2, 40.0
	window := 10 * time.Second
	b := &relay.RetryBudget{Ratio: ratio, Burst: burst, Window: window}
	rng := rand.New(rand.NewPCG(1, 2))
	// There is no burst in the first window after the start.
	now := time.Now().Add(2 * window)
	var requests, retries []time.Time
	rate := 40.0
	for range 6000 {
		now = now.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if rng.IntN(500) == 0 {
			rate = 5 + rng.Float64()*100
		}
		b.RecordFirstAttempt(now)
		requests = append(requests, now)
		for range 3 {
			if b.TakeRetry(now, 1) {
				retries = append(retries, now)
			}
		}
	}
	g.Expect(retries).NotTo(BeEmpty())
	for i, start := range retries {
		n, requestCount := 0, 0
		for _, r := range retries[i:] {
			if r.Sub(start) < window {
				n++
			}
		}
		for _, f := range requests {
			// Requests before the window allow the retries at its start, so those of
			// the half window before it count too.
			if f.After(start.Add(-window/2)) && f.Before(start.Add(window)) {
				requestCount++
			}
		}
		g.Expect(float64(n)).To(BeNumerically("<=", ratio*float64(requestCount)+burst), "window from %s", start)
	}
}

// TestRetryBudgetSharesBurst guards against gates that together exceed the burst,
// and against a gate that uses its share again after a restart.
func TestRetryBudgetSharesBurst(t *testing.T) {
	g := NewWithT(t)
	b := &relay.RetryBudget{Burst: 80, Window: 10 * time.Second}
	g.Expect(b.TakeRetry(time.Now(), 1)).To(BeFalse(), "no burst in the first window")
	later := time.Now().Add(20 * time.Second)
	n := 0
	for b.TakeRetry(later, 8) {
		n++
	}
	g.Expect(n).To(BeNumerically("<=", 10))
	g.Expect(n).To(BeNumerically(">", 5))
	b.ReturnRetry()
	g.Expect(b.TakeRetry(later, 8)).To(BeTrue())
}
