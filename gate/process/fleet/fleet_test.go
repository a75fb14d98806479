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
)

// build returns a picker before n upstreams of the pool.
func build(n int, pool *core.PoolConfig, edit func(i int, p *core.ListedUpstream)) (*fleet.Picker, map[string]*core.ListedUpstream, *core.Config) {
	f := &fleet.Fleet{Bounds: fleet.Bounds{ColdOvershoot: 1.5, ColdSlack: 5}}
	config := &core.Config{Pools: map[string]*core.PoolConfig{pool.Name: pool}}
	peers := map[string]*core.ListedUpstream{}
	for i := range n {
		p := &core.ListedUpstream{ID: fmt.Sprintf("i-%d", i), Pool: pool.Name, Zone: "z", MaxSequences: 2, Addr: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", i+1))}
		if edit != nil {
			edit(i, p)
		}
		peers[p.ID] = p
	}
	f.Update(time.Now(), peers, nil, config)
	return &fleet.Picker{Fleet: f, Zone: "z"}, peers, config
}

// TestPickSpreads guards against upstreams that get more than the others, and
// against more than they have places for.
func TestPickSpreads(t *testing.T) {
	g := NewWithT(t)
	p, _, config := build(3, &core.PoolConfig{Name: "p"}, nil)
	now := time.Now()
	count := map[string]int{}
	for range 12 {
		u := p.Pick(now, config.Pools["p"], nil)
		g.Expect(u).NotTo(BeNil())
		count[u.ID]++
	}
	g.Expect(count).To(Equal(map[string]int{"i-0": 4, "i-1": 4, "i-2": 4}))
	g.Expect(p.Pick(now, config.Pools["p"], nil)).To(BeNil())
	g.Expect(p.State(now, config.Pools["p"])).To(Equal(fleet.Full))
}

// TestPickCountsOtherGates guards against gates that all choose one upstream.
func TestPickCountsOtherGates(t *testing.T) {
	g := NewWithT(t)
	p, _, config := build(2, &core.PoolConfig{Name: "p"}, nil)
	now := time.Now()
	first := p.Pick(now, config.Pools["p"], nil)
	p.Fleet.End(now, first, fleet.Sound)
	p.Fleet.Beat(map[uint64]int{first.Key: 2}, nil)
	for range 2 {
		g.Expect(p.Pick(now, config.Pools["p"], nil)).NotTo(Equal(first))
	}
}

// TestColdBudget guards against a cold upstream that gets more in a second than
// it bears, from all gates together.
func TestColdBudget(t *testing.T) {
	g := NewWithT(t)
	pool := &core.PoolConfig{Name: "p", ColdRate: 36}
	p, _, config := build(1, pool, func(_ int, p *core.ListedUpstream) { p.ColdDuration, p.MaxSequences = 3*time.Second, 1000 })
	p.Fleet.SetGates(4)
	now := time.Now()
	n := 0
	for p.Pick(now, config.Pools["p"], nil) != nil {
		n++
	}
	g.Expect(4 * n).To(BeNumerically("<=", 36*1.5+5))
	g.Expect(4 * n).To(BeNumerically(">", 36))
	g.Expect(p.Pick(now.Add(900*time.Millisecond), config.Pools["p"], nil)).To(BeNil())
	g.Expect(p.Pick(now.Add(1100*time.Millisecond), config.Pools["p"], nil)).NotTo(BeNil())
	warm := now.Add(3100 * time.Millisecond)
	for range 100 {
		g.Expect(p.Pick(warm, config.Pools["p"], nil)).NotTo(BeNil())
	}
}

// TestColdBudgetManyGates guards against gates that together send more to a cold
// upstream than it bears although each sends only one request a second.
func TestColdBudgetManyGates(t *testing.T) {
	g := NewWithT(t)
	pool := &core.PoolConfig{Name: "p", ColdRate: 14}
	const gates, upstreams = 36, 63
	got := map[string]int{}
	served := 0
	now := time.Now()
	for i := range gates {
		p, _, _ := build(upstreams, pool, func(_ int, p *core.ListedUpstream) { p.ColdDuration, p.MaxSequences = 3*time.Second, 1000 })
		p.Fleet.SetGates(gates)
		p.Key = uint64(i + 1)
		n := 0
		for u := p.Pick(now, pool, nil); u != nil; u = p.Pick(now, pool, nil) {
			got[u.ID]++
			n++
		}
		served = max(served, n)
		g.Expect(n).To(BeNumerically(">", 10), "gate %d has too few upstreams", i)
	}
	for id, n := range got {
		g.Expect(n).To(BeNumerically("<=", 14*1.5+5), id)
	}
	g.Expect(served).To(BeNumerically(">", 20))
}

// TestConnectionsShared guards against gates that each open as many connections
// to an upstream as it accepts from all.
func TestConnectionsShared(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	pool := &core.PoolConfig{Name: "p", MaxConnections: 40}
	p, _, _ := build(1, pool, func(_ int, p *core.ListedUpstream) { p.Addr = netip.MustParseAddrPort(l.Addr().String()) })
	p.Fleet.SetGates(4)
	conns := p.Fleet.Snapshot().ByID["i-0"].Conn
	n := 0
	for ; n < 40; n++ {
		if _, _, err := conns.Get(t.Context(), time.Second); err != nil {
			break
		}
	}
	g.Expect(n).To(Equal(10))
}

// TestZoneOut guards against work for a zone that operators have taken out, and
// against a full load on its upstreams, which may be cold, when it is back.
func TestZoneOut(t *testing.T) {
	g := NewWithT(t)
	pool := &core.PoolConfig{Name: "p", ColdRate: 4}
	p, peers, config := build(1, pool, func(_ int, p *core.ListedUpstream) { p.MaxSequences = 1000 })
	now := time.Now()
	p.Fleet.Update(now, peers, map[string]bool{"z": true}, config)
	g.Expect(p.Pick(now, pool, nil)).To(BeNil())
	g.Expect(p.State(now, pool)).To(Equal(fleet.Down))
	p.Fleet.Update(now, peers, nil, config)
	n := 0
	for p.Pick(now, pool, nil) != nil {
		n++
	}
	g.Expect(n).To(BeNumerically("<=", 4*1.5+5))
}

// TestLeaving guards against work for an upstream that drains or that another
// process has replaced at its address.
func TestLeaving(t *testing.T) {
	g := NewWithT(t)
	p, peers, config := build(2, &core.PoolConfig{Name: "p"}, nil)
	now := time.Now()
	next := map[string]*core.ListedUpstream{}
	for id, old := range peers {
		c := *old
		c.Draining = id == "i-0"
		next[id] = &c
	}
	p.Fleet.Update(now, next, nil, config)
	for range 4 {
		g.Expect(p.Pick(now, config.Pools["p"], nil).ID).To(Equal("i-1"))
	}
	successor := *next["i-1"]
	successor.ID, successor.StartTime = "i-9", 99
	next["i-9"] = &successor
	p.Fleet.Update(now, next, nil, config)
	g.Expect(p.Pick(now, config.Pools["p"], nil).ID).To(Equal("i-9"))
}

// TestLostConnectionsPause guards against requests that go on to an upstream
// which loses all of them, and against one that is never tried again.
func TestLostConnectionsPause(t *testing.T) {
	g := NewWithT(t)
	p, _, config := build(1, &core.PoolConfig{Name: "p"}, nil)
	now := time.Now()
	for range 2 {
		p.Fleet.End(now, p.Pick(now, config.Pools["p"], nil), fleet.Lost)
	}
	g.Expect(p.Pick(now, config.Pools["p"], nil)).To(BeNil())
	g.Expect(p.Pick(now.Add(time.Second), config.Pools["p"], nil)).NotTo(BeNil())
}

// TestFailingUpstream guards against an upstream that fails fast and thereby
// draws the requests.
func TestFailingUpstream(t *testing.T) {
	g := NewWithT(t)
	p, _, config := build(2, &core.PoolConfig{Name: "p"}, nil)
	now := time.Now()
	count := map[string]int{}
	for range 100 {
		u := p.Pick(now, config.Pools["p"], nil)
		count[u.ID]++
		outcome := fleet.Sound
		if u.ID == "i-0" {
			outcome = fleet.Failed
		}
		p.Fleet.End(now, u, outcome)
	}
	g.Expect(count["i-0"]).To(BeNumerically("<", 10))
}

// TestGroupDown guards against requests to a group that runs no passes, against
// an old entry that opens it, and against an upstream's own refusal that is taken
// for the group's.
func TestGroupDown(t *testing.T) {
	g := NewWithT(t)
	pool := &core.PoolConfig{Name: "p", Engine: &core.EngineConfig{MaxSequences: 4}}
	p, peers, config := build(2, pool, func(i int, p *core.ListedUpstream) {
		p.Group = core.GroupMembership{Name: "g", Epoch: 3, Rank: i, Size: 2}
	})
	now := time.Now()
	u := p.Pick(now, pool, nil)
	p.Fleet.GroupDown(now, u, u.Conn.Addr.String())
	g.Expect(p.State(now, pool)).To(Equal(fleet.Free))
	p.Fleet.GroupDown(now, u, "10.9.9.9:1")
	g.Expect(p.Pick(now, pool, nil)).To(BeNil())
	g.Expect(p.State(now, pool)).To(Equal(fleet.Down))
	g.Expect(p.Fleet.DownGroups()).To(HaveKey("g"))
	p.Fleet.Update(now, peers, nil, config)
	g.Expect(p.Pick(now, pool, nil)).To(BeNil(), "the entries are of the epoch that has ended")
	next := map[string]*core.ListedUpstream{}
	for id, old := range peers {
		c := *old
		c.Group.Epoch = 4
		next[id] = &c
	}
	p.Fleet.Update(now, next, nil, config)
	g.Expect(p.Pick(now, pool, nil)).NotTo(BeNil())
}

// TestPauses guards against sequences that make the pauses of all streams too
// long, and against a limit that outlasts its cause.
func TestPauses(t *testing.T) {
	g := NewWithT(t)
	pool := &core.PoolConfig{Name: "p", Engine: &core.EngineConfig{MaxSequences: 12, StepsPerPass: 4, StepTime: 4550 * time.Microsecond, TimePerSequence: 905 * time.Microsecond}}
	p, _, _ := build(4, pool, nil)
	now := time.Now()
	fill := func() int {
		n := 0
		for p.Pick(now, pool, nil) != nil {
			n++
		}
		return n
	}
	for range 16 {
		g.Expect(p.Pick(now, pool, nil)).NotTo(BeNil())
	}
	// Four sequences a rank take 33 ms a pass if the experts are balanced; at
	// 110 ms no rank may take more.
	for range 50 {
		p.Fleet.ObservePause(now, "p", 110*time.Millisecond, 120*time.Millisecond)
	}
	g.Expect(fill()).To(BeZero())
	now = now.Add(time.Second)
	g.Expect(fill()).To(BeNumerically(">", 20), "no event for a second")
}

// TestSlowRank guards against work for a rank that slows its whole group, while
// others have places.
func TestSlowRank(t *testing.T) {
	g := NewWithT(t)
	pool := &core.PoolConfig{Name: "p", Engine: &core.EngineConfig{MaxSequences: 4}}
	p, _, _ := build(2, pool, nil)
	now := time.Now()
	slow := p.Pick(now, pool, nil)
	p.Fleet.End(now, slow, fleet.Sound)
	p.Fleet.Beat(nil, map[uint64]float64{slow.Key: 5})
	for range 7 {
		g.Expect(p.Pick(now, pool, nil)).NotTo(Equal(slow))
	}
	g.Expect(p.Pick(now, pool, nil)).To(Equal(slow), "it is better than none")
	g.Expect(p.Pick(now, pool, nil)).To(BeNil())
}
