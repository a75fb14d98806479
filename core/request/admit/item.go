package admit

import (
	"cmp"
	"time"
)

// Item is a request that wants capacity. Its fields are set before Wait and
// not changed until Wait returns.
type Item struct {
	Team string
	// Weight is the team's share relative to the others'; default 1.
	Weight   float64
	Priority int
	// Deadline is the time by which the answer must have come; zero means none.
	Deadline time.Time
	// MinServiceTime is the time that the upstreams take at least; zero if unknown. A
	// request that waits is refused once less than that is left to its deadline.
	// One that need not wait is always tried, so that a wrong value cannot keep
	// the upstreams from being measured again.
	MinServiceTime time.Duration
	// Class names the set of upstreams that the request may use. If Use fails
	// for one item of a class, the others of the class are not tried.
	Class string
	// TryAcquire takes capacity for the request and reports whether there was any. It
	// is called with the queue locked, so it must neither block nor call the
	// queue. What it has taken belongs to the caller of Wait, who gives it back
	// and then calls Grant.
	TryAcquire func() bool

	arrival uint64
	done    chan error
}

// before orders the items of one team: priority, deadline, arrival.
func before(a, b *Item) int {
	if c := cmp.Compare(b.Priority, a.Priority); c != 0 {
		return c
	}
	if !a.Deadline.Equal(b.Deadline) {
		switch {
		case a.Deadline.IsZero():
			return 1
		case b.Deadline.IsZero():
			return -1
		}
		return a.Deadline.Compare(b.Deadline)
	}
	return cmp.Compare(a.arrival, b.arrival)
}

func weight(it *Item) float64 {
	if it.Weight > 0 {
		return it.Weight
	}
	return 1
}

// latest returns the time after which a waiting item is not worth granting.
func (it *Item) latest() time.Time { return it.Deadline.Add(-it.MinServiceTime) }
