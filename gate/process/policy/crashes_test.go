package policy_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"parsleyroute.example/gate/process/policy"
)

// Guards against one crash that counts as several because gates and requests notice it at
// different times, so that a popular part of sound prompts is refused.
func TestCrashNoticedLate(t *testing.T) {
	g := NewWithT(t)
	var c policy.Containment
	now := time.Now()
	c.Success(now, popular)
	now = now.Add(time.Second)
	for i := range uint64(6) {
		c.Observe(policy.Crash{ID: i + 1, Upstream: 1, Parts: []uint64{popular}, At: now.Add(time.Duration(i) * 700 * ms)})
	}
	g.Expect(c.Check(now.Add(5*time.Second), policy.Request{Parts: []uint64{popular}}, alone).Contained).To(BeFalse())
}

// Guards against a request that is suspect of a crash before which it was not sent.
func TestRequestSentAfterCrash(t *testing.T) {
	g := NewWithT(t)
	var c policy.Containment
	now := time.Now()
	c.Observe(policy.Crash{ID: 1, Upstream: 1, Parts: []uint64{crashing}, Sent: now.Add(-100 * ms), At: now})
	g.Expect(c.Observe(policy.Crash{ID: 2, Upstream: 1, Parts: []uint64{rare}, Sent: now.Add(200 * ms), At: now.Add(time.Second)})).To(BeFalse())
	g.Expect(c.Check(now.Add(time.Second), policy.Request{Parts: []uint64{rare}}, alone).Contained).To(BeFalse())
}

// Guards against a part that goes on crashing upstreams because each of them starts again
// at once and accepts connections, and against losses at upstreams that have not crashed.
func TestCrashesConfirmedByRestarts(t *testing.T) {
	g := NewWithT(t)
	var c policy.Containment
	now := time.Now()
	c.Success(now, popular)
	now = now.Add(time.Second)
	c.ObserveLoss(crashed(now, 1, popular, crashing))
	c.ObserveLoss(crashed(now, 2, popular, other))
	request := policy.Request{Parts: []uint64{popular, crashing}}
	g.Expect(c.Check(now, request, alone).Contained).To(BeFalse(), "a lost response may have another cause")
	g.Expect(c.ConfirmCrash(now.Add(300*ms), 1)).To(HaveLen(1))
	g.Expect(c.Check(now.Add(300*ms), request, alone).Contained).To(BeTrue())
	g.Expect(c.Check(now.Add(300*ms), policy.Request{Parts: []uint64{popular, other}}, alone).Contained).To(BeFalse())
	g.Expect(c.ConfirmCrash(now.Add(time.Minute), 2)).To(BeEmpty(), "a restart long after the loss")
}

// Guards against the crashes of an outage that displace those which contain a part.
func TestContainmentAfterManyCrashes(t *testing.T) {
	g := NewWithT(t)
	var c policy.Containment
	now := time.Now()
	c.Success(now, popular)
	now = now.Add(time.Second)
	c.Observe(crashed(now, 1, popular, crashing))
	c.Success(now.Add(5*time.Second), popular)
	for i := range uint64(200) {
		c.Observe(policy.Crash{ID: 1000 + i, Upstream: 10 + i, Parts: []uint64{popular}, At: now.Add(10*time.Second + time.Duration(i)*ms)})
	}
	g.Expect(c.Check(now.Add(12*time.Second), policy.Request{Parts: []uint64{popular, crashing}}, alone).Contained).To(BeTrue())
}

// crashTraffic is sound traffic at a group of ranks of which some crash for reasons that do
// not depend on requests. A crash ends the group for some seconds.
type crashTraffic struct {
	rng         *rand.Rand
	containment policy.Containment
	now         time.Time
	ranks       int
	// inFlight holds the requests that have not been responded to, by rank.
	inFlight [][]trafficRequest
	session  uint64
	crashes  uint64
	// popularSent and popularRefused count the requests with the popular part.
	popularSent, popularRefused int
	// asked and refused count the requests of each session.
	asked, refused map[uint64]int
}

type trafficRequest struct {
	parts []uint64
	sent  time.Time
	ends  time.Time
}

const (
	// The parts of a session's prompts are the popular one, for half of the requests, and
	// the session's own.
	firstSession = 1000
	sessionSize  = 8
	// minAsked is the number of requests from which the users' rules count a session.
	minAsked = 4
	// trafficInterval is the time between two requests, beginTime the time until an
	// upstream has responded beyond the beginning, and outage what a crash costs.
	trafficInterval = 16 * ms
	beginTime       = 300 * ms
	outage          = 4 * time.Second
)

// crash ends one rank, and with it the requests to which it has not responded.
func (s *crashTraffic) crash() {
	rank := s.rng.IntN(s.ranks)
	s.crashes++
	for i, r := range s.inFlight[rank] {
		s.containment.Observe(policy.Crash{ID: s.crashes<<16 | uint64(i), Upstream: s.crashes, Parts: r.parts, Sent: r.sent, At: s.now})
	}
	for i := range s.inFlight {
		s.inFlight[i] = nil
	}
	s.now = s.now.Add(outage)
}

func (s *crashTraffic) step() {
	s.now = s.now.Add(trafficInterval)
	for rank, list := range s.inFlight {
		kept := list[:0]
		for _, r := range list {
			if s.now.Before(r.ends) {
				kept = append(kept, r)
			} else {
				s.containment.Success(s.now, r.parts...)
			}
		}
		s.inFlight[rank] = kept
	}
	// About 30 sessions are active at any time.
	if s.rng.IntN(sessionSize) == 0 {
		s.session++
	}
	session := s.session - uint64(min(s.rng.IntN(30), int(s.session)))
	s.asked[session]++
	parts := []uint64{firstSession + session}
	isPopular := s.rng.IntN(2) == 0
	if isPopular {
		parts = append(parts, popular)
		s.popularSent++
	}
	if s.containment.Check(s.now, policy.Request{Parts: parts}, alone).Contained {
		if isPopular && s.containment.Check(s.now, policy.Request{Parts: []uint64{popular}}, alone).Contained {
			s.popularRefused++
		}
		s.refused[session]++
		return
	}
	rank := s.rng.IntN(s.ranks)
	s.inFlight[rank] = append(s.inFlight[rank], trafficRequest{parts: parts, sent: s.now, ends: s.now.Add(time.Duration(float64(beginTime) * (0.5 + s.rng.Float64())))})
}

// Guards against sound parts that are refused because upstreams crash for other reasons.
// The users' rules let half of the requests with a common part be refused, and 2 of 100
// sessions go unserved; the limits are a fifth of the former and the latter.
func TestContainmentOfSoundParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &crashTraffic{
			rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3)), now: time.Now(), ranks: rapid.IntRange(2, 32).Draw(t, "ranks"),
			asked: map[uint64]int{}, refused: map[uint64]int{},
		}
		s.inFlight = make([][]trafficRequest, s.ranks)
		between := rapid.IntRange(5, 30).Draw(t, "seconds between crashes")
		for range 60 * 60 * 2 {
			s.step()
			if s.rng.IntN(60*between) == 0 {
				s.crash()
			}
		}
		if 10*s.popularRefused > s.popularSent {
			t.Fatalf("%d of %d requests with a popular part were refused", s.popularRefused, s.popularSent)
		}
		frequent, starved := 0, 0
		for session, n := range s.asked {
			if n < minAsked {
				continue
			}
			frequent++
			if s.refused[session] == n {
				starved++
			}
		}
		if 100*starved > 2*frequent {
			t.Fatalf("%d of %d sessions were never served in %d crashes", starved, frequent, s.crashes)
		}
	})
}

// Guards against heartbeats that carry each crash of an outage to all gates until an upstream
// responds again, although it says nothing of any part, and against reports of the same
// parts by each request.
func TestCrashesWorthTelling(t *testing.T) {
	g := NewWithT(t)
	var c policy.Containment
	now := time.Now()
	c.Success(now, popular)
	c.Success(now, rare)
	now = now.Add(time.Second)
	for i := range uint64(20) {
		c.Observe(policy.Crash{ID: 10 + i, Upstream: 1, Parts: []uint64{popular}, At: now})
	}
	c.Observe(policy.Crash{ID: 2, Upstream: 2, Parts: []uint64{rare}, At: now})
	c.Observe(policy.Crash{ID: 3, Upstream: 3, Parts: []uint64{popular, crashing}, At: now})
	g.Expect(c.News(now)).To(HaveLen(3), "new crashes add to the evidence of other gates")
	g.Expect(c.News(now.Add(3 * time.Second))).To(HaveLen(1))
	g.Expect(c.News(now.Add(3 * time.Second))[0].ID).To(BeEquivalentTo(3))
}
