package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// outageWindow is the time within which crashes are taken for one outage, such as
	// the loss of a rack. massCrash is the number of upstreams that are lost within
	// massWindow for another cause than a request to be likely. Upstreams that lose power
	// are found to be lost when their connections have been silent for up to 2 s.
	outageWindow = 500 * time.Millisecond
	massCrash    = 4
	massWindow   = 2 * time.Second
	// maxRivals is the number of other requests at a crashed upstream, each with an
	// unknown part of its own, up to which a single outage makes a part suspect.
	maxRivals = 3
	// maxOtherOutages is the number of outages within otherOutageWindow that have another
	// cause up to which a single outage makes an unknown part suspect. More of them show
	// that upstreams crash for reasons that do not depend on requests.
	maxOtherOutages   = 1
	otherOutageWindow = time.Minute
	// minOutages and maxOutages limit the outages that make a part suspect to which
	// upstreams have responded before. chanceLimit is the probability that a healthy part
	// is in that many crashes by chance, below which they suffice.
	minOutages  = 2
	maxOutages  = 4
	chanceLimit = 0.02
	// priorResponses is added to the number of responses of which the fraction with a part
	// is taken, so that the first few do not decide.
	priorResponses = 20
	// shareHalfLife is the age at which the weight of a response in that fraction has
	// halved.
	shareHalfLife = time.Minute
)

// decayingCount is a number of events whose weight halves with each shareHalfLife.
type decayingCount struct {
	n  float64
	at time.Time
}

// value returns the count at the given time.
func (d decayingCount) value(now time.Time) float64 {
	return d.n * math.Exp2(-max(0, now.Sub(d.at).Seconds())/shareHalfLife.Seconds())
}

func (d *decayingCount) add(now time.Time) {
	n := d.value(now)
	if now.After(d.at) {
		d.at = now
	}
	d.n = n + 1
}

// successCount holds the successes of a part.
type successCount struct {
	decayingCount
	last time.Time
}

// evidence is what speaks against a part.
type evidence struct {
	// outages and upstreams count the crashes on requests with the part since its
	// last success.
	outages, upstreams int
	// novel is set if no upstream has ever responded to the part.
	novel bool
}

// compare returns a positive number if e is the stronger evidence, and a negative one if
// o is.
func (e evidence) compare(o evidence) int {
	switch {
	case e.outages != o.outages || e.novel == o.novel:
		return cmp.Or(cmp.Compare(e.outages, o.outages), cmp.Compare(e.upstreams, o.upstreams))
	case e.novel:
		return 1
	}
	return -1
}

// cause is the probable cause of crashes: a combination of parts.
type cause struct {
	parts   []uint64
	outages int
	// lastCrash is the time of the last crash on a request with the first part.
	lastCrash time.Time
	// rival is a part of another request that may as well have caused the crash, or
	// zero.
	rival uint64
}

// containmentTime returns how long after the last crash requests are contained.
func (k cause) containmentTime() time.Duration {
	return min(containmentTime<<min(k.outages-1, maxDoublings), maxContainmentTime)
}

// findCauses returns the probable causes of the crashes.
func (c *Containment) findCauses() []cause {
	var causes []cause
	for _, crash := range c.crashes {
		s := c.suspects(crash)
		if len(s.parts) == 0 {
			continue
		}
		if rival, explained := c.otherSuspect(crash, s); !explained {
			causes = append(causes, cause{parts: s.parts, outages: s.outages, lastCrash: c.lastCrash(s.parts[0]), rival: rival})
		}
	}
	return causes
}

// suspicion is what a request is suspected of that was at an upstream when it crashed.
type suspicion struct {
	// parts are the parts that may have caused the crash, with the same evidence
	// against each.
	parts []uint64
	evidence
}

// suspects returns the parts of a crash with the strongest evidence against them. It
// returns none if the evidence does not suffice for containment.
func (c *Containment) suspects(crash Crash) suspicion {
	var s suspicion
	for _, p := range crash.Parts {
		if !crash.At.After(c.lastSuccess(p)) {
			continue
		}
		e := c.evidence(p)
		if !c.suffices(e, crash, p) {
			continue
		}
		switch order := e.compare(s.evidence); {
		case order < 0:
			continue
		case order > 0:
			s = suspicion{evidence: e}
		}
		s.parts = append(s.parts, p)
	}
	if s.outages == 1 && (c.isMassCrash(crash, s.parts[0]) || c.rivals(crash, s.parts) > maxRivals) {
		return suspicion{}
	}
	return s
}

// suffices reports whether the evidence makes a part of a crash suspect.
func (c *Containment) suffices(e evidence, crash Crash, part uint64) bool {
	if e.novel {
		return e.upstreams > 1 || c.otherOutages(crash.At, part) <= maxOtherOutages
	}
	// The chance that one of the requests at an upstream has the part.
	share := c.success(part).value(crash.At) / (c.responses.value(crash.At) + priorResponses)
	chance := 1 - math.Pow(1-min(1, share), float64(c.requestsAt(crash)))
	n := minOutages
	for n < maxOutages && math.Pow(chance, float64(n)) > chanceLimit {
		n++
	}
	return e.outages >= n
}

// endedUpstream is an upstream that has crashed.
type endedUpstream struct {
	upstream uint64
	at       time.Time
}

// recordEnd records that the upstream of a crash has ended.
func (c *Containment) recordEnd(crash Crash) {
	if slices.ContainsFunc(c.ended, func(e endedUpstream) bool { return e.upstream == crash.Upstream }) {
		return
	}
	if len(c.ended) >= maxEnded {
		c.ended = slices.Delete(c.ended, 0, 1)
	}
	c.ended = append(c.ended, endedUpstream{crash.Upstream, crash.At})
	c.outdated = true
}

// otherOutages returns the number of outages around the given time in which no request
// with the part was at the upstream.
func (c *Containment) otherOutages(at time.Time, part uint64) int {
	with := map[uint64]bool{}
	for _, k := range c.crashes {
		if slices.Contains(k.Parts, part) {
			with[k.Upstream] = true
		}
	}
	var times, explained []time.Time
	for _, e := range c.ended {
		switch {
		case with[e.upstream]:
			explained = append(explained, e.at)
		case e.at.Sub(at).Abs() <= otherOutageWindow:
			times = append(times, e.at)
		}
	}
	// Upstreams that are lost together with one that had such a request may have the same
	// cause.
	times = slices.DeleteFunc(times, func(t time.Time) bool {
		return slices.ContainsFunc(explained, func(x time.Time) bool { return t.Sub(x).Abs() <= outageWindow })
	})
	return countOutages(times)
}

// countOutages returns the number of outages that crashes at the given times were.
func countOutages(crashed []time.Time) int {
	slices.SortFunc(crashed, time.Time.Compare)
	n := 0
	var start time.Time
	for _, at := range crashed {
		if at.Sub(start) > outageWindow {
			start = at
			n++
		}
	}
	return n
}

// requestsAt returns the number of requests that a crashed upstream had not responded to.
func (c *Containment) requestsAt(crash Crash) int {
	n := 0
	for _, k := range c.crashes {
		if k.Upstream == crash.Upstream {
			n++
		}
	}
	return max(1, n)
}

// rivals returns the number of other requests at the crashed upstream, without the given
// parts, that have an unknown part.
func (c *Containment) rivals(crash Crash, parts []uint64) int {
	n := 0
	for _, k := range c.crashes {
		if k.Upstream != crash.Upstream || slices.ContainsFunc(k.Parts, func(p uint64) bool { return slices.Contains(parts, p) }) {
			continue
		}
		if slices.ContainsFunc(k.Parts, func(p uint64) bool { return c.lastSuccess(p).IsZero() }) {
			n++
		}
	}
	return n
}

// otherSuspect compares the suspicion of a request with those of the other requests that
// the same upstream had when it crashed. It reports whether one
// of these explains the crash better: by stronger evidence, or by the same parts and
// others, which fewer requests have. If one explains it as well by other parts, rival is
// such a part.
func (c *Containment) otherSuspect(crash Crash, s suspicion) (rival uint64, explained bool) {
	for _, k := range c.crashes {
		if k.Upstream != crash.Upstream || k.ID == crash.ID {
			continue
		}
		o := c.suspects(k)
		order := o.compare(s.evidence)
		switch {
		case len(o.parts) == 0 || order < 0:
		case order > 0, len(o.parts) > len(s.parts) && containsAll(o.parts, s.parts):
			return 0, true
		case !slices.ContainsFunc(o.parts, func(p uint64) bool { return slices.Contains(s.parts, p) }):
			rival = o.parts[0]
		}
	}
	return rival, false
}

// evidence returns what speaks against a part.
func (c *Containment) evidence(part uint64) evidence {
	last := c.lastSuccess(part)
	var crashed []time.Time
	upstreams := map[uint64]bool{}
	for _, k := range c.crashes {
		if k.At.After(last) && slices.Contains(k.Parts, part) && !upstreams[k.Upstream] {
			crashed = append(crashed, k.At)
			upstreams[k.Upstream] = true
		}
	}
	return evidence{outages: countOutages(crashed), upstreams: len(upstreams), novel: last.IsZero()}
}

// lastCrash returns the time of the last crash on a request with the part.
func (c *Containment) lastCrash(part uint64) time.Time {
	var last time.Time
	for _, k := range c.crashes {
		if slices.Contains(k.Parts, part) && k.At.After(last) {
			last = k.At
		}
	}
	return last
}

// isMassCrash reports whether many upstreams were lost in the outage of a crash, half of
// them or more without a request with the part, so that it is not the likely cause.
func (c *Containment) isMassCrash(crash Crash, part uint64) bool {
	with, lost := map[uint64]bool{}, map[uint64]bool{}
	for _, k := range c.crashes {
		if k.At.Sub(crash.At).Abs() <= massWindow {
			lost[k.Upstream] = true
			if slices.Contains(k.Parts, part) {
				with[k.Upstream] = true
			}
		}
	}
	return len(lost) >= massCrash && 2*len(with) <= len(lost)
}

func containsAll(parts, wanted []uint64) bool {
	for _, p := range wanted {
		if !slices.Contains(parts, p) {
			return false
		}
	}
	return true
}
