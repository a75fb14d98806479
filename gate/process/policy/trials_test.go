package policy

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against trials that are kept after their part has been cleared, as long as any
// crash is known.
func TestTrialsOfClearedParts(t *testing.T) {
	g := NewWithT(t)
	var c Containment
	now := time.Now()
	c.Observe(Crash{ID: 1, Upstream: 1, Parts: []uint64{1}, At: now})
	for i := range uint64(200) {
		part := 10 + i
		now = now.Add(time.Second)
		// So many outages show that upstreams crash for other reasons too, so that a part is
		// contained after its second crash.
		c.Observe(Crash{ID: part, Upstream: part, Parts: []uint64{part}, At: now})
		c.Observe(Crash{ID: 1000 + part, Upstream: 1000 + part, Parts: []uint64{part}, At: now})
		g.Expect(c.Check(now, Request{Parts: []uint64{part}}, Position{Gates: 1}).Contained).To(BeTrue())
		c.Success(now.Add(time.Millisecond), part)
		c.Crashes(now)
	}
	g.Expect(len(c.trials)).To(BeNumerically("<=", 2))
}

// Guards against an announcement to all gates for each response to a part that a past
// crash has cleared.
func TestSuccessOfClearedPart(t *testing.T) {
	g := NewWithT(t)
	var c Containment
	now := time.Now()
	c.Observe(Crash{ID: 1, Upstream: 1, Parts: []uint64{1, 2}, At: now})
	g.Expect(c.Success(now.Add(time.Second), 1)).To(BeTrue())
	g.Expect(c.Success(now.Add(2*time.Second), 1)).To(BeFalse())
}
