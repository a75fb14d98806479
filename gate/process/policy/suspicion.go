package policy

import (
	"cmp"
	"slices"
	"time"
)

const (
	// outageWindow is the time within which crashes are taken for one outage, such as
	// the loss of a rack. massCrash is the number of upstreams that are lost in one
	// outage for another cause than a request to be likely.
	outageWindow = 500 * time.Millisecond
	massCrash    = 4
)

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
		switch order := e.compare(s.evidence); {
		case order < 0:
			continue
		case order > 0:
			s = suspicion{evidence: e}
		}
		s.parts = append(s.parts, p)
	}
	if s.outages < 2 && (!s.novel || c.isMassCrash(crash, s.parts[0])) {
		return suspicion{}
	}
	return s
}

// otherSuspect compares the suspicion of a request with those of the other requests that
// the same upstream had just begun to respond to when it crashed. It reports whether one
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
		if k.At.After(last) && slices.Contains(k.Parts, part) {
			crashed = append(crashed, k.At)
			upstreams[k.Upstream] = true
		}
	}
	slices.SortFunc(crashed, time.Time.Compare)
	e := evidence{upstreams: len(upstreams), novel: last.IsZero()}
	var start time.Time
	for _, at := range crashed {
		if at.Sub(start) > outageWindow {
			start = at
			e.outages++
		}
	}
	return e
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

// isMassCrash reports whether so many upstreams were lost in the outage of a crash without
// a request with the part that one part is not the likely cause.
func (c *Containment) isMassCrash(crash Crash, part uint64) bool {
	with, lost := map[uint64]bool{}, map[uint64]bool{}
	for _, k := range c.crashes {
		if k.At.Sub(crash.At).Abs() <= outageWindow {
			lost[k.Upstream] = true
			if slices.Contains(k.Parts, part) {
				with[k.Upstream] = true
			}
		}
	}
	return len(lost) >= massCrash && len(with) < len(lost)
}

func containsAll(parts, wanted []uint64) bool {
	for _, p := range wanted {
		if !slices.Contains(parts, p) {
			return false
		}
	}
	return true
}
