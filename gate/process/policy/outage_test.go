package policy_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/gate/process/policy"
)

// Guards against failed calls that are taken for an outage in which entries lapse, and
// against an outage that is not.
func TestStoreOutage(t *testing.T) {
	const heartbeat = 1200 * ms
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }

	t.Run("a watch is cut off", func(t *testing.T) {
		g := NewWithT(t)
		o := policy.StoreOutage{Heartbeat: heartbeat}
		o.Success(at(0))
		o.Failure(at(0)) // a watch that began at 0 and was cut off at 1.5 s
		g.Expect(o.LapseTime(at(1500 * ms))).To(BeZero())
		o.Success(at(1650 * ms))
		g.Expect(o.LapseTime(at(1700 * ms))).To(BeZero())
	})
	t.Run("calls fail now and then", func(t *testing.T) {
		g := NewWithT(t)
		o := policy.StoreOutage{Heartbeat: heartbeat}
		for i := range 200 {
			now := at(time.Duration(i) * 300 * ms)
			if i%3 == 0 {
				o.Success(now)
			} else {
				o.Failure(now)
			}
			g.Expect(o.LapseTime(now)).To(BeZero())
		}
	})
	t.Run("the first call after a pause fails", func(t *testing.T) {
		g := NewWithT(t)
		o := policy.StoreOutage{Heartbeat: heartbeat}
		o.Success(at(0))
		o.Failure(at(time.Minute))
		g.Expect(o.LapseTime(at(time.Minute + 100*ms))).To(BeZero())
	})
	t.Run("the gate makes no more calls after a failed one", func(t *testing.T) {
		g := NewWithT(t)
		o := policy.StoreOutage{Heartbeat: heartbeat}
		o.Success(at(0))
		o.Failure(at(time.Second))
		o.Stop(at(1100 * ms))
		g.Expect(o.LapseTime(at(time.Minute))).To(BeZero())
	})
	t.Run("an outage that a peer has seen", func(t *testing.T) {
		g := NewWithT(t)
		o := policy.StoreOutage{Heartbeat: heartbeat}
		o.Learn(at(0), 2*time.Second)
		g.Expect(o.LapseTime(at(500 * ms))).To(Equal(1500 * ms))
		o.Learn(at(500*ms), 0)
		g.Expect(o.LapseTime(at(2 * time.Second))).To(BeZero())
	})
	t.Run("an outage", func(t *testing.T) {
		g := NewWithT(t)
		o := policy.StoreOutage{Heartbeat: heartbeat}
		o.Success(at(0))
		for i := range 10 {
			o.Failure(at(time.Duration(i) * 300 * ms))
		}
		g.Expect(o.LapseTime(at(2400*ms))).To(BeNumerically(">=", 2*time.Second), "while the store is away")
		o.Success(at(3 * time.Second))
		g.Expect(o.LapseTime(at(3100*ms))).To(BeNumerically(">=", 2*time.Second), "entries are back within about two seconds")
		o.Failure(at(4 * time.Second))
		o.Success(at(4100 * ms))
		g.Expect(o.LapseTime(at(6 * time.Second))).To(BeZero())
	})
}
