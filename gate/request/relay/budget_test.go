package relay_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/gate/request/relay"
)

// TestBudgetWindow guards against more repeats in any span of a window than the
// requests of that span and the burst allow. Counts over 1.1 windows broke the
// bound in hunted days.
func TestBudgetWindow(t *testing.T) {
	g := NewWithT(t)
	const ratio, burst = 0.2, 40.0
	window := 10 * time.Second
	b := &relay.Budget{Ratio: ratio, Burst: burst, Window: window}
	rng := rand.New(rand.NewPCG(1, 2))
	// The first window after a start has no burst.
	now := time.Now().Add(2 * window)
	var firsts, repeats []time.Time
	rate := 40.0
	for range 6000 {
		now = now.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if rng.IntN(500) == 0 {
			rate = 5 + rng.Float64()*100
		}
		b.First(now)
		firsts = append(firsts, now)
		for range 3 {
			if b.Take(now, 1) {
				repeats = append(repeats, now)
			}
		}
	}
	g.Expect(repeats).NotTo(BeEmpty())
	for i, start := range repeats {
		n, earned := 0, 0
		for _, r := range repeats[i:] {
			if r.Sub(start) < window {
				n++
			}
		}
		for _, f := range firsts {
			if f.After(start.Add(-window/2)) && f.Before(start.Add(window)) {
				earned++
			}
		}
		g.Expect(float64(n)).To(BeNumerically("<=", ratio*float64(earned)+burst), "window from %s", start)
	}
}

// TestBudgetShares guards against gates that together spend more than the burst,
// and against a restarted gate that spends its predecessor's part again.
func TestBudgetShares(t *testing.T) {
	g := NewWithT(t)
	b := &relay.Budget{Burst: 80, Window: 10 * time.Second}
	g.Expect(b.Take(time.Now(), 1)).To(BeFalse(), "no burst in the first window")
	later := time.Now().Add(20 * time.Second)
	n := 0
	for b.Take(later, 8) {
		n++
	}
	g.Expect(n).To(BeNumerically("<=", 10))
	g.Expect(n).To(BeNumerically(">", 5))
	b.Return()
	g.Expect(b.Take(later, 8)).To(BeTrue())
}
