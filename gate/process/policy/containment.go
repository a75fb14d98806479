package policy

import (
	"slices"
	"sync"
	"time"
)

const (
	// containmentTime is how long requests with a suspect part are contained after
	// its first crash. It doubles with each further one, up to maxContainmentTime.
	containmentTime    = 2 * time.Minute
	maxContainmentTime = 15 * time.Minute
	// outageTime is how long a crash stops all requests of a group. A part is tried
	// again early once the refusals have cost as many requests, which also doubles
	// with each crash.
	outageTime = 3500 * time.Millisecond
	// minRequests is added to the requests of which the refused fraction is taken, so
	// that the first few do not decide.
	minRequests = 10
	// maxDoublings keeps the containment time from overflowing.
	maxDoublings = 10
	// rivalFactor is how many times as many requests with one of two parts, either of
	// which may have caused a crash, are refused before the other part is tried.
	rivalFactor = 4
	// trialSlot is the time in which only one gate may try a contained part again.
	// It is longer than a result takes to reach the other gates.
	trialSlot = 2 * time.Second
	// crashRetention is how long a crash is remembered.
	crashRetention = 2 * maxContainmentTime
	// maxCrashes and maxCrashParts limit the crashes that are kept and the parts of
	// each, maxSuccesses the successes in each of two maps, maxLosses the losses that
	// are not known to be crashes, and maxEnded the upstreams that have crashed lately.
	maxCrashes    = 64
	maxCrashParts = 32
	maxSuccesses  = 1 << 15
	maxLosses     = 256
	maxEnded      = 64
	// newsTime is how long a crash without a probable cause is told to other gates. Each
	// of them gets a heartbeat in that time.
	newsTime = time.Second
	// confirmTime is how long after a loss a restart of the upstream shows that it has
	// crashed. A process that starts again is listed within that time.
	confirmTime = 5 * time.Second
)

// Crash is the crash of an upstream while it had a request to which it had not responded
// beyond the beginning. What has arrived of the response does not matter, since nothing,
// the header or an event may have left the upstream before it crashed.
type Crash struct {
	// ID identifies the crash among the reports of all gates, and Upstream the
	// process that crashed.
	ID, Upstream uint64
	// Parts are the shared parts of the request's prompt.
	Parts []uint64
	// Sent is the time at which the request was sent, zero if it is not known. At is the
	// time at which the crash was noticed.
	Sent, At time.Time
}

// Containment decides which requests are refused because they would crash an
// upstream. It answers a part of prompts on which each upstream crashes that begins to
// respond, while healthy requests share all other parts with those that crash.
//
// A part is cleared once an upstream has responded to a request with it after the crash.
// Of the other parts of a crash, those that occur in most outages are suspect, among
// these those without any earlier success, and among these those in most crashes. A
// single outage makes only parts without any success suspect, since an upstream may
// crash for another reason while it has a healthy request. The more requests have a part
// to which upstreams have responded, the more outages make it suspect, since the part is
// then in most crashes whatever their cause. If an upstream had several requests when it
// crashed, only the most suspect parts count, and none after a single outage if it had
// more than maxRivals.
//
// A request is contained if it has all suspect parts of a crash: as long as two parts
// cannot be told apart, requests with only one of them pass, and their result tells.
// After the containment time, or once the refusals have cost as much as a crash, gates
// try the parts again, one after the other and with one request each.
//
// The zero value is ready to use. It is safe for concurrent use.
type Containment struct {
	mu      sync.Mutex
	crashes []Crash
	// losses are responses that were lost at upstreams that accept connections. Such an
	// upstream may have crashed and started again.
	losses []Crash
	// ended holds the latest crashes, also those that say nothing of any part.
	ended []endedUpstream
	// causes are the probable causes of the crashes. They are computed again after a
	// change, if outdated is set.
	causes   []cause
	outdated bool
	// successes holds the successes of each part, and older those before the last time
	// that the map was full.
	successes, older map[uint64]successCount
	// responses counts the requests with parts that were successful.
	responses decayingCount
	// trials holds what this gate has done about each suspect part since its last
	// crash.
	trials map[uint64]*trial
	// requests counts the checked requests, without those of returned callers.
	requests int
}

// trial is what a gate has done about a suspect part since its last crash.
type trial struct {
	// at is the time of the last trial.
	at time.Time
	// since is the time from which refused counts the refused requests without those
	// of returned callers. There had been requestsBefore requests by then.
	since                   time.Time
	refused, requestsBefore int
}

// Success records that an upstream has responded to a request with these parts beyond
// the beginning. It reports whether one of them was suspect.
func (c *Containment) Success(at time.Time, parts ...uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasSuspect := false
	isNew := false
	for _, p := range parts {
		count := c.success(p)
		last := count.last
		if !at.After(last) {
			continue
		}
		isNew = true
		if len(c.successes) >= maxSuccesses {
			c.older, c.successes = c.successes, nil
		}
		if c.successes == nil {
			c.successes = map[uint64]successCount{}
		}
		count.last = at
		count.add(at)
		c.successes[p] = count
		wasSuspect = wasSuspect || slices.ContainsFunc(c.crashes, func(k Crash) bool {
			return k.At.After(last) && slices.Contains(k.Parts, p)
		})
	}
	if isNew {
		// Peers repeat what they know.
		c.responses.add(at)
	}
	c.outdated = c.outdated || wasSuspect
	return wasSuspect
}

// success returns the successes of a part.
func (c *Containment) success(part uint64) successCount {
	if s, ok := c.successes[part]; ok {
		return s
	}
	return c.older[part]
}

// lastSuccess returns the time of the last success of a part, or the zero time.
func (c *Containment) lastSuccess(part uint64) time.Time { return c.success(part).last }

// ObserveLoss records a response that was lost at an upstream that accepts connections.
func (c *Containment) ObserveLoss(loss Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.losses = slices.DeleteFunc(c.losses, func(l Crash) bool { return loss.At.Sub(l.At) > confirmTime })
	if len(c.losses) >= maxLosses {
		c.losses = slices.Delete(c.losses, 0, 1)
	}
	c.losses = append(c.losses, loss)
}

// ConfirmCrash records that an upstream has ended without notice and another process runs
// in its place, so that its lost responses were lost in a crash. It returns those that
// are new crashes with suspect parts.
func (c *Containment) ConfirmCrash(now time.Time, upstream uint64) []Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	var confirmed []Crash
	c.losses = slices.DeleteFunc(c.losses, func(l Crash) bool {
		if l.Upstream != upstream {
			return false
		}
		if now.Sub(l.At) <= confirmTime && c.observe(l) {
			confirmed = append(confirmed, l)
		}
		return true
	})
	return confirmed
}

// Observe records a crash. It reports whether the crash was unknown and has suspect
// parts.
func (c *Containment) Observe(crash Crash) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.observe(crash)
}

func (c *Containment) observe(crash Crash) bool {
	// Several requests at one upstream with the same parts say no more than one of them.
	isKnown := func(k Crash) bool {
		return k.ID == crash.ID || k.Upstream == crash.Upstream && slices.Equal(k.Parts, crash.Parts)
	}
	if len(crash.Parts) == 0 || slices.ContainsFunc(c.crashes, isKnown) {
		return false
	}
	c.recordEnd(crash)
	if !c.unifyTime(&crash) || !c.hasSuspects(crash) {
		return false
	}
	crash.Parts = c.mostSuspect(crash.Parts)
	for _, p := range crash.Parts {
		delete(c.trials, p)
	}
	if len(c.crashes) >= maxCrashes {
		i := c.leastSuspect()
		c.crashes = slices.Delete(c.crashes, i, i+1)
	}
	c.crashes = append(c.crashes, crash)
	c.outdated = true
	return true
}

// unifyTime gives all reports of the crash of one upstream the time of the first, since a
// process crashes once and some connections show it late. It returns false if the request
// was sent later than that.
func (c *Containment) unifyTime(crash *Crash) bool {
	for i, k := range c.crashes {
		if k.Upstream != crash.Upstream {
			continue
		}
		if !crash.Sent.IsZero() && crash.Sent.After(k.At) {
			return false
		}
		if crash.At.Before(k.At) {
			c.crashes[i].At = crash.At
		} else {
			crash.At = k.At
		}
	}
	return true
}

// leastSuspect returns the index of the oldest crash without a probable cause, or of one
// whose part is suspect in most crashes. An outage that ends many upstreams must not
// displace the crashes that contain a part.
func (c *Containment) leastSuspect() int {
	index, most := 0, 0
	count := map[uint64]int{}
	for i, k := range c.crashes {
		s := c.suspects(k)
		if len(s.parts) == 0 {
			return i
		}
		if count[s.parts[0]]++; count[s.parts[0]] > most {
			index, most = i, count[s.parts[0]]
		}
	}
	return index
}

// mostSuspect returns at most maxCrashParts of the parts, those without any success
// first.
func (c *Containment) mostSuspect(parts []uint64) []uint64 {
	list := slices.Clone(parts)
	slices.SortStableFunc(list, func(a, b uint64) int { return c.lastSuccess(a).Compare(c.lastSuccess(b)) })
	return list[:min(len(list), maxCrashParts)]
}

// Crashes returns the crashes that have suspect parts.
func (c *Containment) Crashes(now time.Time) []Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(now)
	return slices.Clone(c.crashes)
}

// News returns the crashes that other gates should be told of: those with a probable cause,
// and others while they are new. Most crashes say nothing of any part, and each would be in
// all heartbeats until an upstream responds to its parts.
func (c *Containment) News(now time.Time) []Crash {
	return slices.DeleteFunc(c.Crashes(now), func(k Crash) bool {
		return now.Sub(k.At) > newsTime && !c.HasCause(k)
	})
}

// HasCause reports whether a crash has a probable cause, so that requests are contained.
func (c *Containment) HasCause(crash Crash) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.suspects(crash).parts) > 0
}

// Successes returns the times of the last success of the parts of the given crashes.
func (c *Containment) Successes(crashes []Crash) map[uint64]time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	successes := map[uint64]time.Time{}
	for _, crash := range crashes {
		for _, p := range crash.Parts {
			if at := c.lastSuccess(p); !at.IsZero() {
				successes[p] = at
			}
		}
	}
	return successes
}

// forget drops the crashes that no longer contain requests: those whose parts are
// all cleared and those that happened long ago.
func (c *Containment) forget(now time.Time) {
	n := len(c.crashes)
	c.crashes = slices.DeleteFunc(c.crashes, func(k Crash) bool {
		return now.Sub(k.At) > crashRetention || !c.hasSuspects(k)
	})
	c.outdated = c.outdated || len(c.crashes) < n
	for part := range c.trials {
		if !slices.ContainsFunc(c.crashes, func(k Crash) bool { return slices.Contains(k.Parts, part) }) {
			delete(c.trials, part)
		}
	}
}

// hasSuspects reports whether a part of the crash has had no success since.
func (c *Containment) hasSuspects(crash Crash) bool {
	return slices.ContainsFunc(crash.Parts, func(p uint64) bool { return crash.At.After(c.lastSuccess(p)) })
}

// Verdict is the result of Containment.Check.
type Verdict struct {
	// Contained is set if the request must not be sent, and Until is the earliest
	// time at which another one with its parts may be.
	Contained bool
	Until     time.Time
	// Part is a suspect part of the request, and Outages the number of outages in
	// which upstreams have crashed on it.
	Part    uint64
	Outages int
	// Trial is set if the request is not contained so that its suspect parts are
	// tried again.
	Trial bool
	cause cause
}

// Position is the place of a gate in the order of all gates, in which they have their
// turns.
type Position struct{ Index, Gates int }

// isTurn reports whether it is the turn of the gate to try a part again, some time after
// the part's last crash. The gates have turns of one trialSlot each.
func (p Position) isTurn(sinceCrash time.Duration) bool {
	return int(max(0, sinceCrash)/trialSlot)%max(1, p.Gates) == p.Index
}

// Request is what Containment has to know of a request.
type Request struct {
	// Parts are the shared parts of its prompt.
	Parts []uint64
	// Returned is set if its caller has come back after a failure.
	Returned bool
}

// Check decides whether a request may be sent by the gate at the given position.
func (c *Containment) Check(now time.Time, r Request, p Position) Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !r.Returned {
		c.requests++
	}
	if c.outdated {
		c.causes, c.outdated = c.findCauses(), false
	}
	var verdict Verdict
	for _, k := range c.causes {
		if !containsAll(r.Parts, k.parts) {
			continue
		}
		until := k.lastCrash.Add(k.containmentTime())
		isSmaller := until.Equal(verdict.Until) && len(k.parts) < len(verdict.cause.parts)
		if until.After(verdict.Until) || isSmaller {
			verdict = Verdict{Contained: true, Until: until, Part: k.parts[0], Outages: k.outages, cause: k}
		}
	}
	if !verdict.Contained {
		return verdict
	}
	t := c.trialOf(verdict.Part, now)
	if !r.Returned {
		t.refused++
	}
	if c.isTrialDue(now, t, verdict, r, p) {
		t.at, t.since, t.refused, t.requestsBefore = now, now, 0, c.requests
		verdict.Contained, verdict.Trial = false, true
	}
	return verdict
}

// isTrialDue reports whether this gate may try the part of a verdict now, with the given
// request.
func (c *Containment) isTrialDue(now time.Time, t *trial, v Verdict, r Request, p Position) bool {
	if now.Sub(t.at) < trialSlot {
		return false
	}
	// A part that upstreams have not responded to because few requests have it is told
	// from one that is new and frequent, and tried first.
	if rival := c.trials[v.cause.rival]; rival != nil && rival.refused >= rivalFactor*max(1, t.refused) {
		return true
	}
	if !p.isTurn(now.Sub(v.cause.lastCrash)) {
		return false
	}
	refused, limit := c.refusedTime(now, t), outageTime<<min(v.Outages-1, maxDoublings)
	// A crash on a request that has another suspect part too would speak against both.
	// Requests without one have time to come first.
	return !now.Before(v.Until) || refused >= 2*limit || refused >= limit && !c.hasOtherSuspect(r, v.cause)
}

// hasOtherSuspect reports whether a request has a part, apart from those of the given cause,
// to which no upstream has responded since a crash on it, or ever.
func (c *Containment) hasOtherSuspect(r Request, k cause) bool {
	return slices.ContainsFunc(r.Parts, func(p uint64) bool {
		return !slices.Contains(k.parts, p) && !c.lastSuccess(p).After(c.lastCrash(p))
	})
}

// trialOf returns what this gate has done about a suspect part since its last crash.
func (c *Containment) trialOf(part uint64, now time.Time) *trial {
	t := c.trials[part]
	if t == nil {
		if c.trials == nil {
			c.trials = map[uint64]*trial{}
		}
		t = &trial{since: now, requestsBefore: c.requests}
		c.trials[part] = t
	}
	return t
}

// refusedTime returns the time in which as many requests arrive as have been refused.
func (c *Containment) refusedTime(now time.Time, t *trial) time.Duration {
	fraction := float64(t.refused) / float64(c.requests-t.requestsBefore+minRequests)
	return time.Duration(fraction * float64(now.Sub(t.since)))
}
