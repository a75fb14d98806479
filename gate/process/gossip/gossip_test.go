package gossip_test

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"parsleyroute.example/core/wire"
	"parsleyroute.example/gate/process/fleet"
	"parsleyroute.example/gate/process/gossip"
)

// newGossip returns the gossip of a gate, which is not running yet.
func newGossip(t *testing.T, name string, seeds ...netip.AddrPort) *gossip.Gossip {
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
		Slowdowns:      func() map[uint64]float64 { return map[uint64]float64{uint64(len(name)): 2.5} },
		KnownRevisions: func() []*wire.KindRevision { return nil },
		Leaving:        func() bool { return false }, Watching: func() bool { return true }, OnHeartbeat: func(netip.AddrPort, *wire.Beat) {},
	}
}

// startGossip runs the gossip of a gate and returns a function that stops it.
func startGossip(t *testing.T, g *gossip.Gossip) func() {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = g.Run(ctx) }()
	stop := func() { cancel(); <-done }
	t.Cleanup(stop)
	return stop
}

// startGate runs the gossip of a gate with a constant load. It returns the gossip
// and a function that stops it.
func startGate(t *testing.T, name string, load map[uint64]int, seeds ...netip.AddrPort) (*gossip.Gossip, func()) {
	t.Helper()
	g := newGossip(t, name, seeds...)
	g.Loads = func() map[uint64]int { return load }
	return g, startGossip(t, g)
}

// TestGatesFindEachOther guards against gates that know only their seeds, loads
// that are not summed or that are kept after their gate has ended, and shares of
// common limits that grow as soon as a gate is disconnected.
func TestGatesFindEachOther(t *testing.T) {
	g := NewWithT(t)
	a, _ := startGate(t, "a", map[uint64]int{1: 2})
	b, stopB := startGate(t, "bb", map[uint64]int{1: 3, 2: 1}, a.Listen)
	c, _ := startGate(t, "ccc", nil, a.Listen, netip.MustParseAddrPort("127.0.0.1:1"))
	g.Eventually(func() map[uint64]int { return c.RemoteLoads() }, "3s").Should(Equal(map[uint64]int{1: 5, 2: 1}))
	g.Eventually(func() map[uint64]int { return a.RemoteLoads() }, "3s").Should(Equal(map[uint64]int{1: 3, 2: 1}))
	g.Expect(c.RemoteSlowdowns()).To(Equal(map[uint64]float64{1: 2.5, 2: 2.5}))
	g.Expect(c.Presence("bb")).To(Equal(gossip.Presence{Known: true, Incarnation: 2, Alive: true}))
	g.Expect(c.Presence("dddd")).To(Equal(gossip.Presence{}))
	for _, n := range []*gossip.Gossip{a, b, c} {
		for _, name := range []string{"a", "bb", "ccc"} {
			if name != n.Instance {
				// b hears of c only through a, so its address may be unknown to b until now.
				g.Eventually(func() bool { return n.Presence(name).Known }, "3s").Should(BeTrue(), n.Instance+" hears "+name)
			}
		}
	}
	lowest := 0
	for _, n := range []*gossip.Gossip{a, b, c} {
		if n.AmongLowestAddresses(1) {
			lowest++
		}
	}
	g.Expect(lowest).To(Equal(1))
	watcherCount := func() int {
		n := 0
		for _, gate := range []*gossip.Gossip{a, b, c} {
			if gate.ShouldWatch() {
				n++
			}
		}
		return n
	}
	g.Eventually(watcherCount, "1s").Should(Equal(2), "gates that watch the store")
	g.Consistently(watcherCount, "500ms").Should(Equal(2), "gates that watch the store")
	time.Sleep(3 * time.Second)
	g.Expect(c.GateCount()).To(Equal(3))
	stopB()
	g.Eventually(func() map[uint64]int { return c.RemoteLoads() }, "3s").Should(Equal(map[uint64]int{1: 2}))
	g.Expect(c.GateCount()).To(Equal(3), "a silent gate may still send requests")
	g.Eventually(func() gossip.Presence { return c.Presence("bb") }, "4s").Should(Equal(gossip.Presence{Known: true, Incarnation: 2, Silent: true}))
}

// TestChangedLoad guards against loads that are reported only after a heartbeat
// interval, and against sending a heartbeat for each change.
func TestChangedLoad(t *testing.T) {
	g := NewWithT(t)
	var load atomic.Int64
	a := newGossip(t, "a")
	a.Loads = func() map[uint64]int { return map[uint64]int{1: int(load.Load())} }
	b := newGossip(t, "b", a.Listen)
	var beats atomic.Int64
	b.OnHeartbeat = func(netip.AddrPort, *wire.Beat) { beats.Add(1) }
	startGossip(t, a)
	startGossip(t, b)
	// GateCount returns at least minStartupGates during startupPeriod.
	g.Eventually(b.GateCount, "3s").Should(Equal(8), "gates assumed at the start")
	g.Eventually(func() int64 { return beats.Load() }, "3s").Should(BeNumerically(">", 2))
	fast := 0
	for i := range 20 {
		load.Store(int64(i + 1))
		a.LoadChanged()
		start := time.Now()
		g.Eventually(func() int { return b.RemoteLoads()[1] }, "1s", "1ms").Should(Equal(i + 1))
		if time.Since(start) < 60*time.Millisecond {
			fast++
		}
	}
	g.Expect(fast).To(BeNumerically(">=", 17), "changes received well within a heartbeat interval")
	before := beats.Load()
	for range 200 {
		a.LoadChanged()
		time.Sleep(time.Millisecond)
	}
	g.Expect(beats.Load() - before).To(BeNumerically("<=", 16))
}

// TestManyLoads guards against heartbeats that are not sent because the loads of
// all upstreams do not fit into a datagram.
func TestManyLoads(t *testing.T) {
	g := NewWithT(t)
	loads := map[uint64]int{}
	for i := range uint64(3000) {
		loads[math.MaxUint64-i] = 1
	}
	a := newGossip(t, "a")
	a.Loads = func() map[uint64]int { return loads }
	b := newGossip(t, "b", a.Listen)
	startGossip(t, a)
	startGossip(t, b)
	g.Eventually(func() int { return len(b.RemoteLoads()) }, "3s").Should(BeNumerically(">", 300))
}

// TestPartitionedGate guards against a gate that takes the leader's process to
// have ended although the gate itself is disconnected from most gates, and that
// then acquires the lease of the leader when it is connected again.
func TestPartitionedGate(t *testing.T) {
	g := NewWithT(t)
	a, _ := startGate(t, "a", nil)
	names := []string{"bb", "ccc", "dddd", "eeeee"}
	stops := map[string]func(){}
	for _, n := range names {
		_, stops[n] = startGate(t, n, nil, a.Listen)
	}
	for _, n := range names {
		g.Eventually(func() bool { return a.Presence(n).Alive }, "3s").Should(BeTrue(), n)
	}
	for _, n := range names[1:] {
		stops[n]()
	}
	g.Eventually(func() bool { return a.Presence("eeeee").Alive }, "3s").Should(BeFalse())
	g.Consistently(func() bool { return a.Presence("eeeee").Silent }, "500ms").Should(BeFalse(), "only one of three other gates is alive")
}

// fakePeer sends heartbeats of a gate at the times that a test chooses.
type fakePeer struct {
	conn *net.UDPConn
	to   netip.AddrPort
	beat *wire.Beat
}

func newFakePeer(t *testing.T, name string, to netip.AddrPort) *fakePeer {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &fakePeer{conn: c, to: to, beat: &wire.Beat{Instance: name, Incarnation: 1, Address: c.LocalAddr().String()}}
}

func (p *fakePeer) send(t *testing.T) {
	t.Helper()
	p.beat.Sequence++
	data, err := proto.Marshal(p.beat)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.conn.WriteToUDPAddrPort(data, p.to); err != nil {
		t.Fatal(err)
	}
}

// TestUnevenLastHeartbeats guards against a disconnected gate that takes the leader
// to have ended because it last heard the other gates somewhat later than the
// leader, and against a leader that is never found silent.
func TestUnevenLastHeartbeats(t *testing.T) {
	for _, disconnected := range []bool{true, false} {
		g := NewWithT(t)
		a, _ := startGate(t, "a", nil)
		leader := newFakePeer(t, "leader", a.Listen)
		others := []*fakePeer{newFakePeer(t, "x", a.Listen), newFakePeer(t, "y", a.Listen), newFakePeer(t, "z", a.Listen)}
		// The loopback network delivers datagrams to a socket that exists.
		g.Eventually(func() bool { leader.send(t); return a.Presence("leader").Alive }, "3s", "50ms").Should(BeTrue())
		silent := false
		for start := time.Now(); time.Since(start) < 1600*time.Millisecond; time.Sleep(20 * time.Millisecond) {
			if !disconnected || time.Since(start) < 400*time.Millisecond {
				for _, p := range others {
					p.send(t)
				}
			}
			silent = silent || a.Presence("leader").Silent
		}
		g.Expect(silent).To(Equal(!disconnected), "disconnected: %t", disconnected)
	}
}

// TestOneWatcherPerZone guards against more than one watcher in a zone, since each
// watcher adds calls to the store, and against a zone without a watcher.
func TestOneWatcherPerZone(t *testing.T) {
	g := NewWithT(t)
	zones := []string{"x", "x", "x", "y", "y", "z"}
	list := make([]*gossip.Gossip, 0, len(zones))
	var seed []netip.AddrPort
	for i, z := range zones {
		n := newGossip(t, "gate"+strings.Repeat("+", i), seed...)
		n.Zone = z
		n.Watching = func() bool { return n.ShouldWatch() }
		seed = []netip.AddrPort{n.Listen}
		if i > 0 {
			seed = []netip.AddrPort{list[0].Listen}
		}
		list = append(list, n)
	}
	for _, n := range list {
		startGossip(t, n)
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

// TestRegisteredGates guards against gates that all start together and use too
// large a share of common limits because each assumes too few other gates.
func TestRegisteredGates(t *testing.T) {
	g := NewWithT(t)
	a := newGossip(t, "a")
	g.Expect(a.GateCount()).To(Equal(8), "before the first heartbeat")
	startGossip(t, a)
	g.Expect(a.GateCount()).To(Equal(8))
	names := []string{"a"}
	for i := range 35 {
		names = append(names, fmt.Sprintf("other-%d", i))
	}
	a.SetRegisteredGates(names)
	g.Expect(a.GateCount()).To(Equal(36))
	g.Eventually(a.GateCount, "4s").Should(Equal(1))
}

// TestWatcherTakeover guards against all gates of a zone calling the store at the
// same time when the first of them cannot reach it, and against a long delay until
// the next gate tries.
func TestWatcherTakeover(t *testing.T) {
	g := NewWithT(t)
	const gates = 5
	var seed []netip.AddrPort
	var calls [gates]atomic.Bool
	list := make([]*gossip.Gossip, 0, gates)
	for i := range gates {
		n := newGossip(t, "gate"+strings.Repeat("+", i), seed...)
		n.Zone = "x"
		n.Watching = func() bool { return false }
		if i == 0 {
			seed = []netip.AddrPort{n.Listen}
		}
		list = append(list, n)
	}
	start := time.Now()
	for i, n := range list {
		startGossip(t, n)
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
	// The first heartbeats must have arrived. By the takeover delays the first three
	// gates have started to watch after 600 ms, the fourth does so after 1600 ms.
	time.Sleep(1200*time.Millisecond - time.Since(start))
	g.Expect(count()).To(Equal(3))
	g.Eventually(count, "4s").Should(Equal(gates))
}

// TestSeedsContendFirst guards against all gates trying to acquire the lease from
// the store when they start together.
func TestSeedsContendFirst(t *testing.T) {
	g := NewWithT(t)
	a := newGossip(t, "a")
	a.Seeds = []netip.AddrPort{a.Listen}
	b := newGossip(t, "b", a.Listen)
	startGossip(t, a)
	startGossip(t, b)
	g.Expect(a.AmongLowestAddresses(2)).To(BeTrue())
	g.Expect(b.AmongLowestAddresses(2)).To(BeFalse())
	g.Eventually(func() bool { return b.AmongLowestAddresses(2) }, "1s").Should(BeTrue())
}

// Guards against gates that do not learn within half a second of a limit named to another one.
func TestLimitsReachOtherGates(t *testing.T) {
	g := NewWithT(t)
	a, b, c := newGossip(t, "a"), newGossip(t, "bb"), newGossip(t, "ccc")
	b.Seeds, c.Seeds = append(b.Seeds, a.Listen), append(c.Seeds, a.Listen)
	var limit atomic.Pointer[fleet.UpstreamLimit]
	a.Limits = func() []fleet.UpstreamLimit {
		if l := limit.Load(); l != nil {
			return []fleet.UpstreamLimit{*l}
		}
		return nil
	}
	for _, gate := range []*gossip.Gossip{a, b, c} {
		startGossip(t, gate)
	}
	g.Eventually(func() int { return c.GateCount() }, "5s").Should(Equal(3))
	learned := func(gate *gossip.Gossip) func() []float64 {
		return func() []float64 {
			rates := []float64{}
			for _, l := range gate.RemoteLimits() {
				rates = append(rates, l.PerSecond)
			}
			return rates
		}
	}
	limit.Store(&fleet.UpstreamLimit{Key: 7, StartTime: 3, PerSecond: 1.5, At: time.Now()})
	a.Announce()
	g.Eventually(learned(b), "500ms", "10ms").Should(Equal([]float64{1.5}))
	g.Eventually(learned(c), "500ms", "10ms").Should(Equal([]float64{1.5}))
	l := c.RemoteLimits()[0]
	g.Expect(l.Key).To(BeEquivalentTo(7))
	g.Expect(l.StartTime).To(BeEquivalentTo(3))
	g.Expect(l.At).To(BeTemporally("~", limit.Load().At, 100*time.Millisecond))
	limit.Store(&fleet.UpstreamLimit{Key: 7, StartTime: 3, PerSecond: math.Inf(1), At: time.Now()})
	g.Eventually(learned(b), "500ms", "10ms").Should(Equal([]float64{math.Inf(1)}))
	limit.Store(nil)
	g.Eventually(learned(b), "500ms", "10ms").Should(BeEmpty())
}

// Guards against heartbeats that are never sent because many limits make them too large.
func TestHeartbeatWithManyLimits(t *testing.T) {
	g := NewWithT(t)
	a, b := newGossip(t, "a"), newGossip(t, "bb")
	b.Seeds = append(b.Seeds, a.Listen)
	limits := make([]fleet.UpstreamLimit, 600)
	for i := range limits {
		limits[i] = fleet.UpstreamLimit{Key: math.MaxUint64 - uint64(i), StartTime: math.MaxInt64, PerSecond: 1.5, At: time.Now().Add(-time.Hour)}
	}
	a.Limits = func() []fleet.UpstreamLimit { return limits }
	a.Loads = func() map[uint64]int {
		loads := map[uint64]int{}
		for i := range uint64(400) {
			loads[i<<40] = 1000
		}
		return loads
	}
	startGossip(t, a)
	startGossip(t, b)
	g.Eventually(func() int { return len(b.RemoteLimits()) }, "3s").Should(BeNumerically(">=", 100))
	g.Eventually(func() int { return len(b.RemoteLoads()) }, "3s").Should(BeNumerically(">", 0))
}

// Guards against an older limit that replaces newer ones when a gate wakes whose clock stood still.
func TestLimitOfWokenGate(t *testing.T) {
	g := NewWithT(t)
	a := newGossip(t, "a")
	startGossip(t, a)
	conn, err := net.Dial("udp", a.Listen.String())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	rate := 5.0
	var sequence uint64
	send := func() {
		sequence++
		data, err := proto.Marshal(&wire.Beat{
			Instance: "frozen", Incarnation: 1, Sequence: sequence, Address: conn.LocalAddr().String(),
			Limits: []*wire.UpstreamLimit{{Key: 7, Rate: &rate, AgeMs: 50}},
		})
		g.Expect(err).NotTo(HaveOccurred())
		// The first datagrams may arrive before the gate listens.
		_, _ = conn.Write(data)
	}
	g.Eventually(func() int { send(); return len(a.RemoteLimits()) }, "3s", "20ms").Should(Equal(1))
	time.Sleep(100 * time.Millisecond) // until the last datagram has arrived
	frozen := time.Now()
	time.Sleep(1500 * time.Millisecond)
	send()
	g.Consistently(func() bool { return a.RemoteLimits()[0].At.After(frozen) }, "300ms", "5ms").Should(BeFalse())
}

// Guards against gates that go on sending to an upstream which has told another gate that it
// leaves, also if they start after that gate has ended.
func TestDeparturesReachOtherGates(t *testing.T) {
	g := NewWithT(t)
	a, b, c := newGossip(t, "a"), newGossip(t, "bb"), newGossip(t, "ccc")
	a.Seeds, c.Seeds = append(a.Seeds, b.Listen), append(c.Seeds, b.Listen)
	departed := []fleet.Departure{{Key: 7, StartTime: 3}}
	a.Departures = func() []fleet.Departure { return departed }
	b.Departures = b.RemoteDepartures
	startGossip(t, b)
	stop := startGossip(t, a)
	g.Eventually(b.RemoteDepartures, "3s", "10ms").Should(ContainElement(departed[0]))
	stop()
	startGossip(t, c)
	g.Eventually(c.RemoteDepartures, "3s", "10ms").Should(ContainElement(departed[0]))
}
