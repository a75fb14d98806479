package admit

import (
	"context"
	"slices"
	"sync"
	"time"

	"parsleyroute.example/core"
)

// DefaultMaxLength is the default of Queue.MaxLength.
const DefaultMaxLength = 1024

// Queue holds the requests of one service that wait for capacity. It divides
// capacity among teams by weight with start-time fair queueing (Goyal, Vin and
// Cheng, Start-Time Fair Queueing, 1996), where each request costs one. Requests
// of one team are ordered by priority, then deadline, then arrival. Requests that
// are late already, such as those that have waited for the end of an outage, get
// what the others leave.
//
// MaxLength bounds the number of waiting requests. When a request arrives at a
// full queue, the last request of the team with the most waiting requests per
// weight is refused. A team that floods the queue therefore evicts only its own
// requests.
type Queue struct {
	// Clock is required.
	Clock core.Clock
	// MaxLength is the maximum number of waiting requests; default
	// DefaultMaxLength. SetMaxLength changes it once the queue is in use.
	MaxLength int

	mu          sync.Mutex
	arrival     uint64         // arrival position of the last item
	waiting     int            // number of waiting items
	classes     map[string]int // number of waiting items by class
	teams       map[string]*flow
	virtualTime float64 // greatest start tag granted since the queue was empty
	interval    grantInterval
}

// flow holds the waiting requests of one team, in order, and the start tag of
// the next request to be granted.
type flow struct {
	team     string
	startTag float64
	weight   float64
	items    []*Item
}

// SetMaxLength sets MaxLength. Requests that are already waiting are not refused.
func (q *Queue) SetMaxLength(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.MaxLength = n
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}

// Wait blocks until it.TryAcquire succeeds, and then returns nil. It returns a
// refusal at once with core.ReasonDeadline if the estimated wait exceeds the
// deadline, and later if the deadline can no longer be met. The reason is
// core.ReasonQueueFull if the queue is full and this request is evicted, on
// arrival or later, and core.ReasonCanceled if ctx ends. An item that waits again
// after a grant keeps its place in the order of arrival.
func (q *Queue) Wait(ctx context.Context, it *Item) error {
	if err := ctx.Err(); err != nil {
		return canceled(err)
	}
	now := q.Clock.Now()
	if !it.Deadline.IsZero() && !now.Before(it.Deadline) {
		return core.NewRefusal(core.ReasonDeadline, "the deadline has passed")
	}
	admitted, err := q.admitOrEnqueue(now, it)
	if err != nil || admitted {
		return err
	}
	var expired <-chan time.Time
	if !it.Deadline.IsZero() {
		expired = q.Clock.After(it.latestStart().Sub(now))
	}
	select {
	case err := <-it.result:
		return err
	case <-expired:
		return q.withdraw(it, core.NewRefusal(core.ReasonDeadline, "the deadline passed while the request waited"))
	case <-ctx.Done():
		return q.withdraw(it, canceled(ctx.Err()))
	}
}

func canceled(err error) error { return core.NewRefusal(core.ReasonCanceled, err.Error()) }

// admitOrEnqueue grants the request at once or adds it to the queue.
func (q *Queue) admitOrEnqueue(now time.Time, it *Item) (admitted bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.classes == nil {
		q.classes, q.teams = map[string]int{}, map[string]*flow{}
	}
	// Waiting items of other classes cannot use the free capacity, so the
	// request overtakes nobody unless items of its own class wait.
	if q.classes[it.Class] == 0 && it.TryAcquire() {
		return true, nil
	}
	if it.arrival == 0 {
		q.arrival++
		it.arrival = q.arrival
	}
	it.result = make(chan error, 1)
	if wait := q.estimateWait(now, it); !it.Deadline.IsZero() && now.Add(wait).After(it.latestStart()) {
		return false, refuseWithRetry(core.ReasonDeadline, "the estimated wait exceeds the deadline", wait)
	}
	if q.waiting == 0 {
		q.interval.restart(now)
	}
	q.insert(it)
	if q.waiting > q.maxLength() {
		evicted := q.evict()
		refusal := refuseWithRetry(core.ReasonQueueFull, "the queue is full", q.estimateWait(now, evicted))
		if evicted == it {
			return false, refusal
		}
		evicted.result <- refusal
	}
	q.grant(now)
	return false, nil
}

// refuseWithRetry returns a refusal that suggests a retry after the given time,
// limited to between 100 ms and 1 min.
func refuseWithRetry(reason core.Reason, message string, retryAfter time.Duration) *core.Refusal {
	r := core.NewRefusal(reason, message)
	r.RetryAfter = min(max(retryAfter, 100*time.Millisecond), time.Minute)
	return r
}

func (q *Queue) maxLength() int {
	if q.MaxLength > 0 {
		return q.MaxLength
	}
	return DefaultMaxLength
}

// withdraw removes the item and returns the refusal, unless the item has already
// been granted or evicted; then it returns that result.
func (q *Queue) withdraw(it *Item, refusal error) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case err := <-it.result:
		return err
	default:
	}
	q.remove(it)
	return refusal
}

// Grant admits waiting requests until none of them can acquire capacity, and
// returns the number admitted. Call it whenever capacity may have become
// available: when a request ends, when a load report or a new configuration
// arrives, and periodically, because credit can also grow with time
// (picker.Credit).
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
		if !it.TryAcquire() {
			if failed == nil {
				failed = map[string]bool{}
			}
			failed[it.Class] = true
			continue
		}
		q.completeGrant(now, it)
		n++
	}
	return n
}

// next returns the next item to grant, or nil: the first eligible item of the
// flow with the lowest start tag, of the items that are not late if there is one.
// Items of the failed classes and items that can no longer meet their deadline are
// not eligible.
func (q *Queue) next(now time.Time, failed map[string]bool) *Item {
	if it := q.nextOf(now, failed, false); it != nil {
		return it
	}
	return q.nextOf(now, failed, true)
}

// nextOf returns the next item among those that are late, or among the others.
func (q *Queue) nextOf(now time.Time, failed map[string]bool, late bool) *Item {
	var best *Item
	var bestFlow *flow
	for _, f := range q.teams {
		if bestFlow != nil && f.startTag > bestFlow.startTag {
			continue
		}
		for _, it := range f.items {
			if it.Late != late || failed[it.Class] || !it.Deadline.IsZero() && !now.Before(it.latestStart()) {
				continue
			}
			if bestFlow == nil || f.startTag < bestFlow.startTag || it.arrival < best.arrival {
				best, bestFlow = it, f
			}
			break
		}
	}
	return best
}

// completeGrant removes a granted item, advances the virtual time and the start
// tag of its flow, and wakes the waiter.
func (q *Queue) completeGrant(now time.Time, it *Item) {
	f := q.teams[it.Team]
	q.virtualTime = max(q.virtualTime, f.startTag)
	f.startTag = max(f.startTag, q.virtualTime) + 1/f.weight
	q.remove(it)
	q.interval.recordGrant(now)
	it.result <- nil
}

func (q *Queue) insert(it *Item) {
	f := q.teams[it.Team]
	if f == nil {
		f = &flow{team: it.Team}
		q.teams[it.Team] = f
	}
	if len(f.items) == 0 {
		f.startTag = max(f.startTag, q.virtualTime)
	}
	f.weight = weight(it)
	at, _ := slices.BinarySearchFunc(f.items, it, compareItems)
	f.items = slices.Insert(f.items, at, it)
	q.classes[it.Class]++
	q.waiting++
}

func (q *Queue) remove(it *Item) {
	f := q.teams[it.Team]
	at, found := slices.BinarySearchFunc(f.items, it, compareItems)
	if !found {
		return
	}
	f.items = slices.Delete(f.items, at, at+1)
	if q.classes[it.Class]--; q.classes[it.Class] == 0 {
		delete(q.classes, it.Class)
	}
	q.waiting--
	q.pruneFlows()
}

// pruneFlows drops the flows whose start tags no longer matter: those without
// waiting requests whose start tag has been reached by the virtual time, and all
// flows when the queue is empty.
func (q *Queue) pruneFlows() {
	if q.waiting == 0 {
		clear(q.teams)
		q.virtualTime = 0
		return
	}
	if len(q.teams) <= 2*q.waiting {
		return
	}
	for name, f := range q.teams {
		if len(f.items) == 0 && f.startTag <= q.virtualTime {
			delete(q.teams, name)
		}
	}
}

// evict removes and returns the last item of the team with the most waiting
// requests per weight.
func (q *Queue) evict() *Item {
	var heaviest *flow
	normalizedLength := func(f *flow) float64 { return float64(len(f.items)) / f.weight }
	for _, f := range q.teams {
		if heaviest == nil || normalizedLength(f) > normalizedLength(heaviest) || normalizedLength(f) == normalizedLength(heaviest) && f.team > heaviest.team {
			heaviest = f
		}
	}
	evicted := heaviest.items[len(heaviest.items)-1]
	q.remove(evicted)
	return evicted
}
