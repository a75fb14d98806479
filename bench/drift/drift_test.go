package drift_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/bench/drift"
	"parsleyroute.example/core/version/expert"
)

// Guards against a change of the placer that loses balance or moves as much as
// a re-pack: a short run of the table's first row.
func TestIncrementalAgainstBaselines(t *testing.T) {
	g := NewWithT(t)
	cfg := drift.Config{Shape: drift.Shapes[0], Seed: 1, ShiftAt: time.Minute}
	cfg.Placer = expert.Static{}
	static := drift.Run(cfg)
	cfg.Placer = expert.Repack{}
	repack := drift.Run(cfg)
	cfg.Placer = expert.Incremental{}
	ours := drift.Run(cfg)
	g.Expect(drift.Run(cfg)).To(Equal(ours), "runs with one seed must be equal")
	g.Expect(static.Moves).To(BeZero())
	g.Expect(ours.Median).To(BeNumerically("<", static.Median))
	g.Expect(ours.Median).To(BeNumerically("<=", 1.05))
	g.Expect(ours.Median).To(BeNumerically("<=", 1.02*repack.Median))
	g.Expect(ours.Shift).To(BeNumerically("<=", 1.10))
	g.Expect(4 * ours.Moves).To(BeNumerically("<=", repack.Moves))
}
