package policy

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"parsleyroute.example/core"
)

// reportInterval is the interval between load reports while a request runs.
const reportInterval = 500 * time.Millisecond

// activeDuration is the time after the last request of an entry for which an
// agent counts the entry as active.
const activeDuration = 10 * time.Second

// simStart is the time at which a simulation starts. It differs from the zero
// time, which means that no report has been received.
var simStart = time.Unix(0, 0)

// Result is the result of one picker in one scenario.
type Result struct {
	Requests int
	// P50, P99 and Mean are latencies. P99Delay is the 99th percentile of the
	// delay, that is, of the latency minus the service time at an upstream of
	// normal speed.
	P50, P99, Mean time.Duration
	P99Delay       time.Duration
	// PeakLoad is the maximum number of requests at one upstream of normal speed
	// and PeakLoadSlow that at the slow upstream, both divided by the slots.
	PeakLoad     float64
	PeakLoadSlow float64
	// OtherZoneShare is the fraction of requests that are served in another zone.
	OtherZoneShare float64
	// RefusalRate is the number of refusals by agents per request.
	RefusalRate float64
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *events) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

type job struct {
	request
	entry     *entry
	candidate int
}

type entry struct {
	zone       string
	picker     core.Picker
	candidates []core.Candidate
	// upstreams holds the upstream of each candidate.
	upstreams []*upstream
	waiting   []*job
	// retryScheduled is set while a later dispatch is scheduled.
	retryScheduled bool
}

type upstream struct {
	zone         string
	speed        float64
	busy         int
	queue        []*job
	peakInflight int
	// history holds the changes of the number of requests at the upstream, as
	// far back as reports need them.
	history []change
	// inflightByEntry counts the requests of each entry that are queued or
	// running, and lastRequest holds the time of its last request.
	inflightByEntry map[*entry]int
	lastRequest     map[*entry]time.Duration
}

type change struct {
	at       time.Duration
	inflight int
}

type sim struct {
	Scenario
	now        time.Duration
	seq        int
	events     events
	entries    []*entry
	upstreams  []*upstream
	latencies  []time.Duration
	delays     []time.Duration
	latencySum time.Duration
	otherZone  int
	refusals   int
	measured   int
}

// Run simulates the scenario with a picker.
func (s Scenario) Run(p Picker) Result {
	s = s.withDefaults()
	m := &sim{Scenario: s}
	states := s.upstreams()
	for i, u := range states {
		up := &upstream{zone: u.Zone, speed: 1, history: []change{{}}, inflightByEntry: map[*entry]int{}, lastRequest: map[*entry]time.Duration{}}
		if i == 0 {
			up.speed = 1 / s.Slowdown
		}
		m.upstreams = append(m.upstreams, up)
	}
	for i := range s.Entries {
		r := rand.New(rand.NewPCG(s.Seed, uint64(2+i)))
		e := &entry{zone: zone(i % s.Zones), picker: p.New(zone(i%s.Zones), r.IntN)}
		for _, k := range s.subset(i, states) {
			e.candidates = append(e.candidates, core.Candidate{Name: states[k].Name, Zone: states[k].Zone, Limit: s.Slots})
			e.upstreams = append(e.upstreams, m.upstreams[k])
		}
		m.entries = append(m.entries, e)
	}
	for _, req := range s.arrivals() {
		m.schedule(req.arrival, func() {
			e := m.entries[req.entry]
			e.waiting = append(e.waiting, &job{request: req, entry: e})
			m.dispatch(e)
		})
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
	return m.result()
}

func (m *sim) schedule(t time.Duration, run func()) {
	m.seq++
	heap.Push(&m.events, event{t, m.seq, run})
}

// dispatch sends the waiting requests of the entry to upstreams until its picker
// finds no upstream with credit.
func (m *sim) dispatch(e *entry) {
	for len(e.waiting) > 0 {
		i := e.picker.Pick(simStart.Add(m.now), e.candidates)
		if i < 0 {
			// Credit can increase without a new report: an entry may send a
			// probe request once a report without credit is old enough.
			if !e.retryScheduled {
				e.retryScheduled = true
				m.schedule(m.now+reportInterval, func() {
					e.retryScheduled = false
					m.dispatch(e)
				})
			}
			return
		}
		j, u := e.waiting[0], e.upstreams[i]
		if m.Credit && u.inflight() >= m.Slots {
			m.refusals++
			m.updateLoad(e, i)
			continue
		}
		e.waiting = e.waiting[1:]
		j.candidate = i
		e.candidates[i].OwnInflight++
		u.inflightByEntry[e]++
		u.lastRequest[e] = m.now
		m.enqueue(u, j)
	}
}

func (u *upstream) inflight() int { return u.busy + len(u.queue) }

func (m *sim) enqueue(u *upstream, j *job) {
	u.queue = append(u.queue, j)
	m.startQueued(u)
	u.peakInflight = max(u.peakInflight, u.inflight())
	m.recordChange(u)
}

func (m *sim) startQueued(u *upstream) {
	for u.busy < m.Slots && len(u.queue) > 0 {
		j := u.queue[0]
		u.queue = u.queue[1:]
		u.busy++
		m.updateLoad(j.entry, j.candidate)
		duration := time.Duration(float64(j.serviceTime) / u.speed)
		end := m.now + duration
		m.schedule(end, func() { m.finish(u, j) })
		for t := m.now + reportInterval; t < end; t += reportInterval {
			m.schedule(t, func() { m.updateLoad(j.entry, j.candidate) })
		}
	}
}

func (m *sim) finish(u *upstream, j *job) {
	u.busy--
	u.inflightByEntry[j.entry]--
	j.entry.candidates[j.candidate].OwnInflight--
	m.startQueued(u)
	m.recordChange(u)
	if j.arrival >= m.Duration/10 {
		m.measured++
		m.latencies = append(m.latencies, m.now-j.arrival)
		m.delays = append(m.delays, m.now-j.arrival-j.serviceTime)
		m.latencySum += m.now - j.arrival
		if u.zone != j.entry.zone {
			m.otherZone++
		}
	}
	m.updateLoad(j.entry, j.candidate)
	m.dispatch(j.entry)
}

func (m *sim) recordChange(u *upstream) {
	u.history = append(u.history, change{m.now, u.inflight()})
	for len(u.history) > 1 && u.history[1].at <= m.now-m.ReportLag {
		u.history = u.history[1:]
	}
}

// updateLoad delivers a load report to the entry: the load of the upstream one
// lag earlier and, if credit is used, the current credit.
func (m *sim) updateLoad(e *entry, candidate int) {
	u := e.upstreams[candidate]
	inflight := 0
	for _, c := range u.history {
		if c.at <= m.now-m.ReportLag {
			inflight = c.inflight
		}
	}
	credit := 1 << 30
	if m.Credit {
		active := 0
		for _, at := range u.lastRequest {
			if m.now-at < activeDuration {
				active++
			}
		}
		free := max(0, m.Slots-u.inflight())
		credit = u.inflightByEntry[e] + (free+max(active, 1)-1)/max(active, 1)
	}
	e.candidates[candidate].Load = core.Load{Inflight: inflight, Limit: m.Slots, Credit: credit, OwnInflight: e.candidates[candidate].OwnInflight, ReceivedAt: simStart.Add(m.now)}
}

func (m *sim) result() Result {
	slices.Sort(m.latencies)
	slices.Sort(m.delays)
	n := len(m.latencies)
	if n == 0 {
		return Result{}
	}
	r := Result{
		Requests: n, P50: m.latencies[n/2], P99: m.latencies[n*99/100], Mean: m.latencySum / time.Duration(n), P99Delay: m.delays[n*99/100],
		OtherZoneShare: float64(m.otherZone) / float64(n), RefusalRate: float64(m.refusals) / float64(n),
		PeakLoadSlow: float64(m.upstreams[0].peakInflight) / float64(m.Slots),
	}
	for _, u := range m.upstreams[1:] {
		r.PeakLoad = max(r.PeakLoad, float64(u.peakInflight)/float64(m.Slots))
	}
	return r
}
