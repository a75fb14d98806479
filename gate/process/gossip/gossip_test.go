package gossip_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/core/wire"
	"parsleyroute.example/gate/process/gossip"
)

// node starts a gate's gossip and returns its end.
func node(t *testing.T, name string, load map[uint64]int, seeds ...netip.AddrPort) (*gossip.Gossip, func()) {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(c.LocalAddr().String())
	_ = c.Close()
	g := &gossip.Gossip{
		Listen: addr, Seeds: seeds, Instance: name, Incarnation: uint64(len(name)),
		Load: func() map[uint64]int { return load }, Paces: func() map[uint64]float64 { return map[uint64]float64{uint64(len(name)): 2.5} }, Known: func() []*wire.KindRevision { return nil },
		Leaving: func() bool { return false }, Watching: func() bool { return true }, OnBeat: func(netip.AddrPort, *wire.Beat) {},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = g.Run(ctx) }()
	stop := func() { cancel(); <-done }
	t.Cleanup(stop)
	return g, stop
}

// TestGatesFindEachOther guards against gates that only know their seeds, loads
// that are not added up or that outlast their gate, and budgets that grow at once
// when a gate is cut off.
func TestGatesFindEachOther(t *testing.T) {
	g := NewWithT(t)
	a, _ := node(t, "a", map[uint64]int{1: 2})
	b, stopB := node(t, "bb", map[uint64]int{1: 3, 2: 1}, a.Listen)
	c, _ := node(t, "ccc", nil, a.Listen, netip.MustParseAddrPort("127.0.0.1:1"))
	g.Eventually(func() map[uint64]int { return c.Remote() }, "3s").Should(Equal(map[uint64]int{1: 5, 2: 1}))
	g.Eventually(func() map[uint64]int { return a.Remote() }, "3s").Should(Equal(map[uint64]int{1: 3, 2: 1}))
	g.Expect(c.SlowPaces()).To(Equal(map[uint64]float64{1: 2.5, 2: 2.5}))
	incarnation, known, silent := c.Present("bb")
	g.Expect(known).To(BeTrue())
	g.Expect(silent).To(BeFalse())
	g.Expect(incarnation).To(BeEquivalentTo(2))
	first := 0
	for _, n := range []*gossip.Gossip{a, b, c} {
		if n.First(1) {
			first++
		}
	}
	g.Expect(first).To(Equal(1))
	leads := 0
	for _, n := range []*gossip.Gossip{a, b, c} {
		if n.Leads() {
			leads++
		}
	}
	g.Expect(leads).To(Equal(2), "gates that follow the store")
	time.Sleep(3 * time.Second)
	g.Expect(c.Gates()).To(Equal(3))
	stopB()
	g.Eventually(func() map[uint64]int { return c.Remote() }, "3s").Should(Equal(map[uint64]int{1: 2}))
	g.Expect(c.Gates()).To(Equal(3), "a silent gate may still be sending")
	g.Eventually(func() bool { _, _, silent := c.Present("bb"); return silent }, "4s").Should(BeTrue())
}
