package policy_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/bench/policy"
)

// Guards against figures that cannot be reproduced, and against a picker that
// falls behind the baselines. The comparison with least-loaded uses a lag at
// which herding shows.
func TestOursBeatsTheBaselines(t *testing.T) {
	g := NewWithT(t)
	for _, s := range []policy.Scenario{{Seed: 7, Load: 0.85, Length: time.Minute}, {Seed: 7, Load: 0.85, Lag: 2 * time.Second, Length: time.Minute}} {
		by := map[string]policy.Result{}
		for _, p := range policy.Pickers {
			by[p.Name] = s.Run(p)
			g.Expect(by[p.Name].Requests).To(BeNumerically(">", 4000))
		}
		g.Expect(s.Run(policy.Pickers[0])).To(Equal(by["ours"]))
		for _, name := range []string{"round-robin", "random"} {
			g.Expect(by["ours"].P99).To(BeNumerically("<", by[name].P99/2), name)
		}
		if s.Lag > 0 {
			g.Expect(by["ours"].P99).To(BeNumerically("<", by["least-loaded"].P99))
		}
	}
}

// Guards against agents that hold more than their limit in the model with
// credit, which would make its figures meaningless.
func TestCreditKeepsTheLimit(t *testing.T) {
	g := NewWithT(t)
	for _, p := range policy.Pickers {
		r := policy.Scenario{Seed: 3, Load: 0.95, Credit: true, Length: time.Minute}.Run(p)
		g.Expect(r.Peak).To(BeNumerically("<=", 1), p.Name)
		g.Expect(r.PeakSlow).To(BeNumerically("<=", 1), p.Name)
	}
}

func TestTurnsSpreadEvenly(t *testing.T) {
	g := NewWithT(t)
	s := policy.MeasureSpread(12, 60, true)
	g.Expect(s.Least).To(BeNumerically(">", 0.7))
	g.Expect(s.Most).To(BeNumerically("<", 1.4))
}
