package gossip

import (
	"parsleyroute.example/core/wire"
	"parsleyroute.example/gate/process/fleet"
)

// maxReportedDepartures limits the size of a heartbeat. A departure takes up to 20 bytes.
const maxReportedDepartures = 100

// addDepartures adds the upstreams that are known to leave to a heartbeat. A process does
// not change its mind, so gates also pass on what others have told them.
func (g *Gossip) addDepartures(b *wire.Beat) {
	if g.Departures == nil {
		return
	}
	departures := g.Departures()
	for _, d := range departures[:min(len(departures), maxReportedDepartures)] {
		b.Departures = append(b.Departures, &wire.Departure{Key: d.Key, StartTime: d.StartTime})
	}
}

// RemoteDepartures returns the upstreams that are known to the other gates to leave.
func (g *Gossip) RemoteDepartures() []fleet.Departure {
	g.mu.Lock()
	defer g.mu.Unlock()
	var departures []fleet.Departure
	for _, p := range g.peers {
		for _, d := range p.heartbeat.GetDepartures() {
			departures = append(departures, fleet.Departure{Key: d.GetKey(), StartTime: d.GetStartTime()})
		}
	}
	return departures
}
