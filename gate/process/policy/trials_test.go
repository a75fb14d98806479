package policy

import (
	"slices"
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

// Guards against the trial of a healthy part by a request that also has the part that
// crashes upstreams. The crash was counted against the healthy part, and all requests with
// it were refused for twice as long.
func TestTrialWithoutOtherSuspect(t *testing.T) {
	const a, b, crashing, novel = 1, 2, 3, 4
	for _, tc := range []struct {
		name    string
		crashes [][]uint64
		other   uint64
	}{
		{"a part of another crash", [][]uint64{{a, crashing}, {b}}, crashing},
		{"a part of the same crash", [][]uint64{{b, crashing}, {b}}, crashing},
		{"a part of several causes", [][]uint64{{b, crashing}, {a, crashing}, {b}}, crashing},
		{"a new part", [][]uint64{{b}}, novel},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			var c Containment
			now := time.Now()
			for i, parts := range tc.crashes {
				now = now.Add(15 * time.Millisecond)
				c.Observe(Crash{ID: uint64(i + 1), Upstream: uint64(i + 1), Parts: parts, At: now})
			}
			start := now
			for n := 0; ; n++ {
				now = now.Add(15 * time.Millisecond)
				c.Success(now, a)
				parts := []uint64{b, tc.other}
				if n%4 == 3 {
					parts = []uint64{b}
				}
				v := c.Check(now, Request{Parts: parts}, Position{Gates: 1})
				if !v.Contained && slices.Contains(parts, b) {
					g.Expect(v.Trial).To(BeTrue())
					g.Expect(parts).To(Equal([]uint64{b}))
					return
				}
				g.Expect(now.Sub(start)).To(BeNumerically("<", 2*outageTime))
			}
		})
	}
}

// Guards against a part that is never tried since all requests with it have another suspect
// part.
func TestTrialWithOtherSuspect(t *testing.T) {
	g := NewWithT(t)
	var c Containment
	now := time.Now()
	c.Observe(Crash{ID: 1, Upstream: 1, Parts: []uint64{1, 3}, At: now})
	c.Observe(Crash{ID: 2, Upstream: 2, Parts: []uint64{2}, At: now.Add(time.Second)})
	refused := 0
	for c.Check(now, Request{Parts: []uint64{2, 3}}, Position{Gates: 1}).Contained {
		refused++
		now = now.Add(15 * time.Millisecond)
	}
	g.Expect(refused).To(BeNumerically("<=", 2*250), "a crash of 4 s costs 240 requests at 60 a second")
}
