package policy

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"parsleyroute.example/core"
)

// every is the interval of the reports of requests in flight.
const every = 500 * time.Millisecond

// activeFor is the time for which an agent counts an entry as active.
const activeFor = 10 * time.Second

// epoch is the time at which a simulation starts. It is not the zero time,
// which stands for a report that has not come.
var epoch = time.Unix(0, 0)

// Result is what one picker did in one scenario.
type Result struct {
	Requests int
	// P50, P99 and Mean are latencies. Delay99 is the 99th percentile of the
	// latency less the request's length at an upstream of normal speed.
	P50, P99, Mean time.Duration
	Delay99        time.Duration
	// Peak is the greatest number of requests at one upstream of normal speed,
	// and PeakSlow that at the slow one, both divided by the slots.
	Peak     float64
	PeakSlow float64
	// Crossed is the share of requests served in another zone.
	Crossed float64
	// Refused is the number of refusals by agents for each request.
	Refused float64
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
	entry *entry
	slot  int
}

type entry struct {
	zone       string
	picker     core.Picker
	candidates []core.Candidate
	// upstream has the upstream of each candidate.
	upstream []*upstream
	waiting  []*job
	// again is set while a later try is scheduled.
	again bool
}

type upstream struct {
	zone  string
	speed float64
	busy  int
	queue []*job
	peak  int
	// past holds the times of changes and the number of requests since then.
	past []change
	// by counts the requests of each entry, and last has the time of its last.
	by   map[*entry]int
	last map[*entry]time.Duration
}

type change struct {
	at time.Duration
	n  int
}

type sim struct {
	Scenario
	now     time.Duration
	seq     int
	events  events
	entries []*entry
	ups     []*upstream
	times   []time.Duration
	delays  []time.Duration
	sum     time.Duration
	crossed int
	refused int
	counted int
}

// Run simulates the scenario with a picker.
func (s Scenario) Run(p Picker) Result {
	s = s.withDefaults()
	m := &sim{Scenario: s}
	states := s.upstreams()
	for i, u := range states {
		up := &upstream{zone: u.Zone, speed: 1, past: []change{{}}, by: map[*entry]int{}, last: map[*entry]time.Duration{}}
		if i == 0 {
			up.speed = 1 / s.Slow
		}
		m.ups = append(m.ups, up)
	}
	for i := range s.Entries {
		r := rand.New(rand.NewPCG(s.Seed, uint64(2+i)))
		e := &entry{zone: zone(i % s.Zones), picker: p.New(zone(i%s.Zones), r.IntN)}
		for _, k := range s.subset(i, states) {
			e.candidates = append(e.candidates, core.Candidate{Name: states[k].Name, Zone: states[k].Zone, Limit: s.Slots})
			e.upstream = append(e.upstream, m.ups[k])
		}
		m.entries = append(m.entries, e)
	}
	for _, q := range s.arrivals() {
		m.at(q.arrival, func() {
			e := m.entries[q.entry]
			e.waiting = append(e.waiting, &job{request: q, entry: e})
			m.send(e)
		})
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
	return m.result()
}

func (m *sim) at(t time.Duration, run func()) {
	m.seq++
	heap.Push(&m.events, event{t, m.seq, run})
}

// send dispatches the entry's waiting requests as far as there is credit.
func (m *sim) send(e *entry) {
	for len(e.waiting) > 0 {
		i := e.picker.Pick(epoch.Add(m.now), e.candidates)
		if i < 0 {
			// Credit can grow with time alone.
			if !e.again {
				e.again = true
				m.at(m.now+every, func() {
					e.again = false
					m.send(e)
				})
			}
			return
		}
		j, u := e.waiting[0], e.upstream[i]
		if m.Credit && u.total() >= m.Slots {
			m.refused++
			m.report(e, i)
			continue
		}
		e.waiting = e.waiting[1:]
		j.slot = i
		e.candidates[i].OwnInflight++
		u.by[e]++
		u.last[e] = m.now
		m.accept(u, j)
	}
}

func (u *upstream) total() int { return u.busy + len(u.queue) }

func (m *sim) accept(u *upstream, j *job) {
	u.queue = append(u.queue, j)
	m.start(u)
	u.peak = max(u.peak, u.total())
	m.changed(u)
}

func (m *sim) start(u *upstream) {
	for u.busy < m.Slots && len(u.queue) > 0 {
		j := u.queue[0]
		u.queue = u.queue[1:]
		u.busy++
		m.report(j.entry, j.slot)
		length := time.Duration(float64(j.length) / u.speed)
		end := m.now + length
		m.at(end, func() { m.end(u, j) })
		for t := m.now + every; t < end; t += every {
			m.at(t, func() { m.report(j.entry, j.slot) })
		}
	}
}

func (m *sim) end(u *upstream, j *job) {
	u.busy--
	u.by[j.entry]--
	j.entry.candidates[j.slot].OwnInflight--
	m.start(u)
	m.changed(u)
	if j.arrival >= m.Length/10 {
		m.counted++
		m.times = append(m.times, m.now-j.arrival)
		m.delays = append(m.delays, m.now-j.arrival-j.length)
		m.sum += m.now - j.arrival
		if u.zone != j.entry.zone {
			m.crossed++
		}
	}
	m.report(j.entry, j.slot)
	m.send(j.entry)
}

func (m *sim) changed(u *upstream) {
	u.past = append(u.past, change{m.now, u.total()})
	for len(u.past) > 1 && u.past[1].at <= m.now-m.Lag {
		u.past = u.past[1:]
	}
}

// report gives the entry the upstream's load as it was before the lag, and, if
// credit is in use, its credit as it is now.
func (m *sim) report(e *entry, i int) {
	u := e.upstream[i]
	n := 0
	for _, c := range u.past {
		if c.at <= m.now-m.Lag {
			n = c.n
		}
	}
	credit := 1 << 30
	if m.Credit {
		active := 0
		for _, at := range u.last {
			if m.now-at < activeFor {
				active++
			}
		}
		free := max(0, m.Slots-u.total())
		credit = u.by[e] + (free+max(active, 1)-1)/max(active, 1)
	}
	e.candidates[i].Load = core.Load{Inflight: n, Limit: m.Slots, Credit: credit, OwnInflight: e.candidates[i].OwnInflight, ReceivedAt: epoch.Add(m.now)}
}

func (m *sim) result() Result {
	slices.Sort(m.times)
	slices.Sort(m.delays)
	n := len(m.times)
	if n == 0 {
		return Result{}
	}
	r := Result{
		Requests: n, P50: m.times[n/2], P99: m.times[n*99/100], Mean: m.sum / time.Duration(n), Delay99: m.delays[n*99/100],
		Crossed: float64(m.crossed) / float64(n), Refused: float64(m.refused) / float64(n),
		PeakSlow: float64(m.ups[0].peak) / float64(m.Slots),
	}
	for _, u := range m.ups[1:] {
		r.Peak = max(r.Peak, float64(u.peak)/float64(m.Slots))
	}
	return r
}
