package outage

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"parsleyroute.example/gate/process/policy"
)

// Scenario describes a service, its callers and an outage.
type Scenario struct {
	// Rate is the number of new requests per second, Slots the number that the
	// service runs at once, and ServiceTime the time that each takes.
	Rate        float64
	Slots       int
	ServiceTime time.Duration
	// Objective is the time within which a request is to start, Deadline the time
	// that its caller has, and MaxWait the time after which a waiting request is
	// refused.
	Objective, Deadline, MaxWait time.Duration
	// Start and Outage are the start and the length of the outage, Duration the time
	// in which requests arrive.
	Start, Outage, Duration time.Duration
	// Arrival grants slots in order of arrival. Otherwise requests that can still be in
	// time come first, as in a gate.
	Arrival bool
	// Impatient is the fraction of the callers that ignore the time that they are
	// told, and come back up to ImpatientTries times.
	Impatient float64
	Seed      uint64
}

// ImpatientTries is how often an impatient caller comes back, ImpatientDelay after
// each refusal.
const (
	ImpatientTries = 3
	ImpatientDelay = 100 * time.Millisecond
)

// Rule returns the time after which a refused caller is to come back, given the time
// that it has waited and has left.
type Rule func(now time.Time, waited, left time.Duration) time.Duration

// ShortageRule returns the rule of a gate.
func ShortageRule() Rule {
	var s policy.Shortage
	return s.Refuse
}

// FixedRule returns a rule that always returns after.
func FixedRule(after time.Duration) Rule {
	return func(time.Time, time.Duration, time.Duration) time.Duration { return after }
}

// Result counts the requests by how they ended.
type Result struct {
	// InTime requests started within the objective, Late ones later. Refused ones
	// were refused and never served, Again of them came back in vain.
	InTime, Late, Refused, Again int
	// MeanDelay is the mean time from the first arrival to the start of the late
	// requests.
	MeanDelay time.Duration
	// InTimeBySecond and LateBySecond count served requests, RefusedBySecond
	// refusals, by the second in which they happened.
	InTimeBySecond, LateBySecond, RefusedBySecond []int
}

// caller is a caller's present try.
type caller struct {
	first, arrived time.Duration
	refusals       int
	impatient      bool
	started        bool
}

// event is the arrival of a caller, the end of its wait or the end of its service.
type event struct {
	at   time.Duration
	kind eventKind
	c    *caller
}

type eventKind int

const (
	serviceEnd eventKind = iota
	arrival
	waitEnd
)

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].kind < q[j].kind
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simulation is the state of one run.
type simulation struct {
	Scenario
	rule    Rule
	events  eventQueue
	waiting []*caller
	running int
	result  Result
}

// epoch is the time at which simulations start.
var epoch = time.Unix(0, 0)

// Run plays the scenario with a rule.
func (s Scenario) Run(rule Rule) Result {
	m := &simulation{Scenario: s, rule: rule}
	seconds := int((s.Duration+s.Deadline)/time.Second) + 1
	m.result.InTimeBySecond, m.result.LateBySecond, m.result.RefusedBySecond = make([]int, seconds), make([]int, seconds), make([]int, seconds)
	rnd := rand.New(rand.NewPCG(s.Seed, 1))
	for at := time.Duration(0); at < s.Duration; at += time.Duration(rnd.ExpFloat64() / s.Rate * float64(time.Second)) {
		heap.Push(&m.events, event{at: at, kind: arrival, c: &caller{first: at, impatient: rnd.Float64() < s.Impatient}})
	}
	// The service is back at the end of the outage.
	heap.Push(&m.events, event{at: s.Start + s.Outage, kind: waitEnd})
	var lateTotal time.Duration
	for m.events.Len() > 0 {
		e := heap.Pop(&m.events).(event)
		switch {
		case e.kind == serviceEnd:
			m.running--
		case e.c == nil:
		case e.kind == arrival:
			e.c.arrived = e.at
			m.waiting = append(m.waiting, e.c)
			heap.Push(&m.events, event{at: e.at + min(s.MaxWait, e.c.first+s.Deadline-e.at), kind: waitEnd, c: e.c})
		case !e.c.started && e.at-e.c.arrived >= min(s.MaxWait, e.c.first+s.Deadline-e.c.arrived):
			m.refuse(e.at, e.c)
		}
		lateTotal += m.start(e.at)
	}
	m.result.MeanDelay = lateTotal / time.Duration(max(1, m.result.Late))
	return m.result
}

// start runs waiting requests while slots are free, and returns the sum of the
// delays of the late ones.
func (m *simulation) start(now time.Duration) time.Duration {
	if now >= m.Start && now < m.Start+m.Outage {
		return 0
	}
	var late time.Duration
	for m.running < m.Slots && len(m.waiting) > 0 {
		c := m.next(now)
		c.started = true
		m.running++
		heap.Push(&m.events, event{at: now + m.ServiceTime, kind: serviceEnd})
		if delay := now - c.first; delay <= m.Objective {
			m.result.InTime++
			m.result.InTimeBySecond[now/time.Second]++
		} else {
			m.result.Late++
			m.result.LateBySecond[now/time.Second]++
			late += delay
		}
	}
	return late
}

// next removes and returns the next request to run.
func (m *simulation) next(now time.Duration) *caller {
	at := slices.IndexFunc(m.waiting, func(c *caller) bool { return now-c.first <= m.Objective })
	if m.Arrival || at < 0 {
		at = 0
	}
	c := m.waiting[at]
	m.waiting = slices.Delete(m.waiting, at, at+1)
	return c
}

// refuse refuses a waiting caller, who may come back.
func (m *simulation) refuse(now time.Duration, c *caller) {
	if at := slices.Index(m.waiting, c); at >= 0 {
		m.waiting = slices.Delete(m.waiting, at, at+1)
	}
	m.result.RefusedBySecond[now/time.Second]++
	left := c.first + m.Deadline - now
	after := min(m.rule(epoch.Add(now), now-c.arrived, left), left/3)
	tries := 1
	if c.impatient {
		after, tries = ImpatientDelay, ImpatientTries
	}
	if c.refusals++; c.refusals > tries || left <= after {
		m.result.Refused++
		if c.refusals > 1 {
			m.result.Again++
		}
		return
	}
	heap.Push(&m.events, event{at: now + after, kind: arrival, c: c})
}
