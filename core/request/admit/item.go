package admit

import (
	"cmp"
	"time"
)

// Item is a request to be admitted by a Queue. Its exported fields are set
// before Wait and not changed until Wait returns.
type Item struct {
	Team string
	// Weight is the team's share of the capacity relative to that of the other
	// teams; default 1.
	Weight float64
	// Priority orders the requests of a team; higher values come first.
	Priority int
	// Late is set if the response will be late even if the request is admitted now.
	// Such requests get capacity that no other request can use: admitted first, they
	// would make the others late too, for as long as the backlog of an outage lasts.
	Late bool
	// Deadline is the time by which the caller must have the response; zero
	// means none.
	Deadline time.Time
	// MinServiceTime is the shortest time in which an upstream can process the
	// request; zero if unknown. A waiting request is refused once less time than
	// that is left before its deadline. A request that does not have to wait is
	// admitted regardless, so that the service time is measured again even if
	// the current value is too high.
	MinServiceTime time.Duration
	// Class identifies the set of upstreams that the request may use. If
	// TryAcquire fails for one item, the other items of its class are not tried
	// in the same call of Grant.
	Class string
	// TryAcquire reserves capacity for the request and reports whether it
	// succeeded. It is called with the queue locked, so it must neither block
	// nor call the queue. The caller of Wait owns the reserved capacity; after
	// releasing it, the caller calls Grant.
	TryAcquire func() bool

	arrival uint64 // position in the order of arrival; 0 before the first wait
	result  chan error
}

// compareItems orders the items of one team by priority, lateness, deadline and
// arrival.
func compareItems(a, b *Item) int {
	if c := cmp.Compare(b.Priority, a.Priority); c != 0 {
		return c
	}
	if a.Late != b.Late {
		if a.Late {
			return 1
		}
		return -1
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

// latestStart returns the time after which a waiting item can no longer meet its
// deadline.
func (it *Item) latestStart() time.Time { return it.Deadline.Add(-it.MinServiceTime) }
