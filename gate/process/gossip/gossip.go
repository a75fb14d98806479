// Package gossip has the gates of a system find each other and tell each other
// their load. Each gate sends a datagram to each gate that it knows, several
// times a second.
package gossip

import (
	"context"
	"errors"
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
	// period is the time between two beats of a gate whose load does not change.
	period = 100 * time.Millisecond
	// changeSpacing is the least time between beats that tell of a changed load,
	// for each nearPeers peers: gates that choose by outdated loads put up to
	// 2.3 sequences more on one rank than on the mean, and all ranks wait for it.
	// With many peers a gate then receives no more beats than at the period.
	changeSpacing = 20 * time.Millisecond
	nearPeers     = 8
	// perPeriod bounds the datagrams that a gate sends in a period: with more
	// peers, each hears from it less often.
	perPeriod = 16
	// passedOn is the number of peers' addresses in a beat.
	passedOn = 4
	// paceUnit is a pace of one in a beat.
	paceUnit = 100
	// maxDatagram bounds a beat, and maxLoads the loads in it, each of which takes
	// at most 16 bytes.
	maxDatagram = 8 << 10
	maxLoads    = 400
)

// Gossip exchanges beats. Its exported fields are set before Run.
type Gossip struct {
	// Listen is the address for datagrams and the one at which peers are served.
	Listen      netip.AddrPort
	Seeds       []netip.AddrPort
	Instance    string
	Zone        string
	Incarnation uint64
	Trail       *trail.Logger
	// Load and Known fill in a beat. Of more than maxLoads loads, others are told
	// each time.
	Load func() map[uint64]int
	// Paces returns the paces of the upstreams that this gate knows to be slow.
	Paces func() map[uint64]float64
	Known func() []*wire.KindRevision
	// Watching reports whether the gate follows the store itself.
	Watching func() bool
	// Leaving reports whether the gate has begun to shut down.
	Leaving func() bool
	// OnBeat is called with the sender's address for each beat of a peer.
	OnBeat func(addr netip.AddrPort, b *wire.Beat)

	once      sync.Once
	announced chan struct{}
	changed   chan struct{}

	mu      sync.Mutex
	conn    *net.UDPConn
	peers   map[netip.AddrPort]*peer
	started time.Time
	// lacking is when watchers were first found to be lacking, zero if none are.
	lacking time.Time
	// registered is the number of gates that have registered in the store.
	registered int
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
	g.beat(ctx)
	_ = conn.Close()
	<-done
	return nil
}

// beat sends beats until ctx ends: at each period, and sooner when there is
// something new.
func (g *Gossip) beat(ctx context.Context) {
	g.init()
	due := time.NewTimer(period)
	defer due.Stop()
	var sequence uint64
	var last time.Time
	for {
		most := perPeriod
		select {
		case <-ctx.Done():
			return
		case <-due.C:
		case <-g.changed:
			if wait := g.spacing() - time.Since(last); wait > 0 {
				due.Reset(wait)
				continue
			}
		case <-g.announced:
			most = math.MaxInt
		}
		sequence++
		last = time.Now()
		g.send(sequence, most)
		due.Reset(period)
	}
}

// spacing returns the least time between beats that tell of a changed load.
func (g *Gossip) spacing() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return min(period, changeSpacing*time.Duration(1+len(g.peers)/nearPeers))
}

// Changed has a beat sent soon, since the load has changed.
func (g *Gossip) Changed() { g.init(); signal(g.changed) }

// Announce has a beat sent to all peers at once, since there is something new.
func (g *Gossip) Announce() { g.init(); signal(g.announced) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (g *Gossip) init() {
	g.once.Do(func() { g.announced, g.changed = make(chan struct{}, 1), make(chan struct{}, 1) })
}

// send sends a beat to at most most peers.
func (g *Gossip) send(sequence uint64, most int) {
	b := &wire.Beat{
		Instance: g.Instance, Incarnation: g.Incarnation, Zone: g.Zone, Sequence: sequence,
		Address: g.Listen.String(), Known: g.Known(), Leaving: g.Leaving(), Watching: g.Watching(),
	}
	for key, pace := range g.Paces() {
		b.Loads = append(b.Loads, &wire.UpstreamLoad{Key: key, Pace: uint32(pace * paceUnit)})
	}
	for key, n := range g.Load() {
		b.Loads = append(b.Loads, &wire.UpstreamLoad{Key: key, Inflight: uint32(n)})
	}
	// The order of a map is random, so others are left out each time.
	b.Loads = b.Loads[:min(len(b.Loads), maxLoads)]
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

func (g *Gossip) receive(conn *net.UDPConn) {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
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

const (
	// zoneWatchers and allWatchers are the numbers of gates that follow the
	// store themselves: one in each zone, which can be cut off from the others,
	// and so many in all.
	zoneWatchers = 1
	allWatchers  = 2
	// watcherFresh is the age up to which a watcher's beat counts.
	watcherFresh = 700 * time.Millisecond
	// nextTakeover is the time between the gates of a zone that take over the
	// watch one after the other: a watch is answered in milliseconds, or has
	// failed. After soonTakeovers of them the store is away for the zone rather
	// than for single gates, and the next wait laterTakeover.
	nextTakeover  = 300 * time.Millisecond
	soonTakeovers = 2
	laterTakeover = time.Second
)
