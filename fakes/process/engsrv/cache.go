package engsrv

import (
	"container/list"
	"sort"
	"time"

	"parsleyroute.example/core/process/engine"
)

// maxEvents is the maximum number of cache events that are retained.
const maxEvents = 10_000

// cache is a prefix cache that evicts the least recently used block first. It is
// not safe for concurrent use.
type cache struct {
	blocks       map[uint64]*list.Element
	order        list.List
	lastSequence uint64
	events       []event
}

type event struct {
	engine.CacheEvent
	at time.Time
}

// lookup returns the number of leading blocks that are cached and marks them as
// recently used.
func (c *cache) lookup(prefixes []uint64) int {
	for i, p := range prefixes {
		e, ok := c.blocks[p]
		if !ok {
			return i
		}
		c.order.MoveToFront(e)
	}
	return len(prefixes)
}

// store adds blocks and then evicts blocks until at most size remain.
func (c *cache) store(prefixes []uint64, size int, now time.Time) {
	if c.blocks == nil {
		c.blocks = map[uint64]*list.Element{}
	}
	for _, p := range prefixes {
		if e, ok := c.blocks[p]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[p] = c.order.PushFront(p)
		c.addEvent(p, false, now)
	}
	for c.order.Len() > size {
		c.evict(now)
	}
}

func (c *cache) clear(now time.Time) {
	for c.order.Len() > 0 {
		c.evict(now)
	}
}

func (c *cache) evict(now time.Time) {
	p := c.order.Remove(c.order.Back()).(uint64)
	delete(c.blocks, p)
	c.addEvent(p, true, now)
}

func (c *cache) addEvent(p uint64, evicted bool, now time.Time) {
	c.lastSequence++
	c.events = append(c.events, event{engine.CacheEvent{Sequence: c.lastSequence, PrefixHash: p, Evicted: evicted}, now})
	if len(c.events) > maxEvents {
		c.events = append([]event(nil), c.events[maxEvents/2:]...)
	}
}

// eventsAfter returns the events after the sequence number from that were created
// no later than until. It leaves out those whose sequence number is a multiple of
// lossInterval, unless lossInterval is zero.
func (c *cache) eventsAfter(from uint64, until time.Time, lossInterval int) []engine.CacheEvent {
	out := []engine.CacheEvent{}
	i := sort.Search(len(c.events), func(i int) bool { return c.events[i].Sequence > from })
	for _, e := range c.events[i:] {
		if e.at.After(until) {
			break
		}
		if lossInterval == 0 || e.Sequence%uint64(lossInterval) != 0 {
			out = append(out, e.CacheEvent)
		}
	}
	return out
}
