package gossip

import (
	"math"
	"time"

	"parsleyroute.example/core/wire"
	"parsleyroute.example/gate/process/fleet"
)

// maxReportedLimits limits the size of a heartbeat. A limit takes up to 30 bytes. A gate
// with ten requests per second has responses from as many upstreams while a limit counts.
const maxReportedLimits = 100

// addLimits adds limits that upstreams have named to this gate to a heartbeat.
// Gates do not pass on what others have told them, since the ages would become
// inaccurate and an ended limit could come back.
func (g *Gossip) addLimits(b *wire.Beat) {
	if g.Limits == nil {
		return
	}
	now := time.Now()
	for _, l := range g.Limits() {
		m := &wire.UpstreamLimit{Key: l.Key, StartTime: l.StartTime, AgeMs: uint32(max(0, now.Sub(l.At)).Milliseconds())}
		if !math.IsInf(l.PerSecond, 1) {
			m.Rate = &l.PerSecond
		}
		b.Limits = append(b.Limits, m)
		if len(b.Limits) == maxReportedLimits {
			// The order is random, so the omitted ones vary between heartbeats.
			return
		}
	}
}

// RemoteLimits returns the limits that upstreams have named to the other gates.
func (g *Gossip) RemoteLimits() []fleet.UpstreamLimit {
	g.mu.Lock()
	defer g.mu.Unlock()
	var limits []fleet.UpstreamLimit
	for _, p := range g.peers {
		for _, l := range p.heartbeat.GetLimits() {
			rate := math.Inf(1)
			if l.Rate != nil {
				rate = l.GetRate()
			}
			if math.IsNaN(rate) || rate < 0 {
				continue
			}
			limits = append(limits, fleet.UpstreamLimit{
				Key: l.GetKey(), StartTime: l.GetStartTime(), PerSecond: rate,
				At: p.timeOf(time.Duration(l.GetAgeMs()) * time.Millisecond),
			})
		}
	}
	return limits
}
