package policy_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/bench/policy"
)

// Guards against results that cannot be reproduced, and against a picker that is
// worse than the baselines. The comparison with least-loaded uses a lag that is
// long enough to cause herding.
func TestTwoChoicesAgainstBaselines(t *testing.T) {
	g := NewWithT(t)
	for _, s := range []policy.Scenario{{Seed: 7, Load: 0.85, Duration: time.Minute}, {Seed: 7, Load: 0.85, ReportLag: 2 * time.Second, Duration: time.Minute}} {
		results := map[string]policy.Result{}
		for _, p := range policy.Pickers {
			results[p.Name] = s.Run(p)
			g.Expect(results[p.Name].Requests).To(BeNumerically(">", 4000))
		}
		g.Expect(s.Run(policy.Pickers[0])).To(Equal(results["ours"]))
		for _, name := range []string{"round-robin", "random"} {
			g.Expect(results["ours"].P99).To(BeNumerically("<", results[name].P99/2), name)
		}
		if s.ReportLag > 0 {
			g.Expect(results["ours"].P99).To(BeNumerically("<", results["least-loaded"].P99))
		}
	}
}

// Guards against simulated agents that accept more requests than their limit in
// scenarios with credit, which would make the results meaningless.
func TestCreditLimitsInflight(t *testing.T) {
	g := NewWithT(t)
	for _, p := range policy.Pickers {
		r := policy.Scenario{Seed: 3, Load: 0.95, Credit: true, Duration: time.Minute}.Run(p)
		g.Expect(r.PeakLoad).To(BeNumerically("<=", 1), p.Name)
		g.Expect(r.PeakLoadSlow).To(BeNumerically("<=", 1), p.Name)
	}
}

func TestSubsetSpreadWithPeers(t *testing.T) {
	g := NewWithT(t)
	s := policy.MeasureSpread(12, 60, true)
	g.Expect(s.MinShare).To(BeNumerically(">", 0.7))
	g.Expect(s.MaxShare).To(BeNumerically("<", 1.4))
}
