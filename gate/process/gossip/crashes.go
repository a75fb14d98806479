package gossip

import (
	"net/netip"
	"slices"
	"time"

	"parsleyroute.example/core/wire"
	"parsleyroute.example/gate/process/crash"
	"parsleyroute.example/gate/process/policy"
)

const (
	// maxReportedCrashes and maxReportedSuccesses limit the size of a heartbeat.
	maxReportedCrashes   = 12
	maxReportedSuccesses = 64
)

// addCrashes adds the latest crashes with suspect parts to a heartbeat, and what this
// gate knows of the success of these parts.
func (g *Gossip) addCrashes(b *wire.Beat) {
	if g.Containment != nil {
		b.Crashes, b.Successes = crash.Report(g.Containment, time.Now(), maxReportedCrashes, maxReportedSuccesses)
	}
}

// recordCrashes records the crashes and successes in a heartbeat of a peer.
func (g *Gossip) recordCrashes(addr netip.AddrPort, b *wire.Beat) {
	if g.Containment == nil {
		return
	}
	g.mu.Lock()
	sender := *g.peers[addr]
	g.mu.Unlock()
	now := time.Now()
	learned := crash.Learn(g.Containment, sender.timeOf, b.GetCrashes(), b.GetSuccesses())
	for _, k := range learned {
		g.DecisionLog.Log("crash_learned", "crash", k.ID, "from", b.GetInstance(), "crash_age", now.Sub(k.At), "parts", len(k.Parts))
	}
	if slices.ContainsFunc(learned, g.Containment.HasCause) {
		// This gate's successes of the parts may clear them.
		g.Announce()
	}
}

// Position returns the place of this gate in the order of the addresses of the live
// gates.
func (g *Gossip) Position() policy.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := policy.Position{Gates: 1}
	for a, peer := range g.peers {
		if peer.lost {
			continue
		}
		p.Gates++
		if a.Compare(g.Listen) < 0 {
			p.Index++
		}
	}
	return p
}
