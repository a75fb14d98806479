package policy_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/gate/process/policy"
)

// Guards against shares that sum up to more than the quota, or that the same gates have everywhere.
func TestSharesSumUpToQuota(t *testing.T) {
	g := NewWithT(t)
	first := map[uint64]bool{}
	for gates := 1; gates <= 40; gates++ {
		keys := make([]uint64, gates)
		for i := range keys {
			keys[i] = uint64(i + 1)
		}
		for upstream := range uint64(20) {
			for _, count := range []int{0, 1, 4, 11, 40, 97} {
				sum := 0
				for i := range keys {
					m := policy.Members{Own: keys[i], Others: slices.Delete(slices.Clone(keys), i, i+1)}
					rank := m.Rank(upstream)
					if rank == 0 {
						first[keys[i]] = true
					}
					sum += policy.Quota{Count: count}.Share(rank, gates).Count
				}
				g.Expect(sum).To(Equal(count))
			}
		}
	}
	g.Expect(len(first)).To(BeNumerically(">", 10))
}

// Guards against two processes that use the same share in one window.
func TestShareIsGainedLater(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	q := policy.Quota{Count: 4, Window: 4 * time.Second}
	s := policy.NewShareHistory(now)
	s.Update(now, 0, 4)
	g.Expect(s.Share(now.Add(3*time.Second), q).Count).To(BeZero(), "after the start")
	now = now.Add(5 * time.Second)
	g.Expect(s.Share(now, q).Count).To(Equal(1))
	s.Update(now, 0, 2)
	g.Expect(s.Share(now, q).Count).To(Equal(1), "other gates may have used their shares")
	g.Expect(s.Share(now.Add(q.Window), q).Count).To(Equal(2))
	s.Update(now.Add(time.Second), 3, 8)
	g.Expect(s.Share(now.Add(time.Second), q).Count).To(Equal(1))
	s.Update(now.Add(2*time.Second), 4, 8)
	g.Expect(s.Share(now.Add(2*time.Second), q).Count).To(BeZero(), "a share is lost at once")
}

// Guards against limits that are not kept, kept after their end, or given up at once.
func TestRateLimit(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	var l policy.RateLimit
	g.Expect(l.Observe(now, math.Inf(1))).To(BeFalse())
	_, limited := l.Quota(now)
	g.Expect(limited).To(BeFalse())
	g.Expect(l.Observe(now, 2.3)).To(BeTrue())
	g.Expect(l.Observe(now, 2.3)).To(BeFalse())
	q, limited := l.Quota(now)
	g.Expect(limited).To(BeTrue())
	g.Expect(float64(q.Count) / q.Window.Seconds()).To(BeNumerically("~", 2.3, 1e-6))
	g.Expect(q.Window).To(BeNumerically(">=", 4*time.Second))
	g.Expect(l.Observe(now.Add(-time.Second), 9)).To(BeFalse(), "a response that is older than the known one")
	g.Expect(l.Rate(now)).To(Equal(2.3))

	g.Expect(l.Observe(now, math.Inf(1))).To(BeTrue())
	g.Expect(l.Rate(now)).To(Equal(2.3), "the rate rises step by step")
	g.Expect(l.Rate(now.Add(time.Second))).To(BeNumerically("~", 4*2.3, 1e-6))
	g.Expect(math.IsInf(l.Rate(now.Add(3*time.Second)), 1)).To(BeTrue())

	for _, perSecond := range []float64{0, 1e-300, 0.001} {
		var l policy.RateLimit
		l.Observe(now, perSecond)
		q, limited := l.Quota(now)
		g.Expect(limited).To(BeTrue())
		g.Expect(q).To(Equal(policy.Quota{Count: 1, Window: policy.MaxQuotaWindow}), "one request shows whether the limit has ended")
		g.Expect(l.Rate(now.Add(9 * time.Second))).To(Equal(perSecond))
		g.Expect(math.IsInf(l.Rate(now.Add(14*time.Second)), 1)).To(BeTrue(), "an upstream that has not responded for long")
	}
	for _, perSecond := range []float64{1e300, math.Inf(1)} {
		var l policy.RateLimit
		l.Observe(now, perSecond)
		_, limited := l.Quota(now)
		g.Expect(limited).To(BeFalse())
	}
}

// limitSim plays gates that share the limit of one upstream. Time is virtual.
type limitSim struct {
	rng   *rand.Rand
	now   time.Time
	start time.Time
	gates []*simGate
	// limit is the limit that the upstream names, infinite if it names none; named is
	// when it first did.
	limit  float64
	limits []simLimit
	// arrivals holds the requests that the rule counts.
	arrivals []time.Time
	total    int
}

type simLimit struct {
	at   time.Time
	rate float64
}

type simGate struct {
	key    uint64
	heard  map[uint64]time.Time
	limit  policy.RateLimit
	own    policy.RateLimit
	shares policy.ShareHistory
	log    policy.SendLog
	seen   bool
	// told is when the gate first passed on a response that names a limit. The rule does
	// not count gates that were disturbed less than excuse ago.
	told      time.Time
	disturbed time.Time
	downUntil time.Time
	cutUntil  time.Time
	members   policy.Members
}

const (
	simStep        = 20 * time.Millisecond
	simExcuse      = 4 * time.Second
	simRetention   = 30 * time.Second
	simLoss        = 0.02
	simRecipients  = 16
	simHeartbeat   = 100 * time.Millisecond
	simStable      = 4 * time.Second
	simRequestRate = 0.5 // requests of each gate per step
)

func (s *limitSim) startGate(i int) {
	g := s.gates[i]
	*g = simGate{key: g.key, heard: map[uint64]time.Time{}, shares: policy.NewShareHistory(s.now), disturbed: s.now, downUntil: g.downUntil, cutUntil: g.cutUntil}
	for _, o := range s.gates {
		// Gates read the names of the others from the store.
		g.heard[o.key] = s.now
	}
}

func (s *limitSim) step() {
	s.now = s.now.Add(simStep)
	for _, g := range s.gates {
		if s.now.Before(g.downUntil) {
			continue
		}
		if s.rng.Float64() < float64(simStep)/float64(simHeartbeat) {
			s.heartbeat(g)
		}
		s.updateMembers(g)
		if s.rng.Float64() < simRequestRate {
			s.request(g)
		}
	}
}

func (s *limitSim) heartbeat(g *simGate) {
	rate, at, known := g.own.Known(s.now)
	for i, j := range s.rng.Perm(len(s.gates)) {
		o := s.gates[j]
		if i >= simRecipients || o == g || s.now.Before(o.downUntil) || s.now.Before(g.cutUntil) != s.now.Before(o.cutUntil) || s.rng.Float64() < simLoss {
			continue
		}
		o.heard[g.key] = s.now
		if known {
			o.limit.Observe(at, rate)
		}
	}
}

func (s *limitSim) updateMembers(g *simGate) {
	m := policy.Members{Own: g.key}
	for key, at := range g.heard {
		if key != g.key && s.now.Sub(at) < simRetention {
			m.Others = append(m.Others, key)
		}
	}
	slices.Sort(m.Others)
	if !g.members.Equal(m) {
		g.members = m
		g.shares.Update(s.now, m.Rank(7), m.Count())
	}
}

// request sends a request if the gate may, and observes the response.
func (s *limitSim) request(g *simGate) {
	q, limited := g.limit.Quota(s.now)
	if limited {
		if !g.seen {
			rank, gates := g.shares.Place()
			g.log.Spread(s.now, q, rank, gates)
		}
		share := g.shares.Share(s.now, q)
		if g.seen = true; g.log.Free(s.now, share) == 0 {
			return
		}
		g.log.Expire(s.now, policy.MaxQuotaWindow)
		g.log.Add(s.now)
	} else {
		g.seen = false
		g.log.Clear()
	}
	s.total++
	if !g.told.IsZero() && s.now.Sub(g.told) >= 500*time.Millisecond && s.now.Sub(g.disturbed) >= simExcuse {
		s.arrivals = append(s.arrivals, s.now)
	}
	g.limit.Observe(s.now, s.limit)
	g.own.Observe(s.now, s.limit)
	if !math.IsInf(s.limit, 1) && g.told.IsZero() {
		g.told = s.now
	}
}

func (s *limitSim) setLimit(rate float64) {
	s.limit = rate
	s.limits = append(s.limits, simLimit{s.now, rate})
}

// allowed returns the number of requests that the rule allows in the span that ends at
// the given time: what the highest limit that was in force in it allows.
func (s *limitSim) allowed(end time.Time) float64 {
	highest := 0.0
	for i, l := range s.limits {
		if l.at.After(end) {
			break
		}
		if i+1 < len(s.limits) && !s.limits[i+1].at.After(end.Add(-4*time.Second-simStable)) {
			continue
		}
		highest = max(highest, l.rate)
	}
	return 1.5*4*highest + 5
}

func (s *limitSim) check(g Gomega, seed uint64) {
	for i, first := range s.arrivals {
		if first.Sub(s.limits[0].at) < simStable {
			continue
		}
		n := 0
		for _, at := range s.arrivals[i:] {
			if at.Sub(first) >= 4*time.Second {
				break
			}
			n++
		}
		g.Expect(float64(n)).To(BeNumerically("<=", s.allowed(first.Add(4*time.Second))), "seed %d, %d gates, limits %v, from %s", seed, len(s.gates), s.limits, first.Sub(s.start))
	}
}

// simSeeds returns the number of seeds to play. LIMIT_SEEDS sets more.
func simSeeds() int {
	if n, err := strconv.Atoi(os.Getenv("LIMIT_SEEDS")); err == nil {
		return n
	}
	return 16
}

// Guards against limits that gates break together while they end, start, freeze or are cut off.
func TestSharedLimitWithRandomGates(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(simSeeds()) {
		rng := rand.New(rand.NewPCG(seed, 5))
		s := &limitSim{rng: rng, now: time.Now(), limit: math.Inf(1)}
		s.start = s.now
		for i := range 1 + rng.IntN(40) {
			s.gates = append(s.gates, &simGate{key: uint64(i + 1)})
		}
		for i := range s.gates {
			s.startGate(i)
			s.gates[i].disturbed = time.Time{}
		}
		s.setLimit([]float64{0, 0.3, 1, 1, 2.3, 5, 12}[rng.IntN(7)])
		for s.now.Sub(s.start) < 40*time.Second {
			s.step()
			if rng.Float64() >= 0.01 {
				continue
			}
			gate := s.gates[rng.IntN(len(s.gates))]
			switch rng.IntN(8) {
			case 0:
				s.startGate(slices.Index(s.gates, gate))
			case 1:
				gate.downUntil = s.now.Add(time.Duration(rng.IntN(4000)) * time.Millisecond)
				gate.disturbed = gate.downUntil
			case 2:
				gate.cutUntil = s.now.Add(time.Duration(rng.IntN(9000)) * time.Millisecond)
				gate.disturbed = gate.cutUntil
			case 3:
				if len(s.gates) < 40 {
					s.gates = append(s.gates, &simGate{key: uint64(1000 + len(s.gates))})
					s.startGate(len(s.gates) - 1)
				}
			case 4:
				if s.now.Sub(s.limits[len(s.limits)-1].at) > 10*time.Second {
					s.setLimit(rng.Float64() * 5)
				}
			}
		}
		s.check(g, seed)
	}
}

// Guards against a limit whose shares are left unused although each gate has requests.
func TestSharedLimitIsUsed(t *testing.T) {
	g := NewWithT(t)
	for _, gates := range []int{1, 6, 8, 36, 40} {
		for _, limit := range []float64{0.5, 1, 2.3, 10, 60} {
			s := &limitSim{rng: rand.New(rand.NewPCG(1, 5)), now: time.Now(), limit: math.Inf(1)}
			s.start = s.now
			for i := range gates {
				s.gates = append(s.gates, &simGate{key: uint64(i + 1)})
			}
			for i := range s.gates {
				s.startGate(i)
			}
			s.setLimit(limit)
			for s.now.Sub(s.start) < 10*time.Second {
				s.step()
			}
			s.total = 0
			for s.now.Sub(s.start) < 50*time.Second {
				s.step()
			}
			name := fmt.Sprintf("%d gates, limit %v", gates, limit)
			g.Expect(float64(s.total)).To(BeNumerically("<=", 40*limit*1.1), name)
			// A gate without a queue sends its next request some 40 ms after it may, and at
			// most 25 requests a second.
			g.Expect(float64(s.total)).To(BeNumerically(">=", 40*0.85*min(limit, 25*float64(gates))), name)
		}
	}
}
