// Package crash carries what a gate knows of crashes of upstreams to other gates: in
// heartbeats, and in the store to those that start later.
package crash

import (
	"time"

	"parsleyroute.example/core/wire"
	"parsleyroute.example/gate/process/policy"
)

// Report returns the latest crashes with suspect parts, and the last successes of these
// parts, at most as many as given.
func Report(c *policy.Containment, now time.Time, maxCrashes, maxSuccesses int) ([]*wire.UpstreamCrash, []*wire.PartSuccess) {
	var crashes []*wire.UpstreamCrash
	known := c.News(now)
	known = known[max(0, len(known)-maxCrashes):]
	for _, k := range known {
		crashes = append(crashes, &wire.UpstreamCrash{Id: k.ID, Upstream: k.Upstream, Parts: k.Parts, AgeMs: ageMS(now, k.At)})
	}
	var successes []*wire.PartSuccess
	for part, at := range c.Successes(known) {
		if len(successes) == maxSuccesses {
			break
		}
		successes = append(successes, &wire.PartSuccess{Part: part, AgeMs: ageMS(now, at)})
	}
	return crashes, successes
}

func ageMS(now, at time.Time) uint32 { return uint32(max(0, now.Sub(at).Milliseconds())) }

// Learn records reported crashes and successes, and returns the crashes that were unknown.
// timeOf returns the time to which an age refers. Successes come first, so that a crash
// without suspect parts is not recorded.
func Learn(c *policy.Containment, timeOf func(age time.Duration) time.Time, crashes []*wire.UpstreamCrash, successes []*wire.PartSuccess) []policy.Crash {
	before := func(ms uint32) time.Time { return timeOf(time.Duration(ms) * time.Millisecond) }
	for _, s := range successes {
		c.Success(before(s.GetAgeMs()), s.GetPart())
	}
	var learned []policy.Crash
	for _, k := range crashes {
		crash := policy.Crash{ID: k.GetId(), Upstream: k.GetUpstream(), Parts: k.GetParts(), At: before(k.GetAgeMs())}
		if c.Observe(crash) {
			learned = append(learned, crash)
		}
	}
	return learned
}
