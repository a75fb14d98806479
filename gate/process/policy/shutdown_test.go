package policy_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"parsleyroute.example/gate/process/policy"
)

// Guards against a request that is received late in a shutdown and cut off because its
// response takes longer than any before, and against refusals of those that end in time.
func TestShutdownSends(t *testing.T) {
	g := NewWithT(t)
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	s := policy.Shutdown{EstimateUntil: at(2700 * ms), End: at(7250 * ms)}
	var d policy.Durations
	for range 30 {
		d.Observe(start, 2400*ms, true)
	}
	for _, c := range []struct {
		name                    string
		now, received, deadline time.Duration
		repeatable, sends       bool
	}{
		{"early, by the durations", 1000 * ms, 1000 * ms, 9000 * ms, true, true},
		{"early, ends in time for certain", 2600 * ms, 2600 * ms, 7250 * ms, true, true},
		{"late, by the durations", 3050 * ms, 3050 * ms, 11050 * ms, true, false},
		{"late, ends in time for certain", 3050 * ms, 3050 * ms, 7000 * ms, true, true},
		{"late, once only, ends in time for certain", 3050 * ms, 3050 * ms, 6050 * ms, false, true},
		{"early, once only", 100 * ms, 100 * ms, 8000 * ms, false, false},
		{"early, sent again late", 3500 * ms, 1000 * ms, 9000 * ms, true, true},
		{"early, sent again too late", 4500 * ms, 1000 * ms, 9000 * ms, true, false},
	} {
		g.Expect(s.Sends(at(c.now), at(c.received), at(c.deadline), c.repeatable, &d)).To(Equal(c.sends), c.name)
	}
}

// Guards against a request that is received after the time for estimates and may outlive the
// shutdown, whatever is known of the durations.
func TestShutdownKeepsLateRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Now()
		span := func(name string, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, name))
		}
		s := policy.Shutdown{EstimateUntil: start.Add(span("estimate", 5*time.Second)), End: start.Add(span("end", 10*time.Second))}
		received := s.EstimateUntil.Add(span("received", 3*time.Second))
		deadline := received.Add(span("left", 10*time.Second))
		var d policy.Durations
		for range rapid.IntRange(0, 40).Draw(t, "known") {
			d.Observe(start, span("took", 2*time.Second), rapid.Bool().Draw(t, "complete"))
		}
		if s.Sends(received.Add(span("wait", time.Second)), received, deadline, rapid.Bool().Draw(t, "repeatable"), &d) && deadline.After(s.End) {
			t.Fatalf("the request may outlive the end")
		}
	})
}
