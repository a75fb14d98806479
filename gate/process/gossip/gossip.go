// Package gossip exchanges heartbeats between the gates of a system. Through them
// gates discover each other and learn each other's load on the upstreams. Each
// gate sends a UDP datagram to the gates that it knows several times per second.
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

	"parsleyroute.example/core/process/evlog"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/wire"
	"parsleyroute.example/gate/process/fleet"
	"parsleyroute.example/gate/process/policy"
)

const (
	// heartbeatInterval is the time between heartbeats while the load of the gate
	// does not change.
	heartbeatInterval = 100 * time.Millisecond
	// minChangeInterval is the minimum time between heartbeats that report a
	// changed load. It grows by the same amount for every changeIntervalPeers
	// peers, up to heartbeatInterval for 32 peers, so that changed loads do not
	// increase the number of heartbeats that a gate with many peers receives. With
	// outdated loads, gates put up to 2.3 sequences more on one rank than on the
	// average rank, and all ranks wait for the slowest one.
	minChangeInterval   = 20 * time.Millisecond
	changeIntervalPeers = 8
	// maxDatagramsPerHeartbeat is the maximum number of datagrams that a gate sends
	// per heartbeat. With more peers, each of them receives fewer heartbeats.
	maxDatagramsPerHeartbeat = 16
	// maxSharedPeers is the maximum number of peer addresses in a heartbeat.
	maxSharedPeers = 4
	// slowdownScale is the value in a heartbeat that represents a slowdown of 1.
	slowdownScale = 100
	// maxDatagramBytes is the maximum size of a heartbeat and maxLoads the maximum
	// number of loads in it. A load takes at most 16 bytes.
	maxDatagramBytes = 8 << 10
	maxLoads         = 400
)

// Gossip exchanges heartbeats. Its exported fields are set before Run.
type Gossip struct {
	// Listen is the UDP address for heartbeats. Peers call this gate at the same
	// address and port over TCP.
	Listen   netip.AddrPort
	Seeds    []netip.AddrPort
	Instance string
	Zone     string
	// Incarnation differs between processes that run one after the other as the
	// same instance, so that peers do not take a restarted gate for the former one.
	Incarnation uint64
	DecisionLog *evlog.Logger
	// Loads returns the number of this gate's requests in flight by the key of the
	// upstream. If there are more than maxLoads loads, each heartbeat contains a
	// random selection.
	Loads func() map[uint64]int
	// Slowdowns returns the factors by which upstreams are slower than healthy
	// ones, by the key of the upstream, for those that this gate knows to be slow.
	Slowdowns func() map[uint64]float64
	// Silent returns the keys of the upstreams that this gate takes to be silent. It
	// may be nil.
	Silent func() map[uint64]bool
	// Progress returns what this gate has seen of the rank groups, by the hash of
	// the group's name. It may be nil.
	Progress func() map[uint64]fleet.GroupProgress
	// Limits returns the limits that upstreams have named to this gate, in random order.
	// It may be nil.
	Limits func() []fleet.UpstreamLimit
	// Departures returns the upstreams that are known to leave, in random order. It may be
	// nil.
	Departures func() []fleet.Departure
	// Containment holds the crashes of upstreams that this gate knows. It may be nil.
	Containment *policy.Containment
	// KnownRevisions returns the revisions of the store that this gate knows.
	KnownRevisions func() []*wire.KindRevision
	// Watching reports whether the gate watches the store itself.
	Watching func() bool
	// Leaving reports whether the gate has begun to shut down.
	Leaving func() bool
	// OnHeartbeat is called for each new heartbeat of a peer with the address at
	// which the peer serves other gates.
	OnHeartbeat func(addr netip.AddrPort, b *wire.Beat)

	initOnce    sync.Once
	announce    chan struct{}
	loadChanged chan struct{}

	mu      sync.Mutex
	conn    *net.UDPConn
	peers   map[netip.AddrPort]*peer
	started time.Time
	// watchersMissingSince is when ShouldWatch first found too few watchers, or
	// zero if there are enough.
	watchersMissingSince time.Time
	// registeredGates holds the names of the gates that have registered in the store.
	registeredGates []string
}

// Run exchanges heartbeats until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(g.Listen))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	g.mu.Lock()
	g.conn, g.started = conn, time.Now()
	g.addPeers(g.Seeds)
	g.mu.Unlock()
	done := make(chan struct{})
	go func() { defer close(done); g.receiveLoop(conn) }()
	g.heartbeatLoop(ctx)
	_ = conn.Close()
	<-done
	return nil
}

// heartbeatLoop sends heartbeats until ctx ends: at heartbeatInterval, and earlier
// after LoadChanged or Announce.
func (g *Gossip) heartbeatLoop(ctx context.Context) {
	g.init()
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	var sequence uint64
	var lastSent time.Time
	for {
		maxPeers := maxDatagramsPerHeartbeat
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-g.loadChanged:
			if wait := g.changeInterval() - time.Since(lastSent); wait > 0 {
				timer.Reset(wait)
				continue
			}
		case <-g.announce:
			maxPeers = math.MaxInt
		}
		sequence++
		lastSent = time.Now()
		g.sendHeartbeat(sequence, maxPeers)
		timer.Reset(heartbeatInterval)
	}
}

// changeInterval returns the minimum time between heartbeats that report a changed
// load.
func (g *Gossip) changeInterval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return min(heartbeatInterval, minChangeInterval*time.Duration(1+len(g.peers)/changeIntervalPeers))
}

// LoadChanged reports that the load has changed. A heartbeat is sent soon.
func (g *Gossip) LoadChanged() { g.init(); notify(g.loadChanged) }

// Announce sends a heartbeat to all live peers at once, without the usual limit on
// their number.
func (g *Gossip) Announce() { g.init(); notify(g.announce) }

// notify sends to c unless a notification is already pending.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (g *Gossip) init() {
	g.initOnce.Do(func() { g.announce, g.loadChanged = make(chan struct{}, 1), make(chan struct{}, 1) })
}

// sendHeartbeat sends a heartbeat to at most maxPeers peers.
func (g *Gossip) sendHeartbeat(sequence uint64, maxPeers int) {
	b := &wire.Beat{
		Instance: g.Instance, Incarnation: g.Incarnation, Zone: g.Zone, Sequence: sequence,
		Address: g.Listen.String(), Known: g.KnownRevisions(), Leaving: g.Leaving(), Watching: g.Watching(),
	}
	for key, slowdown := range g.Slowdowns() {
		// The wire field is called Pace; a higher value is slower.
		b.Loads = append(b.Loads, &wire.UpstreamLoad{Key: key, Pace: uint32(slowdown * slowdownScale)})
	}
	var silent map[uint64]bool
	if g.Silent != nil {
		silent = g.Silent()
	}
	loads := g.Loads()
	for key, n := range loads {
		b.Loads = append(b.Loads, &wire.UpstreamLoad{Key: key, Inflight: uint32(n), Silent: silent[key]})
	}
	for key := range silent {
		if _, ok := loads[key]; !ok {
			b.Loads = append(b.Loads, &wire.UpstreamLoad{Key: key, Silent: true})
		}
	}
	if g.Progress != nil {
		for key, p := range g.Progress() {
			b.Groups = append(b.Groups, &wire.GroupProgress{Key: key, IdleMs: uint32(p.Idle.Milliseconds()), Streams: uint32(p.Waiting)})
		}
	}
	// Map iteration order is random, so the omitted loads vary between heartbeats.
	b.Loads = b.Loads[:min(len(b.Loads), maxLoads)]
	g.addLimits(b)
	g.addDepartures(b)
	g.addCrashes(b)
	recipients, live := g.selectPeers(sequence, maxPeers)
	b.Peers = live
	data, err := proto.Marshal(b)
	for err == nil && len(data) > maxDatagramBytes && len(b.Loads)+len(b.Limits) > 0 {
		// Crashes, progress and limits take precedence over loads.
		if len(b.Loads) > 0 {
			b.Loads = b.Loads[:len(b.Loads)/2]
		} else {
			b.Limits = b.Limits[:len(b.Limits)/2]
		}
		data, err = proto.Marshal(b)
	}
	if err != nil || len(data) > maxDatagramBytes {
		meter.Event("beat_errors")
		return
	}
	for _, a := range recipients {
		if _, err := g.conn.WriteToUDPAddrPort(data, a); err != nil {
			meter.Event("beat_errors")
		}
	}
}

// A lost peer gets only every lostPeerDivisor-th heartbeat.
const lostPeerDivisor = 5

// selectPeers returns the recipients of this heartbeat and the addresses of some
// live peers. It also detects lost peers and removes those that have been silent
// for too long.
func (g *Gossip) selectPeers(sequence uint64, maxPeers int) (recipients []netip.AddrPort, live []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	candidates := make([]netip.AddrPort, 0, len(g.peers))
	for a, p := range g.peers {
		silent := now.Sub(p.lastHeard)
		switch {
		case silent > peerRetention && !g.isSeed(a):
			delete(g.peers, a)
			continue
		case silent > lostAfter && !p.lost:
			p.lost = true
			g.DecisionLog.Log("peer_lost", "peer", a, "silent", silent)
		}
		if p.lost && sequence%lostPeerDivisor != 0 {
			continue
		}
		candidates = append(candidates, a)
		if !p.lost {
			live = append(live, a.String())
		}
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return candidates[:min(len(candidates), maxPeers)], live[:min(len(live), maxSharedPeers)]
}

func (g *Gossip) receiveLoop(conn *net.UDPConn) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			meter.Event("beat_errors")
			time.Sleep(heartbeatInterval)
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
		if g.recordHeartbeat(addr, b) {
			g.recordCrashes(addr, b)
			g.OnHeartbeat(addr, b)
		}
	}
}

const (
	// watchersPerZone is the number of gates in each zone that watch the store,
	// because a zone can be disconnected from the others.
	watchersPerZone = 1
	// minWatchers is the minimum number of gates in all zones that watch the store.
	minWatchers = 2
	// maxWatcherAge is the maximum age of a heartbeat for its gate to be considered
	// in the selection of watchers, whether or not it watches now.
	maxWatcherAge = 700 * time.Millisecond
	// If a zone lacks a watcher, its gates start to watch one after the other, in
	// the order of their addresses. The first starts at once and the next
	// earlyTakeovers gates after earlyTakeoverDelay each, since a call to the store
	// succeeds or fails within milliseconds. If all of them fail, the store is
	// probably unavailable to the whole zone, and the remaining gates start after
	// lateTakeoverDelay each.
	earlyTakeoverDelay = 300 * time.Millisecond
	earlyTakeovers     = 2
	lateTakeoverDelay  = time.Second
)
