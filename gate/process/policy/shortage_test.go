package policy_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/gate/process/policy"
)

// caller is a caller with one try after a refusal.
type caller struct{ arrival, back time.Duration }

// playOutage plays a service that is away for the given time while a caller arrives
// every 20 ms, has 8 s and waits up to 1.5 s for a slot. It returns how many callers
// are served, how many come back in vain, and the mean time that a caller who was
// served after a refusal waited beyond the return of the service.
func playOutage(away time.Duration) (served, again int, delay time.Duration) {
	const wait, deadline = 1500 * ms, 8 * time.Second
	var s policy.Shortage
	start := time.Now()
	var returning []caller
	var late time.Duration
	lateCount := 0
	for at := time.Duration(0); at < away+deadline; at += 10 * ms {
		if at%(20*ms) == 0 {
			switch arrival := at - wait; {
			case arrival >= 0 && at < away:
				after := s.Refuse(start.Add(at), wait, deadline-wait)
				returning = append(returning, caller{arrival: arrival, back: at + after})
			case arrival >= 0:
				served++
			}
		}
		kept := returning[:0]
		for _, c := range returning {
			switch {
			case at < c.back:
				kept = append(kept, c)
			case at < away && c.back+wait > away:
				kept = append(kept, c)
			case at < away:
				again++
			default:
				served++
				late += max(0, c.back-away)
				lateCount++
			}
		}
		returning = kept
	}
	return served, again, late / time.Duration(max(1, lateCount))
}

// TestRetryAfterFollowsShortage plays outages of several lengths. It guards against
// callers who are sent back into a long outage at once and lose their only other try,
// and against callers who are kept away for seconds after a short one.
func TestRetryAfterFollowsShortage(t *testing.T) {
	g := NewWithT(t)
	_, again, delay := playOutage(1700 * ms)
	g.Expect(again).To(BeZero())
	// The first callers are refused after 1.5 s. A third of the time left, which is
	// the best fixed time in long outages, would bring them back 2 s too late.
	g.Expect(delay).To(BeNumerically("<", 1500*ms+6500*ms/3-1700*ms))
	for _, away := range []time.Duration{4 * time.Second, 6 * time.Second} {
		_, again, _ = playOutage(away)
		arrived := int(away / (20 * ms))
		// With a fixed time of 0.6 s, a caller has 3.6 s after its arrival; with a
		// third of the time left, 5.2 s.
		lost := int((away - 3600*ms) / (20 * ms))
		g.Expect(again).To(BeNumerically("<", max(1, lost)), "of %d callers in an outage of %s", arrived, away)
	}
}

// TestRetryAfterBounds guards against times that callers ignore, against callers who
// come back together, and against an overload that counts as one with the last.
func TestRetryAfterBounds(t *testing.T) {
	g := NewWithT(t)
	var s policy.Shortage
	now := time.Now()
	seen := map[time.Duration]bool{}
	for i := range 100 {
		after := s.Refuse(now.Add(time.Duration(i)*100*ms), 0, 6*time.Second)
		g.Expect(after).To(BeNumerically("<=", 2*time.Second))
		seen[after] = true
	}
	g.Expect(len(seen)).To(BeNumerically(">", 10))
	g.Expect(s.Refuse(now.Add(time.Minute), 0, 6*time.Second)).To(BeNumerically("<", 800*ms), "a new shortage")
	g.Expect(s.Refuse(now.Add(time.Minute), 0, -time.Second)).To(BeZero())
}
