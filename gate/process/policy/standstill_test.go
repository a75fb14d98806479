package policy_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/gate/process/policy"
)

const ms = time.Millisecond

// TestStandstill plays a group that gives events every 45 ms, stands from 1 s to
// 5 s because one of its ranks is frozen, and goes on in the same epoch. Three gates
// have streams at it. It guards against a standstill that is found late, and against
// a group that is opened again and again because a rank that is well answers.
func TestStandstill(t *testing.T) {
	g := NewWithT(t)
	start := time.Now()
	var gates [3]policy.Standstill
	var last [3]time.Time
	downs, opens := 0, 0
	foundAt, openAt := time.Duration(0), time.Duration(0)
	for at := time.Duration(0); at < 6*time.Second; at += 5 * ms {
		now := start.Add(at)
		frozen := at >= time.Second && at < 5*time.Second
		if at%(45*ms) == 0 && !frozen {
			for i := range last {
				last[i] = now
			}
		}
		// The streams are lost 1.5 s after the standstill has begun. New ones need a
		// trial.
		waiting := 2
		if at > 2500*ms && at < 5*time.Second {
			waiting = 0
		}
		for i := range gates {
			if gates[i].ObserveEvent(last[i]) {
				opens++
				openAt = at
			}
			if at%(50*ms) == 0 && gates[i].Check(now, 1, 3*waiting, 45*ms) {
				downs++
				foundAt = max(foundAt, at)
			}
			// A rank that is well says that the group is open. Only the one that is
			// frozen counts, and it does not answer.
			if !frozen && at >= 5*time.Second {
				gates[i].BeginTrial(now, 1)
			}
		}
	}
	g.Expect(downs).To(Equal(3), "each gate finds the standstill once")
	g.Expect(opens).To(Equal(3), "each gate opens the group once")
	g.Expect(foundAt).To(BeNumerically("<=", 1400*ms))
	g.Expect(openAt).To(BeNumerically("~", 5*time.Second, 100*ms))
}

// TestStandstillNeedsEvidence guards against a group that is taken to stand because
// it is idle, because one stream waits alone, or because passes are long.
func TestStandstillNeedsEvidence(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	var s policy.Standstill
	s.ObserveEvent(now)
	g.Expect(s.Check(now.Add(time.Hour), 1, 0, 45*ms)).To(BeFalse(), "idle")
	g.Expect(s.Check(now.Add(time.Second), 1, 1, 45*ms)).To(BeFalse(), "one stream")
	g.Expect(s.Check(now.Add(900*ms), 1, 9, 250*ms)).To(BeFalse(), "long passes")
	g.Expect(s.Check(now.Add(1100*ms), 1, 9, 250*ms)).To(BeTrue())
}

// TestTrial guards against a group that gets all waiting requests before one of them
// had an event, and against trials that follow each other without pause.
func TestTrial(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	var s policy.Standstill
	g.Expect(s.Refuse(now, 3)).To(BeTrue())
	g.Expect(s.Refuse(now, 3)).To(BeFalse(), "known already")
	g.Expect(s.BeginTrial(now, 2)).To(BeFalse(), "an older epoch")
	trials := 0
	for end := now.Add(20 * time.Second); now.Before(end); now = now.Add(50 * ms) {
		if s.BeginTrial(now, 3) {
			trials++
			s.RecordTrial(now)
		}
		s.Check(now, 3, 0, 0)
	}
	// Each trial takes 1 s, and the pauses are 0.5, 1, 2, 4, 4 s.
	g.Expect(trials).To(BeNumerically("<=", 6))
	g.Expect(s.BeginTrial(now, 4)).To(BeTrue(), "a group that has formed anew needs no pause")
	g.Expect(s.State()).To(Equal(policy.GroupOnTrial))
	s.ObserveEvent(now.Add(-time.Hour))
	g.Expect(s.State()).To(Equal(policy.GroupOnTrial), "an event from before the standstill")
	g.Expect(s.ObserveEvent(now.Add(ms))).To(BeTrue())
	g.Expect(s.State()).To(Equal(policy.GroupRuns))
}

// TestSilence guards against sound streams that are sent again because all first
// events are late after an outage, and against streams that wait for a connection
// that has gone silent.
func TestSilence(t *testing.T) {
	g := NewWithT(t)
	start := time.Now()
	var s policy.Silence
	for i := range 50 {
		s.ObserveEvent(start.Add(time.Duration(i)*20*ms), 150*ms, true)
	}
	now := start.Add(time.Second)
	g.Expect(s.Silent(now, 950*ms, false)).To(BeTrue(), "others had first events after 150 ms")
	g.Expect(s.UpstreamSilent(500 * ms)).To(BeTrue())
	g.Expect(s.Silent(now, 950*ms, true)).To(BeTrue())
	for i := range 20 {
		s.ObserveEvent(now.Add(time.Duration(i)*10*ms), 700*ms, true)
	}
	now = now.Add(200 * ms)
	g.Expect(s.Silent(now, 1200*ms, false)).To(BeFalse(), "the first events of others are late too")
	g.Expect(s.Silent(now, 950*ms, true)).To(BeTrue())
	g.Expect(s.Silent(now.Add(time.Second), 1900*ms, true)).To(BeFalse(), "nobody has events")
}
