// Package gossip has the gates of a system find each other and tell each other
// their load. Each gate sends a datagram to each gate that it knows, several
// times a second.
package gossip

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/process/trail"
	"parsleyroute.example/core/wire"
)

const (
	// period is the time between two beats. A request stays at an upstream for
	// a few hundred milliseconds.
	period = 100 * time.Millisecond
	// perPeriod bounds the datagrams that a gate sends in a period: with more
	// peers, each hears from it less often.
	perPeriod = 16
	// freshLoad is the age up to which a peer's load counts.
	freshLoad = time.Second
	// lostAfter is the time without a beat after which a peer is reported lost.
	lostAfter = 2 * time.Second
	// memory is how long a silent peer is still counted as one that may be
	// sending, for the budgets that all gates share.
	memory = 30 * time.Second
	// startGates is the number of gates assumed for the first startTime, before
	// their beats have been heard.
	startGates = 8
	startTime  = 3 * time.Second
	// passedOn is the number of peers' addresses in a beat.
	passedOn = 4
	// maxDatagram bounds a beat.
	maxDatagram = 8 << 10
)

// Gossip exchanges beats. Its exported fields are set before Run.
type Gossip struct {
	// Listen is the address for datagrams and the one at which peers are served.
	Listen      netip.AddrPort
	Seeds       []netip.AddrPort
	Instance    string
	Zone        string
	Incarnation uint64
	Trail       *trail.Trail
	// Load and Known fill in a beat.
	Load  func() map[uint64]int
	Known func() []*wire.KindRevision
	// Watching reports whether the gate follows the store itself.
	Watching func() bool
	// Leaving reports whether the gate has begun to shut down.
	Leaving func() bool
	// OnBeat is called with the sender's address for each beat of a peer.
	OnBeat func(addr netip.AddrPort, b *wire.Beat)

	once      sync.Once
	announced chan struct{}

	mu      sync.Mutex
	conn    *net.UDPConn
	peers   map[netip.AddrPort]*peer
	started time.Time
}

type peer struct {
	heard time.Time
	beat  *wire.Beat
	lost  bool
}

// Add adds addresses at which gates may be.
func (g *Gossip) Add(addrs ...netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.add(addrs)
}

func (g *Gossip) add(addrs []netip.AddrPort) {
	if g.peers == nil {
		g.peers = map[netip.AddrPort]*peer{}
	}
	for _, a := range addrs {
		if a.IsValid() && a != g.Listen && g.peers[a] == nil {
			g.peers[a] = &peer{heard: time.Now(), lost: true}
		}
	}
}

// Run exchanges beats until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(g.Listen))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	g.mu.Lock()
	g.conn, g.started = conn, time.Now()
	g.add(g.Seeds)
	g.mu.Unlock()
	done := make(chan struct{})
	go func() { defer close(done); g.receive(conn) }()
	tick := time.NewTicker(period)
	defer tick.Stop()
	var sequence uint64
	for {
		sequence++
		select {
		case <-ctx.Done():
			_ = conn.Close()
			<-done
			return nil
		case <-tick.C:
			g.send(sequence, perPeriod)
		case <-g.news():
			g.send(sequence, math.MaxInt)
		}
	}
}

// Announce has a beat sent to all peers at once, since there is something new.
func (g *Gossip) Announce() {
	select {
	case g.news() <- struct{}{}:
	default:
	}
}

func (g *Gossip) news() chan struct{} {
	g.once.Do(func() { g.announced = make(chan struct{}, 1) })
	return g.announced
}

// send sends a beat to at most most peers.
func (g *Gossip) send(sequence uint64, most int) {
	b := &wire.Beat{
		Instance: g.Instance, Incarnation: g.Incarnation, Zone: g.Zone, Sequence: sequence,
		Address: g.Listen.String(), Known: g.Known(), Leaving: g.Leaving(), Watching: g.Watching(),
	}
	for key, n := range g.Load() {
		b.Loads = append(b.Loads, &wire.UpstreamLoad{Key: key, Inflight: uint32(n)})
	}
	to, live := g.targets(sequence, most)
	b.Peers = live
	data, err := proto.Marshal(b)
	if err != nil || len(data) > maxDatagram {
		meter.Event("beat_errors")
		return
	}
	for _, a := range to {
		if _, err := g.conn.WriteToUDPAddrPort(data, a); err != nil {
			meter.Event("beat_errors")
		}
	}
}

// silentEvery is the number of periods between beats to peers that do not
// answer.
const silentEvery = 5

// targets returns the peers that get this beat, and some that are alive.
func (g *Gossip) targets(sequence uint64, most int) (to []netip.AddrPort, live []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	all := make([]netip.AddrPort, 0, len(g.peers))
	for a, p := range g.peers {
		silent := now.Sub(p.heard)
		switch {
		case silent > memory && !g.seed(a):
			delete(g.peers, a)
			continue
		case silent > lostAfter && !p.lost:
			p.lost = true
			g.Trail.Log("peer_lost", "peer", a, "silent", silent)
		}
		if p.lost && sequence%silentEvery != 0 {
			continue
		}
		all = append(all, a)
		if !p.lost {
			live = append(live, a.String())
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return all[:min(len(all), most)], live[:min(len(live), passedOn)]
}

func (g *Gossip) seed(a netip.AddrPort) bool {
	for _, s := range g.Seeds {
		if s == a {
			return true
		}
	}
	return false
}

func (g *Gossip) receive(conn *net.UDPConn) {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if isClosed(err) {
				return
			}
			meter.Event("beat_errors")
			time.Sleep(period)
			continue
		}
		b := &wire.Beat{}
		addr := netip.AddrPort{}
		if err := proto.Unmarshal(buf[:n], b); err == nil {
			addr, err = netip.ParseAddrPort(b.GetAddress())
			if err != nil || addr == g.Listen {
				continue
			}
		} else {
			meter.Event("beat_errors")
			continue
		}
		if g.heard(addr, b) {
			g.OnBeat(addr, b)
		}
	}
}

// heard takes note of a beat and reports whether it is newer than the last.
func (g *Gossip) heard(addr netip.AddrPort, b *wire.Beat) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.add([]netip.AddrPort{addr})
	for _, s := range b.GetPeers() {
		if a, err := netip.ParseAddrPort(s); err == nil {
			g.add([]netip.AddrPort{a})
		}
	}
	p := g.peers[addr]
	if last := p.beat; last != nil && last.GetIncarnation() == b.GetIncarnation() && last.GetSequence() >= b.GetSequence() {
		return false
	}
	if p.lost {
		g.Trail.Log("peer_heard", "peer", addr, "instance", b.GetInstance(), "zone", b.GetZone())
	}
	p.beat, p.heard, p.lost = b, time.Now(), false
	return true
}

// Remote returns the requests that the other gates have at each upstream.
func (g *Gossip) Remote() map[uint64]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	loads := map[uint64]int{}
	for _, p := range g.peers {
		if p.beat == nil || now.Sub(p.heard) > freshLoad {
			continue
		}
		for _, l := range p.beat.GetLoads() {
			loads[l.GetKey()] += int(l.GetInflight())
		}
	}
	return loads
}

// Gates returns the number of gates that may be sending, this one included.
func (g *Gossip) Gates() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 1
	for _, p := range g.peers {
		if p.beat != nil {
			n++
		}
	}
	if time.Since(g.started) < startTime {
		n = max(n, startGates)
	}
	return n
}

// First reports whether fewer than n living gates that are not leaving have an
// address below this one's.
func (g *Gossip) First(n int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	below := 0
	for a, p := range g.peers {
		if !p.lost && !p.beat.GetLeaving() && a.Compare(g.Listen) < 0 {
			below++
		}
	}
	return below < n
}

// silentAfter is the time without a beat after which an instance that was heard
// before counts as silent, while others are heard.
const silentAfter = 700 * time.Millisecond

// Present returns the incarnation that ran on an instance when it was last
// heard, and whether it has been silent since while others were heard.
func (g *Gossip) Present(instance string) (incarnation uint64, known, silent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	var last *peer
	others := false
	for _, p := range g.peers {
		switch {
		case p.beat == nil:
		case p.beat.GetInstance() == instance:
			if last == nil || p.heard.After(last.heard) {
				last = p
			}
		case now.Sub(p.heard) < silentAfter:
			others = true
		}
	}
	if last == nil {
		return 0, false, false
	}
	return last.beat.GetIncarnation(), true, others && now.Sub(last.heard) > silentAfter
}

const (
	// zoneWatchers and allWatchers are the numbers of gates that follow the
	// store themselves: one in each zone, which can be cut off from the others,
	// and so many in all.
	zoneWatchers = 1
	allWatchers  = 2
	// watcherFresh is the age up to which a watcher's beat counts.
	watcherFresh = 700 * time.Millisecond
)

// Leads reports whether this gate is to follow the store itself: too few gates
// with an address below its own do.
func (g *Gossip) Leads() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	zone, all := 0, 0
	for a, p := range g.peers {
		if p.beat.GetWatching() && !p.beat.GetLeaving() && now.Sub(p.heard) < watcherFresh && a.Compare(g.Listen) < 0 {
			all++
			if p.beat.GetZone() == g.Zone {
				zone++
			}
		}
	}
	return zone < zoneWatchers || all < allWatchers
}
