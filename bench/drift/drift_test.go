package drift_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/bench/drift"
	"parsleyroute.example/core/version/expert"
)

// Guards against a change of the incremental placer that worsens the balance or
// moves about as many replicas as a full repack. It is a short run of the first
// shape of the table.
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
	g.Expect(ours.MedianSkew).To(BeNumerically("<", static.MedianSkew))
	g.Expect(ours.MedianSkew).To(BeNumerically("<=", 1.05))
	g.Expect(ours.MedianSkew).To(BeNumerically("<=", 1.02*repack.MedianSkew))
	g.Expect(ours.SkewAfterShift).To(BeNumerically("<=", 1.10))
	g.Expect(4 * ours.Moves).To(BeNumerically("<=", repack.Moves))
}
