package gossip

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyroute.example/core/wire"
	"parsleyroute.example/gate/process/fleet"
	"parsleyroute.example/gate/process/policy"
)

const (
	// maxLoadAge is the maximum age of a heartbeat whose loads count.
	maxLoadAge = time.Second
	// lostAfter is the time without a heartbeat after which a peer is lost.
	lostAfter = 2 * time.Second
	// suspendedAfter is the time without a heartbeat after which a peer may have been
	// suspended. Ages may be wrong by a shorter time, which is what the limits of upstreams
	// allow for.
	suspendedAfter = 500 * time.Millisecond
	// peerRetention is the time without a heartbeat after which a peer is removed,
	// unless it is a seed. Until then it counts as a gate that may still send
	// requests, for the limits that all gates share.
	peerRetention = 30 * time.Second
	// minStartupGates is the minimum number of gates assumed during startupPeriod
	// after the start, before their heartbeats have arrived.
	minStartupGates = 8
	startupPeriod   = 3 * time.Second
	// seedsOnlyPeriod is the time after the start in which AmongLowestAddresses
	// accepts only seeds. All gates may start together, and heartbeats arrive
	// within two heartbeat intervals.
	seedsOnlyPeriod = 300 * time.Millisecond
)

// peer is another gate, or an address at which one may run.
type peer struct {
	// lastHeard is the time of the last heartbeat, or at first the time at which
	// the address was added.
	lastHeard time.Time
	// heartbeat is the last heartbeat, or nil if there was none.
	heartbeat *wire.Beat
	lost      bool
	// silentFrom and silentUntil are the beginning and the end of the last time without a
	// heartbeat that was longer than suspendedAfter.
	silentFrom, silentUntil time.Time
}

// timeOf returns the time to which an age in the last heartbeat refers. The clock of a
// suspended machine stands still, so what it knows from before may be older than it states
// by the time without heartbeats.
func (p *peer) timeOf(age time.Duration) time.Time {
	at := p.lastHeard.Add(-age)
	if at.Before(p.silentUntil) {
		at = at.Add(-p.silentUntil.Sub(p.silentFrom))
	}
	return at
}

// Add adds addresses at which gates may run.
func (g *Gossip) Add(addrs ...netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addPeers(addrs)
}

func (g *Gossip) addPeers(addrs []netip.AddrPort) {
	if g.peers == nil {
		g.peers = map[netip.AddrPort]*peer{}
	}
	for _, a := range addrs {
		if a.IsValid() && a != g.Listen && g.peers[a] == nil {
			g.peers[a] = &peer{lastHeard: time.Now(), lost: true}
		}
	}
}

func (g *Gossip) isSeed(a netip.AddrPort) bool {
	for _, s := range g.Seeds {
		if s == a {
			return true
		}
	}
	return false
}

// recordHeartbeat stores a heartbeat and reports whether it is newer than the last
// one of the peer.
func (g *Gossip) recordHeartbeat(addr netip.AddrPort, b *wire.Beat) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addPeers([]netip.AddrPort{addr})
	for _, s := range b.GetPeers() {
		if a, err := netip.ParseAddrPort(s); err == nil {
			g.addPeers([]netip.AddrPort{a})
		}
	}
	p := g.peers[addr]
	if last := p.heartbeat; last != nil && last.GetIncarnation() == b.GetIncarnation() && last.GetSequence() >= b.GetSequence() {
		return false
	}
	if p.lost {
		g.DecisionLog.Log("peer_heard", "peer", addr, "instance", b.GetInstance(), "zone", b.GetZone())
	}
	now := time.Now()
	if p.heartbeat != nil && now.Sub(p.lastHeard) > suspendedAfter {
		p.silentFrom, p.silentUntil = p.lastHeard, now
	}
	p.heartbeat, p.lastHeard, p.lost = b, now, false
	return true
}

// RemoteLoads returns the number of requests that the other gates have in flight
// at each upstream, by the key of the upstream.
func (g *Gossip) RemoteLoads() map[uint64]int {
	loads := map[uint64]int{}
	g.eachLoad(func(l *wire.UpstreamLoad) {
		if n := l.GetInflight(); n > 0 {
			loads[l.GetKey()] += int(n)
		}
	})
	return loads
}

// RemoteSlowdowns returns the slowdowns of the upstreams that other gates know to
// be slow, by the key of the upstream.
func (g *Gossip) RemoteSlowdowns() map[uint64]float64 {
	slowdowns := map[uint64]float64{}
	g.eachLoad(func(l *wire.UpstreamLoad) {
		// The wire field is called Pace; a higher value is slower.
		if l.GetPace() > 0 {
			slowdowns[l.GetKey()] = max(slowdowns[l.GetKey()], float64(l.GetPace())/slowdownScale)
		}
	})
	return slowdowns
}

// RemoteSilent returns the keys of the upstreams that other gates take to be silent.
func (g *Gossip) RemoteSilent() map[uint64]bool {
	silent := map[uint64]bool{}
	g.eachLoad(func(l *wire.UpstreamLoad) {
		if l.GetSilent() {
			silent[l.GetKey()] = true
		}
	})
	return silent
}

// eachLoad calls f with each load in the last heartbeats of the peers, except for
// heartbeats older than maxLoadAge.
func (g *Gossip) eachLoad(f func(*wire.UpstreamLoad)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, p := range g.peers {
		if p.heartbeat == nil || now.Sub(p.lastHeard) > maxLoadAge {
			continue
		}
		for _, l := range p.heartbeat.GetLoads() {
			f(l)
		}
	}
}

// maxProgressAge is the maximum age of a heartbeat whose progress of groups counts.
// A gate that is cut off or frozen last reported streams that it no longer has.
const maxProgressAge = 300 * time.Millisecond

// RemoteProgress returns what the other gates have seen of the rank groups, by the
// hash of the group's name: the time since the latest event of any of them, and the
// number of all their waiting streams.
func (g *Gossip) RemoteProgress() map[uint64]fleet.GroupProgress {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	progress := map[uint64]fleet.GroupProgress{}
	for _, p := range g.peers {
		age := now.Sub(p.lastHeard)
		if p.heartbeat == nil || age > maxProgressAge {
			continue
		}
		for _, group := range p.heartbeat.GetGroups() {
			idle := now.Sub(p.timeOf(time.Duration(group.GetIdleMs()) * time.Millisecond))
			total, ok := progress[group.GetKey()]
			if !ok || idle < total.Idle {
				total.Idle = idle
			}
			total.Waiting += int(group.GetStreams())
			progress[group.GetKey()] = total
		}
	}
	return progress
}

// GateCount returns the number of gates that may be sending requests, including
// this one.
func (g *Gossip) GateCount() int { return g.Members().Count() }

// Members returns the gates that may be sending requests, by the hashes of their names.
func (g *Gossip) Members() policy.Members {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := policy.Members{Own: xxhash.Sum64String(g.Instance)}
	add := func(instance string) {
		if instance != g.Instance {
			m.Others = append(m.Others, xxhash.Sum64String(instance))
		}
	}
	for _, p := range g.peers {
		if p.heartbeat != nil {
			add(p.heartbeat.GetInstance())
		}
	}
	starting := g.started.IsZero() || time.Since(g.started) < startupPeriod
	if starting {
		for _, name := range g.registeredGates {
			add(name)
		}
	}
	slices.Sort(m.Others)
	m.Others = slices.Compact(m.Others)
	for unknown := uint64(1); starting && m.Count() < minStartupGates; unknown++ {
		m.Others = append(m.Others, unknown)
	}
	return m
}

// SetRegisteredGates sets the names of the gates that have ever registered in the
// store. They count during startupPeriod, since all gates may have started together.
func (g *Gossip) SetRegisteredGates(names []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registeredGates = names
}

// AmongLowestAddresses reports whether fewer than n live gates that are not
// leaving have a lower address than this one. During seedsOnlyPeriod after the
// start it reports false for gates that are not seeds.
func (g *Gossip) AmongLowestAddresses(n int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	starting := g.started.IsZero() || time.Since(g.started) < seedsOnlyPeriod
	if starting && len(g.Seeds) > 0 && !g.isSeed(g.Listen) {
		return false
	}
	below := 0
	for a, p := range g.peers {
		if !p.lost && !p.heartbeat.GetLeaving() && a.Compare(g.Listen) < 0 {
			below++
		}
	}
	return below < n
}

// silentAfter is the time without a heartbeat after which an instance no longer
// counts as alive.
const silentAfter = 700 * time.Millisecond

// Presence is the state of an instance as seen through heartbeats.
type Presence struct {
	// Known is set if a heartbeat of the instance has arrived since this gate
	// started. Incarnation is that of the last one.
	Known       bool
	Incarnation uint64
	// Alive is set if a heartbeat arrived within silentAfter. Silent is set if none
	// did although at least half of the other gates have been heard since the
	// instance stopped counting as alive, so that this gate itself is not the one
	// that is disconnected. Heartbeats from before that moment are no evidence: a
	// disconnected gate last hears its peers at slightly different times.
	Alive, Silent bool
}

// Presence returns the state of an instance.
func (g *Gossip) Presence(instance string) Presence {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	var last *peer
	for _, p := range g.peers {
		if p.heartbeat != nil && p.heartbeat.GetInstance() == instance && (last == nil || p.lastHeard.After(last.lastHeard)) {
			last = p
		}
	}
	if last == nil {
		return Presence{}
	}
	aliveUntil := last.lastHeard.Add(silentAfter)
	alive := now.Before(aliveUntil)
	others, heard := 0, 0
	for _, p := range g.peers {
		if p.heartbeat == nil || p.heartbeat.GetInstance() == instance || p.heartbeat.GetLeaving() {
			continue
		}
		others++
		if p.lastHeard.After(aliveUntil) && now.Sub(p.lastHeard) < silentAfter {
			heard++
		}
	}
	return Presence{
		Known: true, Incarnation: last.heartbeat.GetIncarnation(), Alive: alive,
		Silent: !alive && heard > 0 && 2*heard >= others,
	}
}

// ShouldWatch reports whether this gate is to watch the store itself. It is if no
// gate of its zone with a lower address watches, or if too few gates of all zones
// do. The gates of a zone start to watch one after the other, so that they do not
// all call the store in an outage.
func (g *Gossip) ShouldWatch() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	zoneWatchers, watchers, lowerGates := 0, 0, 0
	for a, p := range g.peers {
		if p.heartbeat == nil || p.heartbeat.GetLeaving() || now.Sub(p.lastHeard) >= maxWatcherAge {
			continue
		}
		// Watchers in other zones count whatever their address is, since they watch
		// for their own zone.
		sameZone, watching := p.heartbeat.GetZone() == g.Zone, p.heartbeat.GetWatching()
		below := a.Compare(g.Listen) < 0
		if watching && (!sameZone || below) {
			watchers++
		}
		if sameZone && below {
			lowerGates++
			if watching {
				zoneWatchers++
			}
		}
	}
	if zoneWatchers >= watchersPerZone && watchers >= minWatchers {
		g.watchersMissingSince = time.Time{}
		return false
	}
	if g.watchersMissingSince.IsZero() {
		g.watchersMissingSince = now
	}
	return now.Sub(g.watchersMissingSince) >= takeoverDelay(lowerGates)
}

// takeoverDelay returns how long watchers must have been missing before a gate
// starts to watch the store. lowerGates is the number of gates of its zone with a
// lower address.
func takeoverDelay(lowerGates int) time.Duration {
	return earlyTakeoverDelay*time.Duration(min(lowerGates, earlyTakeovers)) + lateTakeoverDelay*time.Duration(max(0, lowerGates-earlyTakeovers))
}
