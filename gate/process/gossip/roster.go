package gossip

import (
	"net/netip"
	"time"

	"parsleyroute.example/core/wire"
)

const (
	// freshLoad is the age up to which a peer's load counts.
	freshLoad = time.Second
	// lostAfter is the time without a beat after which a peer is reported lost.
	lostAfter = 2 * time.Second
	// memory is how long a silent peer is still counted as one that may be
	// sending, for the budgets that all gates share.
	memory = 30 * time.Second
	// startGates is the least number of gates assumed for the first startTime,
	// before their beats have been heard.
	startGates = 8
	startTime  = 3 * time.Second
	// seedsFirst is the time after the start in which only seeds contend: beats
	// arrive within two periods, and all gates may start together.
	seedsFirst = 300 * time.Millisecond
)

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

func (g *Gossip) seed(a netip.AddrPort) bool {
	for _, s := range g.Seeds {
		if s == a {
			return true
		}
	}
	return false
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

// RemoteLoads returns the requests that the other gates have at each upstream.
func (g *Gossip) RemoteLoads() map[uint64]int {
	loads := map[uint64]int{}
	g.eachLoad(func(l *wire.UpstreamLoad) {
		if n := l.GetInflight(); n > 0 {
			loads[l.GetKey()] += int(n)
		}
	})
	return loads
}

// RemotePaces returns the paces of the upstreams that other gates know to be slow.
func (g *Gossip) RemotePaces() map[uint64]float64 {
	paces := map[uint64]float64{}
	g.eachLoad(func(l *wire.UpstreamLoad) {
		if l.GetPace() > 0 {
			paces[l.GetKey()] = max(paces[l.GetKey()], float64(l.GetPace())/paceUnit)
		}
	})
	return paces
}

// eachLoad calls f with each entry of the peers' last beats that are fresh.
func (g *Gossip) eachLoad(f func(*wire.UpstreamLoad)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, p := range g.peers {
		if p.beat == nil || now.Sub(p.heard) > freshLoad {
			continue
		}
		for _, l := range p.beat.GetLoads() {
			f(l)
		}
	}
}

// GateCount returns the number of gates that may be sending, this one included.
func (g *Gossip) GateCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 1
	for _, p := range g.peers {
		if p.beat != nil {
			n++
		}
	}
	if g.started.IsZero() || time.Since(g.started) < startTime {
		n = max(n, startGates, g.registered)
	}
	return n
}

// SetRegisteredGates takes note of how many gates have ever registered. So many are
// assumed at the start, when the others may have started as well.
func (g *Gossip) SetRegisteredGates(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registered = n
}

// AmongLowest reports whether fewer than n living gates that are not leaving have an
// address below this one's. Before the others can have been heard, only seeds
// count as first.
func (g *Gossip) AmongLowest(n int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	starting := g.started.IsZero() || time.Since(g.started) < seedsFirst
	if starting && len(g.Seeds) > 0 && !g.seed(g.Listen) {
		return false
	}
	below := 0
	for a, p := range g.peers {
		if !p.lost && !p.beat.GetLeaving() && a.Compare(g.Listen) < 0 {
			below++
		}
	}
	return below < n
}

// silentAfter is the time without a beat after which an instance that was heard
// before counts as silent.
const silentAfter = 700 * time.Millisecond

// Presence is what is known of an instance.
type Presence struct {
	// Known is set if the instance was heard since this gate's start, and
	// Incarnation is then the one that it had last.
	Known       bool
	Incarnation uint64
	// Alive is set if it was heard within silentAfter. Silent is set if it was
	// not although half of the other gates or more were: this gate itself is then
	// not the one that is cut off.
	Alive, Silent bool
}

// Presence returns what is known of an instance.
func (g *Gossip) Presence(instance string) Presence {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	var last *peer
	others, heard := 0, 0
	for _, p := range g.peers {
		switch {
		case p.beat == nil:
		case p.beat.GetInstance() == instance:
			if last == nil || p.heard.After(last.heard) {
				last = p
			}
		case !p.beat.GetLeaving():
			others++
			if now.Sub(p.heard) < silentAfter {
				heard++
			}
		}
	}
	if last == nil {
		return Presence{}
	}
	fresh := now.Sub(last.heard) < silentAfter
	return Presence{
		Known: true, Incarnation: last.beat.GetIncarnation(), Alive: fresh,
		Silent: !fresh && heard > 0 && 2*heard >= others,
	}
}

// ShouldWatch reports whether this gate is to follow the store itself: no gate of its
// zone with an address below its own does, or too few gates in all. The gates of
// a zone begin one after the other, so that an outage of the store does not have
// all of them call it.
func (g *Gossip) ShouldWatch() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	zone, all, before := 0, 0, 0
	for a, p := range g.peers {
		if p.beat == nil || p.beat.GetLeaving() || now.Sub(p.heard) >= watcherFresh {
			continue
		}
		// The gates of another zone follow for that zone, whatever their address.
		own, watching := p.beat.GetZone() == g.Zone, p.beat.GetWatching()
		below := a.Compare(g.Listen) < 0
		if watching && (!own || below) {
			all++
		}
		if own && below {
			before++
			if watching {
				zone++
			}
		}
	}
	if zone >= zoneWatchers && all >= allWatchers {
		g.lacking = time.Time{}
		return false
	}
	if g.lacking.IsZero() {
		g.lacking = now
	}
	return now.Sub(g.lacking) >= takeover(before)
}

// takeover returns for how long watchers must have been lacking before a gate
// follows the store, with so many gates of its zone before it.
func takeover(before int) time.Duration {
	return nextTakeover*time.Duration(min(before, soonTakeovers)) + laterTakeover*time.Duration(max(0, before-soonTakeovers))
}
