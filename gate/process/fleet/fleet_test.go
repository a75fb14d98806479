package fleet_test

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/gate/process/fleet"
	"parsleyroute.example/gate/process/policy"
)

// newPicker returns a picker for a pool with n upstreams, their entries, which
// edit may change, and the configuration.
func newPicker(n int, pool *core.PoolConfig, edit func(i int, p *core.ListedUpstream)) (*fleet.Picker, map[string]*core.ListedUpstream, *core.Config) {
	f := &fleet.Fleet{ColdLimit: fleet.ColdLimit{Overshoot: 1.5, Slack: 5}}
	config := &core.Config{Pools: map[string]*core.PoolConfig{pool.Name: pool}}
	entries := map[string]*core.ListedUpstream{}
	for i := range n {
		p := &core.ListedUpstream{ID: fmt.Sprintf("i-%d", i), Pool: pool.Name, Zone: "z", MaxSequences: 2, Addr: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", i+1))}
		if edit != nil {
			edit(i, p)
		}
		entries[p.ID] = p
	}
	f.Update(time.Now(), entries, nil, config)
	return &fleet.Picker{Fleet: f, Zone: "z"}, entries, config
}

// setMembers makes the picker's gate the one with the given index among n gates, all of
// which have been running for long.
func setMembers(p *fleet.Picker, n, index int) {
	m := policy.Members{Own: uint64(index + 1)}
	for i := range n {
		if i != index {
			m.Others = append(m.Others, uint64(i+1))
		}
	}
	p.Fleet.SetMembers(time.Now().Add(-time.Minute), m)
}

// TestPickBalances guards against upstreams that get more requests than others
// or than their capacity.
func TestPickBalances(t *testing.T) {
	g := NewWithT(t)
	p, _, config := newPicker(3, &core.PoolConfig{Name: "p"}, nil)
	now := time.Now()
	counts := map[string]int{}
	for range 12 {
		u := p.Pick(now, config.Pools["p"], nil)
		g.Expect(u).NotTo(BeNil())
		counts[u.ID]++
	}
	g.Expect(counts).To(Equal(map[string]int{"i-0": 4, "i-1": 4, "i-2": 4}))
	g.Expect(p.Pick(now, config.Pools["p"], nil)).To(BeNil())
	g.Expect(p.PoolState(now, config.Pools["p"])).To(Equal(fleet.PoolFull))
}

// TestPickCountsOtherGates guards against gates that ignore each other's load and
// all choose the same upstream.
func TestPickCountsOtherGates(t *testing.T) {
	g := NewWithT(t)
	p, _, config := newPicker(2, &core.PoolConfig{Name: "p"}, nil)
	now := time.Now()
	first := p.Pick(now, config.Pools["p"], nil)
	p.Fleet.EndRequest(now, first, fleet.Succeeded)
	p.Fleet.UpdateRemoteLoads(map[uint64]int{first.Key: 2}, nil, nil)
	for range 2 {
		g.Expect(p.Pick(now, config.Pools["p"], nil)).NotTo(Equal(first))
	}
}

// TestColdRateLimit guards against a cold upstream that gets more requests per
// second, from all gates together, than it may get while cold.
func TestColdRateLimit(t *testing.T) {
	g := NewWithT(t)
	pool := &core.PoolConfig{Name: "p", ColdRate: 36}
	p, _, config := newPicker(1, pool, func(_ int, entry *core.ListedUpstream) { entry.ColdDuration, entry.MaxSequences = 3*time.Second, 1000 })
	setMembers(p, 4, 0)
	now := time.Now()
	n := 0
	for p.Pick(now, config.Pools["p"], nil) != nil {
		n++
	}
	g.Expect(4 * n).To(BeNumerically("<=", 36*1.5+5))
	g.Expect(4 * n).To(BeNumerically(">", 36))
	g.Expect(p.Pick(now.Add(900*time.Millisecond), config.Pools["p"], nil)).To(BeNil())
	g.Expect(p.Pick(now.Add(1100*time.Millisecond), config.Pools["p"], nil)).NotTo(BeNil())
	afterCold := now.Add(3100 * time.Millisecond)
	for range 100 {
		g.Expect(p.Pick(afterCold, config.Pools["p"], nil)).NotTo(BeNil())
	}
}

// TestColdRateLimitManyGates guards against exceeding the rate limit of a cold
// upstream when each gate sends it only one request per second.
func TestColdRateLimitManyGates(t *testing.T) {
	g := NewWithT(t)
	pool := &core.PoolConfig{Name: "p", ColdRate: 14}
	const gates, upstreams = 36, 63
	received := map[string]int{}
	maxAdmitted := 0
	now := time.Now()
	for i := range gates {
		p, _, _ := newPicker(upstreams, pool, func(_ int, entry *core.ListedUpstream) { entry.ColdDuration, entry.MaxSequences = 3*time.Second, 1000 })
		setMembers(p, gates, i)
		n := 0
		for u := p.Pick(now, pool, nil); u != nil; u = p.Pick(now, pool, nil) {
			received[u.ID]++
			n++
		}
		maxAdmitted = max(maxAdmitted, n)
		g.Expect(n).To(BeNumerically(">", 10), "gate %d may send to too few upstreams", i)
	}
	for id, n := range received {
		g.Expect(n).To(BeNumerically("<=", 14*1.5+5), id)
	}
	g.Expect(maxAdmitted).To(BeNumerically(">", 20))
}

// TestConnectionLimitShared guards against each gate opening as many connections
// to an upstream as it accepts from all gates together.
func TestConnectionLimitShared(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	pool := &core.PoolConfig{Name: "p", MaxConnections: 40}
	p, _, _ := newPicker(1, pool, func(_ int, entry *core.ListedUpstream) { entry.Addr = netip.MustParseAddrPort(l.Addr().String()) })
	setMembers(p, 4, 0)
	conns := p.Fleet.Snapshot().ByID["i-0"].Conns
	n := 0
	for ; n < 40; n++ {
		if _, _, err := conns.Get(t.Context(), time.Second); err != nil {
			break
		}
	}
	g.Expect(n).To(Equal(10))
}

// TestZoneOut guards against requests to a zone that operators have taken out of
// use, and against full load on its upstreams, which may be cold, when the zone
// is put back into use.
func TestZoneOut(t *testing.T) {
	g := NewWithT(t)
	pool := &core.PoolConfig{Name: "p", ColdRate: 4}
	p, entries, config := newPicker(1, pool, func(_ int, entry *core.ListedUpstream) { entry.MaxSequences = 1000 })
	now := time.Now()
	p.Fleet.Update(now, entries, map[string]bool{"z": true}, config)
	g.Expect(p.Pick(now, pool, nil)).To(BeNil())
	g.Expect(p.PoolState(now, pool)).To(Equal(fleet.PoolDown))
	p.Fleet.Update(now, entries, nil, config)
	n := 0
	for p.Pick(now, pool, nil) != nil {
		n++
	}
	g.Expect(n).To(BeNumerically("<=", 4*1.5+5))
}

// TestDrainingAndReplaced guards against requests to an upstream that is draining
// or whose address is used by a later process.
func TestDrainingAndReplaced(t *testing.T) {
	g := NewWithT(t)
	p, entries, config := newPicker(2, &core.PoolConfig{Name: "p"}, nil)
	now := time.Now()
	updated := map[string]*core.ListedUpstream{}
	for id, old := range entries {
		c := *old
		c.Draining = id == "i-0"
		updated[id] = &c
	}
	p.Fleet.Update(now, updated, nil, config)
	for range 4 {
		g.Expect(p.Pick(now, config.Pools["p"], nil).ID).To(Equal("i-1"))
	}
	successor := *updated["i-1"]
	successor.ID, successor.StartTime = "i-9", 99
	updated["i-9"] = &successor
	p.Fleet.Update(now, updated, nil, config)
	g.Expect(p.Pick(now, config.Pools["p"], nil).ID).To(Equal("i-9"))
}

// TestLostConnectionsBackoff guards against sending more requests to an upstream
// that loses all connections, and against never retrying it.
func TestLostConnectionsBackoff(t *testing.T) {
	g := NewWithT(t)
	p, _, config := newPicker(1, &core.PoolConfig{Name: "p"}, nil)
	now := time.Now()
	for range 2 {
		p.Fleet.EndRequest(now, p.Pick(now, config.Pools["p"], nil), fleet.ConnectionLost)
	}
	g.Expect(p.Pick(now, config.Pools["p"], nil)).To(BeNil())
	g.Expect(p.Pick(now.Add(time.Second), config.Pools["p"], nil)).NotTo(BeNil())
}

// TestFailingUpstream guards against an upstream that attracts most requests
// because it fails them quickly and so has the lowest load.
func TestFailingUpstream(t *testing.T) {
	g := NewWithT(t)
	p, _, config := newPicker(2, &core.PoolConfig{Name: "p"}, nil)
	now := time.Now()
	counts := map[string]int{}
	for range 100 {
		u := p.Pick(now, config.Pools["p"], nil)
		counts[u.ID]++
		outcome := fleet.Succeeded
		if u.ID == "i-0" {
			outcome = fleet.Failed
		}
		p.Fleet.EndRequest(now, u, outcome)
	}
	g.Expect(counts["i-0"]).To(BeNumerically("<", 10))
}

// TestGroupDown guards against requests to a group that is down, against an
// outdated entry that marks it up, and against marking a group down because one
// of its upstreams refuses a request for a reason that concerns only itself.
func TestGroupDown(t *testing.T) {
	g := NewWithT(t)
	pool := &core.PoolConfig{Name: "p", Engine: &core.EngineConfig{MaxSequences: 4}}
	p, entries, config := newPicker(2, pool, func(i int, entry *core.ListedUpstream) {
		entry.Group = core.GroupMembership{Name: "g", Epoch: 3, Rank: i, Size: 2}
	})
	now := time.Now()
	u := p.Pick(now, pool, nil)
	p.Fleet.MarkGroupDown(now, u, u.Conns.Addr.String())
	g.Expect(p.PoolState(now, pool)).To(Equal(fleet.PoolAvailable))
	p.Fleet.MarkGroupDown(now, u, "10.9.9.9:1")
	g.Expect(p.Pick(now, pool, nil)).To(BeNil())
	g.Expect(p.PoolState(now, pool)).To(Equal(fleet.PoolDown))
	g.Expect(p.Fleet.StandingGroups()).To(HaveKey("g"))
	p.Fleet.Update(now, entries, nil, config)
	g.Expect(p.Pick(now, pool, nil)).To(BeNil(), "the entries are from the epoch in which the group was marked down")
	updated := map[string]*core.ListedUpstream{}
	for id, old := range entries {
		c := *old
		c.Group.Epoch = 4
		updated[id] = &c
	}
	p.Fleet.Update(now, updated, nil, config)
	u = p.Pick(now, pool, nil)
	g.Expect(u).NotTo(BeNil())
	g.Expect(p.Pick(now, pool, nil)).To(BeNil(), "a group on trial gets as many requests as this gate's share of its ranks")
	p.Fleet.BeginStream(u).Event(now.Add(time.Millisecond))
	g.Expect(p.Pick(now, pool, nil)).NotTo(BeNil())
}

// TestBrokenGroupAtStart guards against a gate that has just started and sends its
// first requests to a group that its first list says is broken.
func TestBrokenGroupAtStart(t *testing.T) {
	g := NewWithT(t)
	pool := &core.PoolConfig{Name: "p", Engine: &core.EngineConfig{MaxSequences: 4}}
	p, entries, config := newPicker(1, pool, nil)
	c := *entries["i-0"]
	c.Group = core.GroupMembership{Name: "g", Epoch: 2, Size: 1, Broken: true}
	p.Fleet.Update(time.Now(), map[string]*core.ListedUpstream{"i-0": &c}, nil, config)
	g.Expect(p.Pick(time.Now(), pool, nil)).To(BeNil())
}

// TestSilentRank guards against a rank whose machine is frozen and that gets one
// request after the other, all of which reach it after their callers have left, and
// against leaving alone a rank that answers again.
func TestSilentRank(t *testing.T) {
	g := NewWithT(t)
	pool := &core.PoolConfig{Name: "p", Engine: &core.EngineConfig{MaxSequences: 12}}
	p, _, _ := newPicker(2, pool, func(i int, entry *core.ListedUpstream) {
		entry.Group = core.GroupMembership{Name: "g", Epoch: 3, Rank: i, Size: 2}
	})
	start := time.Now()
	received := map[*fleet.Upstream]int{}
	var frozen *fleet.Upstream
	for at := time.Duration(0); at < 3*time.Second; at += 10 * time.Millisecond {
		now := start.Add(at)
		p.Fleet.CheckSilence(now)
		if at%(50*time.Millisecond) != 0 {
			continue
		}
		u := p.Pick(now, pool, nil)
		g.Expect(u).NotTo(BeNil())
		if frozen == nil {
			frozen = u
		}
		received[u]++
		if u != frozen {
			p.Fleet.Hear(now, u)
			p.Fleet.EndRequest(now, u, fleet.Succeeded)
		}
	}
	// Requests wait at the frozen rank from the start, so it is found silent after
	// 300 ms, in which six requests arrive.
	g.Expect(received[frozen]).To(BeNumerically("<=", 6))
	g.Expect(p.Fleet.SilentRanks()).To(ConsistOf(frozen))
	now := start.Add(3 * time.Second)
	p.Fleet.Hear(now, frozen)
	for u := range received {
		if u != frozen {
			g.Expect(p.Pick(now, pool, []*fleet.Upstream{u})).To(Equal(frozen))
		}
	}
}

// TestSilentPlainUpstream guards against a back end that is frozen and gets more
// than a few requests, and against leaving one alone because one response was lost.
func TestSilentPlainUpstream(t *testing.T) {
	g := NewWithT(t)
	pool := &core.PoolConfig{Name: "p"}
	p, _, _ := newPicker(1, pool, func(_ int, entry *core.ListedUpstream) { entry.MaxSequences = 6 })
	now := time.Now()
	u := p.Pick(now, pool, nil)
	now = now.Add(time.Second)
	p.Fleet.CheckSilence(now)
	g.Expect(p.Pick(now, pool, nil)).To(Equal(u), "one response may be lost alone")
	p.Fleet.CheckSilence(now.Add(time.Second))
	g.Expect(p.Pick(now, pool, nil)).To(BeNil())
	p.Fleet.EndRequest(now, u, fleet.Inconclusive)
	p.Fleet.EndRequest(now, u, fleet.Inconclusive)
	g.Expect(p.Pick(now, pool, nil)).To(Equal(u), "one request at a time shows whether it answers")
	g.Expect(p.Pick(now, pool, nil)).To(BeNil())
	p.Fleet.Hear(now, u)
	g.Expect(p.Pick(now, pool, nil)).To(Equal(u))
}

// TestEventGapLimit guards against running so many sequences that the event gaps
// of all streams become too long, and against a reduced capacity that persists
// after the measured gaps are outdated.
func TestEventGapLimit(t *testing.T) {
	g := NewWithT(t)
	pool := &core.PoolConfig{Name: "p", Engine: &core.EngineConfig{MaxSequences: 12, StepsPerPass: 4, StepTime: 4550 * time.Microsecond, TimePerSequence: 905 * time.Microsecond}}
	p, _, _ := newPicker(4, pool, nil)
	now := time.Now()
	fillPool := func() int {
		n := 0
		for p.Pick(now, pool, nil) != nil {
			n++
		}
		return n
	}
	for range 16 {
		g.Expect(p.Pick(now, pool, nil)).NotTo(BeNil())
	}
	// A forward pass with four sequences per rank takes 33 ms if the experts are
	// evenly loaded. At 110 ms no rank may run more.
	for range 50 {
		p.Fleet.ObserveEventGap(now, "p", 110*time.Millisecond, 120*time.Millisecond)
	}
	g.Expect(fillPool()).To(BeZero())
	now = now.Add(time.Second)
	g.Expect(fillPool()).To(BeNumerically(">", 20), "no event was observed for a second")
}

// TestSlowRank guards against requests to a rank that slows down its whole group,
// also while the others are full, and against a group that gets no requests because
// most of its ranks are slow.
func TestSlowRank(t *testing.T) {
	g := NewWithT(t)
	pool := &core.PoolConfig{Name: "p", Engine: &core.EngineConfig{MaxSequences: 4}}
	p, _, _ := newPicker(2, pool, nil)
	now := time.Now()
	slow := p.Pick(now, pool, nil)
	p.Fleet.EndRequest(now, slow, fleet.Succeeded)
	p.Fleet.UpdateRemoteLoads(nil, map[uint64]float64{slow.Key: 5}, nil)
	var other *fleet.Upstream
	for range 7 {
		other = p.Pick(now, pool, nil)
		g.Expect(other).NotTo(BeNil())
		g.Expect(other).NotTo(Equal(slow))
	}
	g.Expect(p.Pick(now, pool, nil)).To(BeNil(), "a prompt read on the slow rank delays the seven running requests")
	g.Expect(p.PoolState(now, pool)).To(Equal(fleet.PoolFull))
	p.Fleet.UpdateRemoteLoads(nil, map[uint64]float64{slow.Key: 5, other.Key: 5}, nil)
	g.Expect(p.Pick(now, pool, nil)).To(Equal(slow))
}

// TestGapLimitOutOfReach plays a group whose passes take three times the gap limit,
// whatever its load, because one of its ranks is slow. It guards against refusing
// most requests for a limit that no number of sequences keeps.
func TestGapLimitOutOfReach(t *testing.T) {
	g := NewWithT(t)
	pool := &core.PoolConfig{Name: "p", Engine: &core.EngineConfig{MaxSequences: 12, StepsPerPass: 4, StepTime: 4550 * time.Microsecond, TimePerSequence: 905 * time.Microsecond}}
	p, _, _ := newPicker(4, pool, nil)
	now := time.Now()
	for range 50 {
		p.Fleet.ObserveEventGap(now, "p", 360*time.Millisecond, 120*time.Millisecond)
	}
	n := 0
	for p.Pick(now, pool, nil) != nil {
		n++
	}
	g.Expect(n).To(BeNumerically(">=", 4*12))
}

// TestLimits guards against limits of a former process, and older ones, that replace the present one.
func TestLimits(t *testing.T) {
	g := NewWithT(t)
	p, entries, config := newPicker(1, &core.PoolConfig{Name: "p"}, func(_ int, entry *core.ListedUpstream) { entry.StartTime, entry.MaxSequences = 5, 1000 })
	setMembers(p, 4, 0)
	now := time.Now()
	u := p.Fleet.Snapshot().ByID["i-0"]
	learn := func(startTime int64, perSecond float64, at time.Time) {
		p.Fleet.LearnLimits(now, []fleet.UpstreamLimit{{Key: u.Key, StartTime: startTime, PerSecond: perSecond, At: at}})
	}
	learn(4, 1, now)
	g.Expect(p.PoolState(now, config.Pools["p"])).To(Equal(fleet.PoolAvailable), "a limit of a former process")
	learn(5, 1, now.Add(-time.Second))
	g.Expect(p.PoolState(now, config.Pools["p"])).To(Equal(fleet.PoolLimited))
	g.Expect(p.Pick(now, config.Pools["p"], nil)).To(BeNil())
	share, ok := p.NextShare(now, config.Pools["p"], nil, 0)
	g.Expect(ok).To(BeTrue())
	g.Expect(share.HasShare).To(BeTrue())
	g.Expect(share.Share.Count).To(Equal(1), "a quarter of 4 requests in 4 s")
	g.Expect(p.Pick(share.At, config.Pools["p"], nil)).To(Equal(u))
	g.Expect(p.Pick(share.At.Add(3900*time.Millisecond), config.Pools["p"], nil)).To(BeNil())
	g.Expect(p.Fleet.LocalLimits()).To(BeEmpty(), "what other gates have told is not passed on")

	p.Fleet.ObserveLimit(now, u, 8)
	learn(5, 1, now.Add(-time.Second))
	share, _ = p.NextShare(now, config.Pools["p"], nil, 0)
	g.Expect(share.Limit).To(BeEquivalentTo(8), "an older limit from another gate")
	_, ok = p.NextShare(now, config.Pools["p"], []*fleet.Upstream{u}, 0)
	g.Expect(ok).To(BeFalse(), "an upstream that the request has tried")
	g.Expect(p.Fleet.LocalLimits()).To(HaveLen(1))

	restarted := *entries["i-0"]
	restarted.StartTime = 6
	p.Fleet.Update(now, map[string]*core.ListedUpstream{"i-0": &restarted}, nil, config)
	g.Expect(p.PoolState(now, config.Pools["p"])).To(Equal(fleet.PoolAvailable), "another process with the same id")
}
