package policy

import (
	"math"
	"time"
)

const (
	// limitWindow is the least window in which the requests to an upstream are counted
	// that has named a limit. A longer one lets gates share limits of less than one
	// request per second and gate.
	limitWindow = 4 * time.Second
	// MaxQuotaWindow is the longest window of a quota. The shares of gates that have
	// changed are known for that long.
	MaxQuotaWindow = 10 * time.Second
	// limitExpiry is the time without a response after which a limit counts as ended,
	// since an upstream that gets no requests cannot say that it has.
	limitExpiry = MaxQuotaWindow
	// rampDoubling is the time in which the rate doubles after the end of a limit, and
	// rampDuration the time after which the rate is no longer limited. All gates learn of
	// the end within a few hundred milliseconds and would send their next requests there.
	rampDoubling = 500 * time.Millisecond
	rampDuration = 6 * rampDoubling
	// minRampRate is the least rate at the end of a limit, in requests per second.
	minRampRate = 0.25
	// maxLimit is the rate from which a limit is ignored. It bounds the number of requests
	// whose times are kept.
	maxLimit = 1000
)

// RateLimit is what is known of the limit that an upstream names in its responses: the
// number of requests per second that it takes from all gates together. The zero value
// knows no limit. It is not safe for concurrent use.
type RateLimit struct {
	known bool
	// rate is the last limit, in requests per second.
	rate float64
	// at is the time of the latest response, at which the limit was in force unless
	// ended is set.
	at    time.Time
	ended bool
}

// Observe records a response of the given time. perSecond is the limit that it names,
// infinite if it names none. Observe ignores responses that are older than the latest
// known one, and reports whether the limit has changed.
func (l *RateLimit) Observe(at time.Time, perSecond float64) bool {
	if l.known && at.Before(l.at) {
		return false
	}
	limited := perSecond < maxLimit
	switch {
	case limited:
		changed := !l.known || l.ended || l.rate != perSecond
		l.known, l.rate, l.at, l.ended = true, perSecond, at, false
		return changed
	case l.known && !l.ended:
		l.at, l.ended = at, true
		return true
	}
	return false
}

// Rate returns the number of requests per second that the upstream takes now, infinite
// if it is not limited.
func (l *RateLimit) Rate(now time.Time) float64 {
	if !l.known {
		return math.Inf(1)
	}
	end := l.at
	if !l.ended {
		end = l.at.Add(limitExpiry)
	}
	ramp := now.Sub(end)
	switch {
	case ramp < 0:
		return l.rate
	case ramp >= rampDuration:
		return math.Inf(1)
	}
	return max(l.rate, minRampRate) * math.Exp2(ramp.Seconds()/rampDoubling.Seconds())
}

// Known returns the limit of the latest response, infinite if it named none, and the
// time of that response. ok is false if the limit is no longer of use.
func (l *RateLimit) Known(now time.Time) (perSecond float64, at time.Time, ok bool) {
	if math.IsInf(l.Rate(now), 1) {
		return 0, time.Time{}, false
	}
	if l.ended {
		return math.Inf(1), l.at, true
	}
	return l.rate, l.at, true
}

// Quota returns the quota of all gates together. ok is false if the upstream is not
// limited.
func (l *RateLimit) Quota(now time.Time) (q Quota, ok bool) {
	rate := l.Rate(now)
	if math.IsInf(rate, 1) {
		return Quota{}, false
	}
	return rateQuota(rate), true
}

// rateQuota returns the quota with the least window of at least limitWindow that has a
// whole number of requests. Limits of less than one request in MaxQuotaWindow are
// exceeded by that one, since only its response shows when the limit has ended.
func rateQuota(perSecond float64) Quota {
	count := max(1, math.Ceil(perSecond*limitWindow.Seconds()))
	window := MaxQuotaWindow.Seconds()
	if perSecond > 0 {
		window = min(window, count/perSecond)
	}
	return Quota{Count: int(count), Window: time.Duration(window * float64(time.Second))}
}
