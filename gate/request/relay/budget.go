package relay

import (
	"sync"
	"time"
)

// Budget bounds the sends beyond the first of each request to one pool. In
// each window there are at most ratio times the requests plus this gate's share
// of a burst. It is safe for concurrent use.
type Budget struct {
	// Ratio is the number of further sends that each request earns.
	Ratio float64
	// Burst is the number of further sends that all gates together may make in
	// a window beyond that.
	Burst float64
	// Window is the time over which sends are counted.
	Window time.Duration

	mu      sync.Mutex
	at      int64
	firsts  [buckets]int
	repeats [buckets]int
}

// buckets is the number of parts that are counted: one more than a window has.
// All of them count for the further sends, so that every span of the window's
// length is covered, and two less for the requests, so that none is counted
// that has left the window.
const buckets = 11

// reserve is the part of the burst that is used, because the number of gates
// is known with a delay.
const reserve = 0.8

// advance drops the counts that have left the window.
func (b *Budget) advance(now time.Time) int {
	part := b.Window / (buckets - 1)
	at := int64(now.Sub(epoch) / part)
	for b.at < at {
		if at-b.at > buckets {
			b.at = at - buckets
		}
		b.at++
		b.firsts[b.at%buckets], b.repeats[b.at%buckets] = 0, 0
	}
	return int(at % buckets)
}

// epoch is a time with a monotonic reading.
var epoch = time.Now()

// First counts a request.
func (b *Budget) First(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firsts[b.advance(now)]++
}

// Take counts a further send if the budget allows it. gates is the number of
// gates that share the burst.
func (b *Budget) Take(now time.Time, gates int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.advance(now)
	burst := reserve * b.Burst / float64(gates)
	if now.Sub(epoch) < b.Window {
		// A gate that has just started does not know what its predecessor has
		// sent in the same window.
		burst = 0
	}
	if float64(sum(b.repeats)+1) > b.Ratio*float64(sum(b.firsts)-b.oldest())+burst {
		return false
	}
	b.repeats[i]++
	return true
}

// oldest returns the requests in the two oldest parts.
func (b *Budget) oldest() int {
	return b.firsts[(b.at+1)%buckets] + b.firsts[(b.at+2)%buckets]
}

// Return gives back what Take took, for a send that was not made.
func (b *Budget) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := b.at % buckets; b.repeats[i] > 0 {
		b.repeats[i]--
	}
}

func sum(v [buckets]int) int {
	n := 0
	for _, x := range v {
		n += x
	}
	return n
}
