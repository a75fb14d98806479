package admit

import (
	"context"
	"slices"
	"sync"
	"time"

	"parsleyroute.example/core"
)

// DefaultLength is the default of Queue.Length.
const DefaultLength = 1024

// Queue holds the requests of one service that wait for capacity. It is fair by
// team weight: start-time fair queueing (Goyal, Vin and Cheng, Start-Time Fair
// Queueing, 1996) with a cost of one for each request. Inside a team it is
// ordered by priority, then deadline, then arrival.
//
// Length bounds all waiting requests. When it is reached, a request of the team
// that holds most for its weight makes room, so a team that floods the queue
// displaces its own requests only.
type Queue struct {
	// Clock is needed.
	Clock core.Clock
	// Length is the greatest number of waiting requests; default
	// DefaultLength. SetLength changes it later.
	Length int

	mu      sync.Mutex
	arrival uint64
	waiting int
	classes map[string]int
	teams   map[string]*flow
	virtual float64
	pace    pace
}

// flow holds the waiting requests of one team, in order, and the start tag of
// the next one.
type flow struct {
	team   string
	start  float64
	weight float64
	items  []*Item
}

// SetLength changes the bound. Requests that wait already stay.
func (q *Queue) SetLength(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.Length = n
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}

// Wait blocks until it.Use has taken capacity, and returns nil. It returns a
// refusal at once if the queue is full for the team (core.ReasonQueueFull) or
// the estimated wait exceeds the deadline (core.ReasonDeadline), and later if
// the deadline passes, another request needs the room, or ctx ends
// (core.ReasonCanceled). An item that waits again after it was granted keeps
// its arrival.
func (q *Queue) Wait(ctx context.Context, it *Item) error {
	if err := ctx.Err(); err != nil {
		return canceled(err)
	}
	now := q.Clock.Now()
	if !it.Deadline.IsZero() && !now.Before(it.Deadline) {
		return core.NewRefusal(core.ReasonDeadline, "the deadline has passed")
	}
	admitted, err := q.enter(now, it)
	if err != nil || admitted {
		return err
	}
	var expired <-chan time.Time
	if !it.Deadline.IsZero() {
		expired = q.Clock.After(it.latest().Sub(now))
	}
	select {
	case err := <-it.done:
		return err
	case <-expired:
		return q.leave(it, core.NewRefusal(core.ReasonDeadline, "the deadline passed while the request waited"))
	case <-ctx.Done():
		return q.leave(it, canceled(ctx.Err()))
	}
}

func canceled(err error) error { return core.NewRefusal(core.ReasonCanceled, err.Error()) }

// enter grants the request at once or puts it into the queue.
func (q *Queue) enter(now time.Time, it *Item) (admitted bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.classes == nil {
		q.classes, q.teams = map[string]int{}, map[string]*flow{}
	}
	// An item that waits could not use the capacity there is, so only items of
	// the same class can be overtaken here.
	if q.classes[it.Class] == 0 && it.Use() {
		return true, nil
	}
	if it.arrival == 0 {
		q.arrival++
		it.arrival = q.arrival
	}
	it.done = make(chan error, 1)
	if wait := q.estimate(now, it); !it.Deadline.IsZero() && now.Add(wait).After(it.latest()) {
		return false, refuse(core.ReasonDeadline, "the estimated wait exceeds the deadline", wait)
	}
	if q.waiting == 0 {
		q.pace.begin(now)
	}
	q.insert(it)
	if q.waiting > q.length() {
		worst := q.displace()
		refusal := refuse(core.ReasonQueueFull, "the queue is full", q.estimate(now, worst))
		if worst == it {
			return false, refusal
		}
		worst.done <- refusal
	}
	q.grant(now)
	return false, nil
}

func refuse(reason core.Reason, message string, after time.Duration) *core.Refusal {
	r := core.NewRefusal(reason, message)
	r.RetryAfter = min(max(after, 100*time.Millisecond), time.Minute)
	return r
}

func (q *Queue) length() int {
	if q.Length > 0 {
		return q.Length
	}
	return DefaultLength
}

// leave takes a request out of the queue, unless it has been decided already.
func (q *Queue) leave(it *Item, refusal error) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case err := <-it.done:
		return err
	default:
	}
	q.remove(it)
	return refusal
}

// Grant lets waiting requests take capacity until none of them can use what is
// left, and returns how many did. It is called whenever capacity may have
// appeared: when a request ends, when a report or a new configuration comes,
// and on a timer, because credit can also grow with time (picker.Credit).
func (q *Queue) Grant() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.grant(q.Clock.Now())
}

func (q *Queue) grant(now time.Time) int {
	n := 0
	var failed map[string]bool
	for len(failed) < len(q.classes) {
		it := q.next(now, failed)
		if it == nil {
			break
		}
		if !it.Use() {
			if failed == nil {
				failed = map[string]bool{}
			}
			failed[it.Class] = true
			continue
		}
		q.serve(now, it)
		n++
	}
	return n
}

// next returns the first item whose class has not failed, in the order of
// start tags and then inside the team.
func (q *Queue) next(now time.Time, failed map[string]bool) *Item {
	var best *Item
	var tag *flow
	for _, f := range q.teams {
		if tag != nil && f.start > tag.start {
			continue
		}
		for _, it := range f.items {
			if failed[it.Class] || !it.Deadline.IsZero() && !now.Before(it.latest()) {
				continue
			}
			if tag == nil || f.start < tag.start || it.arrival < best.arrival {
				best, tag = it, f
			}
			break
		}
	}
	return best
}

// serve takes a granted item out and moves the tags on.
func (q *Queue) serve(now time.Time, it *Item) {
	f := q.teams[it.Team]
	q.virtual = max(q.virtual, f.start)
	f.start = max(f.start, q.virtual) + 1/f.weight
	q.remove(it)
	q.pace.granted(now)
	it.done <- nil
}

func (q *Queue) insert(it *Item) {
	f := q.teams[it.Team]
	if f == nil {
		f = &flow{team: it.Team}
		q.teams[it.Team] = f
	}
	if len(f.items) == 0 {
		f.start = max(f.start, q.virtual)
	}
	f.weight = weight(it)
	at, _ := slices.BinarySearchFunc(f.items, it, before)
	f.items = slices.Insert(f.items, at, it)
	q.classes[it.Class]++
	q.waiting++
}

func (q *Queue) remove(it *Item) {
	f := q.teams[it.Team]
	at, found := slices.BinarySearchFunc(f.items, it, before)
	if !found {
		return
	}
	f.items = slices.Delete(f.items, at, at+1)
	if q.classes[it.Class]--; q.classes[it.Class] == 0 {
		delete(q.classes, it.Class)
	}
	q.waiting--
	q.forget()
}

// forget drops the flows whose tags no longer matter: those without requests
// whose next start lies in the past, and all when the queue is empty.
func (q *Queue) forget() {
	if q.waiting == 0 {
		clear(q.teams)
		q.virtual = 0
		return
	}
	if len(q.teams) <= 2*q.waiting {
		return
	}
	for name, f := range q.teams {
		if len(f.items) == 0 && f.start <= q.virtual {
			delete(q.teams, name)
		}
	}
}

// displace takes the last item of the team that holds most for its weight out
// of the queue and returns it.
func (q *Queue) displace() *Item {
	var most *flow
	held := func(f *flow) float64 { return float64(len(f.items)) / f.weight }
	for _, f := range q.teams {
		if most == nil || held(f) > held(most) || held(f) == held(most) && f.team > most.team {
			most = f
		}
	}
	worst := most.items[len(most.items)-1]
	q.remove(worst)
	return worst
}
