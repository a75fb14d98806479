package serve

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against responses that are cut off before the last sixth of a short grace, and
// against a gate that has no time left to exit.
func TestDrainTimes(t *testing.T) {
	g := NewWithT(t)
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 30 * time.Second} {
		wait, answer := drainTimes(grace)
		g.Expect(answer).To(BeNumerically(">=", grace*5/6), "grace %s", grace)
		g.Expect(wait).To(BeNumerically(">", answer))
		g.Expect(grace - wait).To(BeNumerically(">=", min(maxGraceMargin, grace/20)))
	}
}
