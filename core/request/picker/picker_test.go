package picker_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"parsleyroute.example/core"
	"parsleyroute.example/core/request/picker"
	"parsleyroute.example/core/suite/seed"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestPicker(t *testing.T) {
	seed.RunSpecs(t, "picker")
}

func intN() func(int) int { return rand.New(rand.NewPCG(1, 2)).IntN }

// pickers returns every implementation of core.Picker, in a fixed order.
func pickers(n func(int) int) []core.Picker {
	return []core.Picker{
		&picker.TwoChoices{Zone: "a", IntN: n}, &picker.TwoChoices{IntN: n},
		&picker.RoundRobin{}, &picker.Random{IntN: n}, &picker.LeastLoaded{IntN: n},
	}
}

func drawCandidate(t *rapid.T) core.Candidate {
	c := core.Candidate{
		Zone:        rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"),
		Limit:       rapid.IntRange(0, 8).Draw(t, "limit"),
		OwnInflight: rapid.IntRange(0, 4).Draw(t, "own"),
		Affinity:    rapid.Float64Range(0, 1).Draw(t, "affinity"),
	}
	if rapid.Bool().Draw(t, "reported") {
		c.Load = core.Load{
			Inflight:   rapid.IntRange(0, 20).Draw(t, "inflight"),
			Credit:     rapid.IntRange(0, 4).Draw(t, "credit"),
			Draining:   rapid.Bool().Draw(t, "draining"),
			ReceivedAt: start.Add(-time.Duration(rapid.IntRange(0, 15000).Draw(t, "lag")) * time.Millisecond),
		}
	}
	return c
}

// Guards against dispatches beyond the credit, and against requests that wait
// although an upstream in some zone has credit.
func TestPickRequiresCredit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cs := rapid.SliceOfN(rapid.Custom(drawCandidate), 0, 12).Draw(t, "candidates")
		anyCredit := false
		for i := range cs {
			anyCredit = anyCredit || cs[i].OwnInflight < picker.Credit(start, &cs[i])
		}
		for _, p := range pickers(intN()) {
			i := p.Pick(start, cs)
			if (i >= 0) != anyCredit {
				t.Fatalf("%T picked %d; a candidate has credit: %v", p, i, anyCredit)
			}
			if i >= 0 && cs[i].OwnInflight >= picker.Credit(start, &cs[i]) {
				t.Fatalf("%T picked a candidate without credit", p)
			}
		}
	})
}

var _ = Describe("every picker", func() {
	for i, p := range pickers(nil) {
		It(fmt.Sprintf("picks all idle candidates and is safe for concurrent use: %d, %T", i, p), func() {
			cs := make([]core.Candidate, 6)
			for i := range cs {
				cs[i] = core.Candidate{Zone: "a", Limit: 4, Load: core.Load{Credit: 4, ReceivedAt: start}}
			}
			var mu sync.Mutex
			seen := map[int]int{}
			var wg sync.WaitGroup
			for range 4 {
				wg.Go(func() {
					for range 300 {
						i := p.Pick(start, cs)
						mu.Lock()
						seen[i]++
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			Expect(seen).To(HaveLen(len(cs)))
			Expect(seen).NotTo(HaveKey(-1))
		})
	}
})

var _ = Describe("Credit", func() {
	load := core.Load{Credit: 0, ReceivedAt: start}
	// Guards against an entry that never gets new credit: without credit it
	// sends nothing, and without sending it receives no report.
	It("is 1 before the first report and once a report without credit is old", func() {
		Expect(picker.Credit(start, &core.Candidate{})).To(Equal(1))
		Expect(picker.Credit(start, &core.Candidate{Load: load})).To(BeZero())
		Expect(picker.Credit(start.Add(2*time.Second), &core.Candidate{Load: load})).To(Equal(1))
	})
	It("stays 0 longer for a draining agent", func() {
		load.Draining, load.Credit = true, 5
		Expect(picker.Credit(start.Add(2*time.Second), &core.Candidate{Load: load})).To(BeZero())
		Expect(picker.Credit(start.Add(11*time.Second), &core.Candidate{Load: load})).To(Equal(1))
	})
})

var _ = Describe("TwoChoices", func() {
	// Guards against a small increase in the load of the own zone that moves a
	// large share of the requests to another zone.
	It("spills over to other zones gradually", func() {
		p := &picker.TwoChoices{Zone: "a", IntN: intN()}
		last := 0.0
		for load := range 120 {
			cs := []core.Candidate{
				{Zone: "a", Limit: 100, Load: core.Load{Inflight: load, Credit: 9, ReceivedAt: start}},
				{Zone: "b", Limit: 100, Load: core.Load{Inflight: load / 2, Credit: 9, ReceivedAt: start}},
			}
			spilled := 0
			for range 4000 {
				spilled += p.Pick(start, cs)
			}
			share := float64(spilled) / 4000
			Expect(share-last).To(BeNumerically("~", 0, 0.08), "load %d", load)
			last = share
		}
		Expect(last).To(BeNumerically(">", 0.5))
	})
	It("prefers the candidate with the cached prefix unless its load is high", func() {
		p := &picker.TwoChoices{IntN: intN()}
		cs := make([]core.Candidate, 8)
		for i := range cs {
			cs[i] = core.Candidate{Limit: 10, Load: core.Load{Credit: 9, ReceivedAt: start}}
		}
		cs[3].Affinity = 1
		for range 50 {
			Expect(p.Pick(start, cs)).To(Equal(3))
		}
		cs[3].Load.Inflight = 9
		for range 50 {
			Expect(p.Pick(start, cs)).NotTo(Equal(3))
		}
	})
})

var _ = Describe("PrefixIndex", func() {
	ev := func(seq, prefix uint64, evicted bool) core.CacheEvent {
		return core.CacheEvent{Sequence: seq, PrefixHash: prefix, Evicted: evicted}
	}
	It("counts cached prefixes up to the first missing one", func() {
		p := &picker.PrefixIndex{}
		p.Apply("e", []core.CacheEvent{ev(1, 10, false), ev(2, 11, false), ev(3, 13, false)})
		Expect(p.Affinity("e", []uint64{10, 11, 12, 13})).To(Equal(0.5))
		Expect(p.Affinity("other", []uint64{10})).To(BeZero())
		p.Apply("e", []core.CacheEvent{ev(4, 11, true), ev(2, 11, false)})
		Expect(p.Affinity("e", []uint64{10, 11, 12, 13})).To(Equal(0.25))
	})
	// Guards against affinity for prefixes whose eviction event was lost.
	It("drops an engine's entries after a gap in the sequence numbers", func() {
		p := &picker.PrefixIndex{}
		p.Apply("e", []core.CacheEvent{ev(1, 10, false)})
		p.Apply("f", []core.CacheEvent{ev(1, 10, false)})
		p.Apply("e", []core.CacheEvent{ev(3, 11, false)})
		Expect(p.Affinity("e", []uint64{10})).To(BeZero())
		Expect(p.Affinity("e", []uint64{11})).To(Equal(1.0))
		Expect(p.Affinity("f", []uint64{10})).To(Equal(1.0))
		Expect(p.LastSequence("e")).To(Equal(uint64(3)))
	})
	It("limits the number of prefixes over all engines", func() {
		p := &picker.PrefixIndex{MaxPrefixes: 3}
		for i := range uint64(10) {
			p.Apply("e", []core.CacheEvent{ev(i+1, i, false)})
			p.Apply("f", []core.CacheEvent{ev(i+1, i, false)})
		}
		totalAffinity := 0.0
		for i := range uint64(10) {
			totalAffinity += p.Affinity("e", []uint64{i}) + p.Affinity("f", []uint64{i})
		}
		Expect(totalAffinity).To(Equal(3.0))
		p.Drop("e")
		Expect(p.Affinity("e", []uint64{9})).To(BeZero())
	})
})
