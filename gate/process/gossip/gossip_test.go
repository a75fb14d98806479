package gossip_test

import (
	"context"
	"math"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/core/wire"
	"parsleyroute.example/gate/process/gossip"
)

// gate returns a gate's gossip before its start.
func gate(t *testing.T, name string, seeds ...netip.AddrPort) *gossip.Gossip {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(c.LocalAddr().String())
	_ = c.Close()
	return &gossip.Gossip{
		Listen: addr, Seeds: seeds, Instance: name, Incarnation: uint64(len(name)),
		Loads:          func() map[uint64]int { return nil },
		Paces:          func() map[uint64]float64 { return map[uint64]float64{uint64(len(name)): 2.5} },
		KnownRevisions: func() []*wire.KindRevision { return nil },
		Leaving:        func() bool { return false }, Watching: func() bool { return true }, OnHeartbeat: func(netip.AddrPort, *wire.Beat) {},
	}
}

// run starts a gate's gossip and returns its end.
func run(t *testing.T, g *gossip.Gossip) func() {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = g.Run(ctx) }()
	stop := func() { cancel(); <-done }
	t.Cleanup(stop)
	return stop
}

// node starts a gate's gossip with a load and returns its end.
func node(t *testing.T, name string, load map[uint64]int, seeds ...netip.AddrPort) (*gossip.Gossip, func()) {
	t.Helper()
	g := gate(t, name, seeds...)
	g.Loads = func() map[uint64]int { return load }
	return g, run(t, g)
}

// TestGatesFindEachOther guards against gates that only know their seeds, loads
// that are not added up or that outlast their gate, and budgets that grow at once
// when a gate is cut off.
func TestGatesFindEachOther(t *testing.T) {
	g := NewWithT(t)
	a, _ := node(t, "a", map[uint64]int{1: 2})
	b, stopB := node(t, "bb", map[uint64]int{1: 3, 2: 1}, a.Listen)
	c, _ := node(t, "ccc", nil, a.Listen, netip.MustParseAddrPort("127.0.0.1:1"))
	g.Eventually(func() map[uint64]int { return c.RemoteLoads() }, "3s").Should(Equal(map[uint64]int{1: 5, 2: 1}))
	g.Eventually(func() map[uint64]int { return a.RemoteLoads() }, "3s").Should(Equal(map[uint64]int{1: 3, 2: 1}))
	g.Expect(c.RemotePaces()).To(Equal(map[uint64]float64{1: 2.5, 2: 2.5}))
	g.Expect(c.Presence("bb")).To(Equal(gossip.Presence{Known: true, Incarnation: 2, Alive: true}))
	g.Expect(c.Presence("dddd")).To(Equal(gossip.Presence{}))
	first := 0
	for _, n := range []*gossip.Gossip{a, b, c} {
		if n.AmongLowest(1) {
			first++
		}
	}
	g.Expect(first).To(Equal(1))
	leads := func() int {
		n := 0
		for _, gate := range []*gossip.Gossip{a, b, c} {
			if gate.ShouldWatch() {
				n++
			}
		}
		return n
	}
	g.Eventually(leads, "1s").Should(Equal(2), "gates that follow the store")
	g.Consistently(leads, "500ms").Should(Equal(2), "gates that follow the store")
	time.Sleep(3 * time.Second)
	g.Expect(c.GateCount()).To(Equal(3))
	stopB()
	g.Eventually(func() map[uint64]int { return c.RemoteLoads() }, "3s").Should(Equal(map[uint64]int{1: 2}))
	g.Expect(c.GateCount()).To(Equal(3), "a silent gate may still be sending")
	g.Eventually(func() gossip.Presence { return c.Presence("bb") }, "4s").Should(Equal(gossip.Presence{Known: true, Incarnation: 2, Silent: true}))
}

// TestChangedLoad guards against gates that choose by loads of up to a period
// ago, and against as many beats as there are changes.
func TestChangedLoad(t *testing.T) {
	g := NewWithT(t)
	var load atomic.Int64
	a := gate(t, "a")
	a.Loads = func() map[uint64]int { return map[uint64]int{1: int(load.Load())} }
	b := gate(t, "b", a.Listen)
	var beats atomic.Int64
	b.OnHeartbeat = func(netip.AddrPort, *wire.Beat) { beats.Add(1) }
	run(t, a)
	run(t, b)
	g.Eventually(b.GateCount, "3s").Should(Equal(8), "gates assumed at the start")
	g.Eventually(func() int64 { return beats.Load() }, "3s").Should(BeNumerically(">", 2))
	sooner := 0
	for i := range 20 {
		load.Store(int64(i + 1))
		a.LoadChanged()
		start := time.Now()
		g.Eventually(func() int { return b.RemoteLoads()[1] }, "1s", "1ms").Should(Equal(i + 1))
		if time.Since(start) < 60*time.Millisecond {
			sooner++
		}
	}
	g.Expect(sooner).To(BeNumerically(">=", 17), "changes known well within a period")
	before := beats.Load()
	for range 200 {
		a.LoadChanged()
		time.Sleep(time.Millisecond)
	}
	g.Expect(beats.Load() - before).To(BeNumerically("<=", 16))
}

// TestManyLoads guards against beats that are not sent since the loads of all
// back ends do not fit into a datagram.
func TestManyLoads(t *testing.T) {
	g := NewWithT(t)
	loads := map[uint64]int{}
	for i := range uint64(3000) {
		loads[math.MaxUint64-i] = 1
	}
	a := gate(t, "a")
	a.Loads = func() map[uint64]int { return loads }
	b := gate(t, "b", a.Listen)
	run(t, a)
	run(t, b)
	g.Eventually(func() int { return len(b.RemoteLoads()) }, "3s").Should(BeNumerically(">", 300))
}

// TestCutOff guards against a gate that takes the leader for ended although it
// is itself cut off with few others, and then takes its lease when it is back.
func TestCutOff(t *testing.T) {
	g := NewWithT(t)
	a, _ := node(t, "a", nil)
	names := []string{"bb", "ccc", "dddd", "eeeee"}
	stops := map[string]func(){}
	for _, n := range names {
		_, stops[n] = node(t, n, nil, a.Listen)
	}
	for _, n := range names {
		g.Eventually(func() bool { return a.Presence(n).Alive }, "3s").Should(BeTrue(), n)
	}
	for _, n := range names[1:] {
		stops[n]()
	}
	g.Eventually(func() bool { return a.Presence("eeeee").Alive }, "3s").Should(BeFalse())
	g.Consistently(func() bool { return a.Presence("eeeee").Silent }, "500ms").Should(BeFalse(), "one of three others is heard")
}

// TestWatchers guards against gates of one zone that follow the store beside
// those of other zones, each of which costs calls, and against a zone without
// one.
func TestWatchers(t *testing.T) {
	g := NewWithT(t)
	zones := []string{"x", "x", "x", "y", "y", "z"}
	list := make([]*gossip.Gossip, 0, len(zones))
	var seed []netip.AddrPort
	for i, z := range zones {
		n := gate(t, "gate"+strings.Repeat("+", i), seed...)
		n.Zone = z
		n.Watching = func() bool { return n.ShouldWatch() }
		seed = []netip.AddrPort{n.Listen}
		if i > 0 {
			seed = []netip.AddrPort{list[0].Listen}
		}
		list = append(list, n)
	}
	for _, n := range list {
		run(t, n)
	}
	watchers := func() map[string]int {
		m := map[string]int{}
		for _, n := range list {
			if n.ShouldWatch() {
				m[n.Zone]++
			}
		}
		return m
	}
	g.Eventually(watchers, "6s", "100ms").Should(Equal(map[string]int{"x": 1, "y": 1, "z": 1}))
	g.Consistently(watchers, "1s", "100ms").Should(Equal(map[string]int{"x": 1, "y": 1, "z": 1}))
}

// TestRegisteredGates guards against budgets of gates that all start at once and
// each assume too few others.
func TestRegisteredGates(t *testing.T) {
	g := NewWithT(t)
	a := gate(t, "a")
	g.Expect(a.GateCount()).To(Equal(8), "before the first beat")
	run(t, a)
	g.Expect(a.GateCount()).To(Equal(8))
	a.SetRegisteredGates(36)
	g.Expect(a.GateCount()).To(Equal(36))
	g.Eventually(a.GateCount, "4s").Should(Equal(1))
}

// TestWatchersOneByOne guards against gates that all call the store at once when
// the first of their zone cannot reach it, and against a zone whose next gate
// does not take over soon.
func TestWatchersOneByOne(t *testing.T) {
	g := NewWithT(t)
	const gates = 5
	var seed []netip.AddrPort
	var calls [gates]atomic.Bool
	list := make([]*gossip.Gossip, 0, gates)
	for i := range gates {
		n := gate(t, "gate"+strings.Repeat("+", i), seed...)
		n.Zone = "x"
		n.Watching = func() bool { return false }
		if i == 0 {
			seed = []netip.AddrPort{n.Listen}
		}
		list = append(list, n)
	}
	start := time.Now()
	for i, n := range list {
		run(t, n)
		go func() {
			for t.Context().Err() == nil {
				calls[i].Store(n.ShouldWatch())
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	count := func() int {
		c := 0
		for i := range calls {
			if calls[i].Load() {
				c++
			}
		}
		return c
	}
	// At the start a gate has not heard of those before it.
	time.Sleep(1200*time.Millisecond - time.Since(start))
	g.Expect(count()).To(Equal(3))
	g.Eventually(count, "4s").Should(Equal(gates))
}

// TestSeedsFirst guards against gates that all call the store for the lease when
// they start together.
func TestSeedsFirst(t *testing.T) {
	g := NewWithT(t)
	a := gate(t, "a")
	a.Seeds = []netip.AddrPort{a.Listen}
	b := gate(t, "b", a.Listen)
	run(t, a)
	run(t, b)
	g.Expect(a.AmongLowest(2)).To(BeTrue())
	g.Expect(b.AmongLowest(2)).To(BeFalse())
	g.Eventually(func() bool { return b.AmongLowest(2) }, "1s").Should(BeTrue())
}
