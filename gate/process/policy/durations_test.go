package policy_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/gate/process/policy"
)

// Guards against a response that is expected to be short because few, or none of late, are
// known, and against one long response that counts for ever.
func TestDurations(t *testing.T) {
	g := NewWithT(t)
	var d policy.Durations
	now := time.Now()
	g.Expect(d.EndsInTime(now, now.Add(time.Hour))).To(BeFalse(), "nothing is known")
	for range 30 {
		d.Observe(now, 500*ms, true)
	}
	g.Expect(d.EndsInTime(now, now.Add(2*time.Second))).To(BeTrue())
	g.Expect(d.EndsInTime(now, now.Add(600*ms))).To(BeFalse())
	d.Observe(now, 3*time.Second, false)
	g.Expect(d.EndsInTime(now, now.Add(3500*ms))).To(BeFalse(), "a response that was cut off took longer")
	g.Expect(d.EndsInTime(now, now.Add(5*time.Second))).To(BeTrue())
	now = now.Add(130 * time.Second)
	g.Expect(d.EndsInTime(now, now.Add(time.Hour))).To(BeFalse(), "nothing is known of late")
	for range 30 {
		d.Observe(now, 500*ms, true)
	}
	g.Expect(d.EndsInTime(now, now.Add(2*time.Second))).To(BeTrue())
}
