package picker

import (
	"math"
	"time"

	"parsleyroute.example/core"
)

// TwoChoices takes the less loaded of two random candidates (Mitzenmacher, The
// Power of Two Choices in Randomized Load Balancing, 2001). A candidate's load
// is the entry's own requests in flight plus the reported ones of other
// entries, aged by the report's lag towards the mean of all reports, divided by
// the limit.
//
// Candidates in the own zone come first. For a share of the requests the best
// choice of the other zones is compared too, and taken if it is clearly less
// loaded. The share grows linearly with the own zone's load from SpillFrom to
// SpillTo.
//
// The candidate with the highest affinity is compared as a third choice, with
// a bonus that shrinks to zero as its load reaches the limit.
type TwoChoices struct {
	// Zone is the entry's own zone; empty treats all zones alike.
	Zone string
	// Decay is the time in which a report loses all but 1/e of its weight;
	// default 250 ms. A negative value turns ageing off.
	Decay time.Duration
	// Bonus is the load that a full affinity makes up for at an idle
	// candidate; default 0.5.
	Bonus float64
	// SpillFrom and SpillTo are the loads of the own zone at which other zones
	// begin to be compared and are always compared; defaults 0.7 and 1.1.
	SpillFrom float64
	SpillTo   float64
	// IntN returns a random number in [0, n); default math/rand/v2.
	IntN func(n int) int
}

// farther is the load by which a candidate of another zone must be better. It
// keeps requests in their zone where both are loaded alike.
const farther = 0.1

// Pick implements core.Picker.
func (p *TwoChoices) Pick(now time.Time, candidates []core.Candidate) int {
	v := p.view(now, candidates)
	if p.Zone == "" {
		return v.choose(func(*core.Candidate) bool { return true })
	}
	local := func(c *core.Candidate) bool { return c.Zone == p.Zone }
	remote := func(c *core.Candidate) bool { return c.Zone != p.Zone }
	near := v.choose(local)
	if near >= 0 && p.random() >= v.spill() {
		return near
	}
	far := v.choose(remote)
	if near >= 0 && (far < 0 || v.score(far)+farther >= v.score(near)) {
		return near
	}
	return far
}

func (p *TwoChoices) random() float64 { return float64(intN(p.IntN, 1<<20)) / (1 << 20) }

// view is what one call of Pick sees.
type view struct {
	*TwoChoices
	now        time.Time
	candidates []core.Candidate
	// mean is the mean load by other entries, each report weighted by its age.
	mean float64
}

func (p *TwoChoices) view(now time.Time, candidates []core.Candidate) view {
	v := view{TwoChoices: p, now: now, candidates: candidates}
	var sum, weights float64
	for i := range candidates {
		c := &candidates[i]
		w := v.weight(c)
		sum += w * others(c) / limit(c)
		weights += w
	}
	if weights > 0 {
		v.mean = sum / weights
	}
	return v
}

// spill returns the share of requests that may go to other zones.
func (v *view) spill() float64 {
	from, to := v.SpillFrom, v.SpillTo
	if from == 0 {
		from = 0.7
	}
	if to == 0 {
		to = 1.1
	}
	var load, room float64
	for i := range v.candidates {
		if c := &v.candidates[i]; c.Zone == v.Zone {
			load += v.inflight(c)
			room += limit(c)
		}
	}
	if room == 0 {
		return 1
	}
	return min(max((load/room-from)/(to-from), 0), 1)
}

// choose returns the best of two random members with credit and the member
// with the highest affinity, or -1.
func (v *view) choose(member func(*core.Candidate) bool) int {
	n, affine := 0, -1
	for i := range v.candidates {
		c := &v.candidates[i]
		if !member(c) || !open(v.now, c) {
			continue
		}
		n++
		if c.Affinity > 0 && (affine < 0 || c.Affinity > v.candidates[affine].Affinity) {
			affine = i
		}
	}
	if n == 0 {
		return -1
	}
	a, b := intN(v.IntN, n), 0
	if n > 1 {
		b = intN(v.IntN, n-1)
		if b >= a {
			b++
		}
	}
	first, second, k := -1, -1, 0
	for i := range v.candidates {
		if c := &v.candidates[i]; !member(c) || !open(v.now, c) {
			continue
		}
		if k == a {
			first = i
		}
		if k == b {
			second = i
		}
		k++
	}
	// Equal scores go to the first choice, which is random; the lower index
	// would otherwise win each tie.
	best, lowest := first, v.score(first)
	for _, i := range [...]int{second, affine} {
		if i < 0 {
			continue
		}
		if s := v.score(i); s < lowest {
			best, lowest = i, s
		}
	}
	return best
}

// ownWeight is the weight of the entry's own requests in a score. Entries act
// alike on like reports, so a rise of the own requests since the report tells
// of a rise of the others' too. 3 gave a lower p99 than 1 at all lags from 50 ms
// to 2 s (docs/balance.md).
const ownWeight = 3

func (v *view) score(i int) float64 {
	c := &v.candidates[i]
	bonus := v.Bonus
	if bonus == 0 {
		bonus = 0.5
	}
	load := (v.inflight(c) + (ownWeight-1)*float64(c.OwnInflight)) / limit(c)
	return load - bonus*c.Affinity*max(0, 1-load)
}

// inflight estimates the requests in flight at the candidate: the entry's own,
// and those of other entries. As a report gets old, the mean of all reports
// takes its place, because requests that have ended there have been followed
// by others.
func (v *view) inflight(c *core.Candidate) float64 {
	w := v.weight(c)
	return float64(c.OwnInflight) + w*others(c) + (1-w)*v.mean*limit(c)
}

func others(c *core.Candidate) float64 { return float64(max(0, c.Load.Inflight-c.Load.OwnInflight)) }

// weight returns the weight of the candidate's report.
func (v *view) weight(c *core.Candidate) float64 {
	if c.Load.ReceivedAt.IsZero() {
		return 0
	}
	if v.Decay < 0 {
		return 1
	}
	decay := v.Decay
	if decay == 0 {
		decay = 250 * time.Millisecond
	}
	return math.Exp(-max(0, v.now.Sub(c.Load.ReceivedAt).Seconds()) / decay.Seconds())
}
