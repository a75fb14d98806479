package gossip_test

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"parsleyroute.example/core/wire"
	"parsleyroute.example/gate/process/gossip"
	"parsleyroute.example/gate/process/policy"
)

// Guards against gates that each need a crash of their own to contain a part, and
// against parts that stay contained although another gate knows that upstreams respond to them.
func TestCrashesReachOtherGates(t *testing.T) {
	g := NewWithT(t)
	a, b := newGossip(t, "a"), newGossip(t, "bb")
	b.Seeds = append(b.Seeds, a.Listen)
	a.Containment, b.Containment = &policy.Containment{}, &policy.Containment{}
	startGossip(t, a)
	startGossip(t, b)
	const crashing, harmless = 7, 8
	a.Containment.Observe(policy.Crash{ID: 1, Upstream: 1, Parts: []uint64{crashing}, At: time.Now()})
	a.Announce()
	contained := func(part uint64) func() bool {
		return func() bool {
			return b.Containment.Check(time.Now(), policy.Request{Parts: []uint64{part}}, b.Position()).Contained
		}
	}
	g.Eventually(contained(crashing), "3s").Should(BeTrue())
	b.Containment.Success(time.Now(), harmless)
	a.Containment.Observe(policy.Crash{ID: 2, Upstream: 2, Parts: []uint64{harmless}, At: time.Now()})
	g.Eventually(func() bool {
		return a.Containment.Check(time.Now(), policy.Request{Parts: []uint64{harmless}}, a.Position()).Contained
	}, "3s").Should(BeFalse())
	g.Consistently(contained(crashing), "300ms").Should(BeTrue())
}

// Guards against two gates that have their turn at the same time.
func TestPositions(t *testing.T) {
	g := NewWithT(t)
	a := newGossip(t, "a")
	b, c := newGossip(t, "bb", a.Listen), newGossip(t, "ccc", a.Listen)
	gates := []*gossip.Gossip{a, b, c}
	for _, gate := range gates {
		startGossip(t, gate)
	}
	g.Eventually(func() map[policy.Position]bool {
		positions := map[policy.Position]bool{}
		for _, gate := range gates {
			positions[gate.Position()] = true
		}
		return positions
	}, "3s").Should(Equal(map[policy.Position]bool{{Index: 0, Gates: 3}: true, {Index: 1, Gates: 3}: true, {Index: 2, Gates: 3}: true}))
}

// Guards against heartbeats that are never sent because many crashes make them too
// large.
func TestHeartbeatWithManyCrashes(t *testing.T) {
	g := NewWithT(t)
	a, b := newGossip(t, "a"), newGossip(t, "bb")
	b.Seeds = append(b.Seeds, a.Listen)
	a.Containment, b.Containment = &policy.Containment{}, &policy.Containment{}
	loads := map[uint64]int{}
	for i := range uint64(400) {
		loads[i<<40] = 1000
	}
	a.Loads = func() map[uint64]int { return loads }
	now := time.Now()
	for i := range uint64(64) {
		parts := make([]uint64, 32)
		for j := range parts {
			parts[j] = i<<32 | uint64(j)<<8
		}
		a.Containment.Observe(policy.Crash{ID: i + 1, Upstream: i + 1, Parts: parts, At: now})
	}
	startGossip(t, a)
	startGossip(t, b)
	g.Eventually(func() int { return len(b.Containment.Crashes(time.Now())) }, "3s").Should(BeNumerically(">", 0))
	g.Eventually(func() int { return len(b.RemoteLoads()) }, "3s").Should(BeNumerically(">", 0))
}

// Guards against a part that crashes upstreams and is cleared by a success from before the
// crash, which a gate reports as new when it wakes whose clock stood still.
func TestSuccessOfWokenGate(t *testing.T) {
	g := NewWithT(t)
	a := newGossip(t, "a")
	a.Containment = &policy.Containment{}
	startGossip(t, a)
	conn, err := net.Dial("udp", a.Listen.String())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	var sequence uint64
	send := func(successes ...*wire.PartSuccess) {
		sequence++
		data, err := proto.Marshal(&wire.Beat{Instance: "frozen", Incarnation: 1, Sequence: sequence, Address: conn.LocalAddr().String(), Successes: successes})
		g.Expect(err).NotTo(HaveOccurred())
		// The first datagrams may arrive before the gate listens.
		_, _ = conn.Write(data)
	}
	g.Eventually(func() bool { send(); return a.Presence("frozen").Known }, "3s", "20ms").Should(BeTrue())
	time.Sleep(100 * time.Millisecond) // until the last datagram has arrived
	const part = 9
	time.Sleep(800 * time.Millisecond)
	a.Containment.Observe(policy.Crash{ID: 1, Upstream: 1, Parts: []uint64{part}, At: time.Now()})
	time.Sleep(20 * time.Millisecond)
	contained := func() bool {
		return a.Containment.Check(time.Now(), policy.Request{Parts: []uint64{part}}, policy.Position{Gates: 1}).Contained
	}
	g.Expect(contained()).To(BeTrue())
	send(&wire.PartSuccess{Part: part, AgeMs: 5})
	time.Sleep(100 * time.Millisecond)
	g.Expect(a.Containment.Crashes(time.Now())).To(HaveLen(1), "the crash still has a suspect part")
	time.Sleep(50 * time.Millisecond)
	send(&wire.PartSuccess{Part: part, AgeMs: 5})
	g.Eventually(func() []policy.Crash { return a.Containment.Crashes(time.Now()) }, "1s").Should(BeEmpty(), "a success since it woke")
}
