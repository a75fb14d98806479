package outage_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/bench/outage"
)

// TestEveryRequestEndsOnce guards against callers that the simulation loses or counts
// twice, and against results that differ between runs with the same seed.
func TestEveryRequestEndsOnce(t *testing.T) {
	g := NewWithT(t)
	s := outage.Base
	s.Outage = 3 * time.Second
	total := func(r outage.Result) int { return r.InTime + r.Late + r.Refused }
	none := s.Run(outage.FixedRule(0))
	s.Outage = 0
	calm := s.Run(outage.FixedRule(0))
	g.Expect(total(none)).To(Equal(total(calm)))
	g.Expect(calm.Refused).To(BeZero())
	s.Outage = 3 * time.Second
	g.Expect(s.Run(outage.FixedRule(0))).To(Equal(none))
}

// TestShortageServesCallers plays outages from 0.5 s to 8 s. It guards against a
// Retry-After that serves fewer callers than the better one of two fixed times, by
// more than one in a hundred.
func TestShortageServesCallers(t *testing.T) {
	g := NewWithT(t)
	for _, length := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 5 * time.Second, 8 * time.Second} {
		served := func(rule func() outage.Rule) int {
			n := 0
			for seed := range uint64(5) {
				s := outage.Base
				s.Outage, s.Seed = length, seed+1
				r := s.Run(rule())
				n += r.InTime + r.Late
			}
			return n
		}
		short := served(func() outage.Rule { return outage.FixedRule(600 * time.Millisecond) })
		long := served(func() outage.Rule { return outage.FixedRule(2500 * time.Millisecond) })
		g.Expect(served(outage.ShortageRule)).To(BeNumerically(">=", 0.99*float64(max(short, long))), "outage of %s", length)
	}
}

// TestInTimeFirst plays an outage of 5 s. It guards against a backlog that makes all
// later requests late, long after the service is back.
func TestInTimeFirst(t *testing.T) {
	g := NewWithT(t)
	s := outage.Base
	s.Outage = 5 * time.Second
	first := s.Run(outage.ShortageRule())
	s.Arrival = true
	arrival := s.Run(outage.ShortageRule())
	// The backlog of 5 s takes some 25 s to drain; in that time 1,500 requests arrive.
	g.Expect(first.InTime).To(BeNumerically(">", arrival.InTime+200))
	value := func(r outage.Result) float64 { return float64(r.InTime) + float64(r.Late)/2 }
	g.Expect(value(first)).To(BeNumerically(">", value(arrival)))
}

// TestTableAndPlot guards against a table or a plot without its rows.
func TestTableAndPlot(t *testing.T) {
	g := NewWithT(t)
	var b bytes.Buffer
	g.Expect(outage.Table(&b, outage.Base, 1)).To(Succeed())
	g.Expect(strings.Count(b.String(), "\n")).To(Equal(2 + 5*5))
	b.Reset()
	g.Expect(outage.Plot(&b, outage.Base)).To(Succeed())
	g.Expect(b.String()).To(ContainSubstring(" 10 s #"))
}
