package retry_test

import (
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"parsleyroute.example/core"
	"parsleyroute.example/core/request/retry"
	_ "parsleyroute.example/core/suite/seed"
)

// Guards against retries that multiply the load on the upstreams that still work.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.SampledFrom([]float64{0, 0.01, 0.1, 0.5}).Draw(t, "ratio")
		b := retry.NewBudget(ratio)
		if ratio == 0 {
			ratio = retry.DefaultRatio
		}
		first, taken, idle := 0, 0, 0
		for _, take := range rapid.SliceOfN(rapid.Bool(), 0, 400).Draw(t, "ops") {
			if !take {
				b.RecordFirstAttempt()
				first++
				idle++
				continue
			}
			if b.TakeRetry() {
				taken++
			} else if float64(idle)*ratio >= 1 {
				t.Fatalf("no retry allowed after %d first attempts in a row", idle)
			}
			idle = 0
		}
		if maxTaken := retry.InitialSaved + ratio*float64(first) + 1e-6; float64(taken) > maxTaken {
			t.Fatalf("%d retries allowed, want at most %v", taken, maxTaken)
		}
	})
}

func TestBudgetIsCapped(t *testing.T) {
	g := NewWithT(t)
	b := retry.NewBudget(0)
	for range 1000 {
		b.RecordFirstAttempt()
	}
	b.ReturnRetry()
	var taken atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 50 {
				if b.TakeRetry() {
					taken.Add(1)
				}
			}
		})
	}
	wg.Wait()
	g.Expect(taken.Load()).To(BeEquivalentTo(retry.MaxSaved))
}

// Guards against a configuration change that refills a spent budget.
func TestUpdateKeepsUnspentRetries(t *testing.T) {
	g := NewWithT(t)
	var b retry.Budgets
	g.Expect(b.Get("s").TakeRetry()).To(BeFalse())
	table := func(ratio float64) *core.Table {
		return &core.Table{Services: map[string]*core.ServiceState{"s": {Service: core.Service{RetryRatio: ratio}}}}
	}
	b.Update(table(0))
	for b.Get("s").TakeRetry() {
	}
	b.Update(table(0.5))
	g.Expect(b.Get("s").TakeRetry()).To(BeFalse())
	b.Get("s").RecordFirstAttempt()
	b.Get("s").RecordFirstAttempt()
	g.Expect(b.Get("s").TakeRetry()).To(BeTrue())
	b.Update(&core.Table{})
	g.Expect(b.Get("s").TakeRetry()).To(BeFalse())
}
