package relay

import (
	"sync"
	"time"
)

// RetryBudget limits the retries of requests to one pool. In each window it
// allows Ratio times the number of requests plus this gate's share of Burst. It
// is safe for concurrent use.
type RetryBudget struct {
	// Ratio is the number of retries per request.
	Ratio float64
	// Burst is the number of additional retries that all gates together may make
	// in a window.
	Burst float64
	// Window is the time over which requests and retries are counted.
	Window time.Duration

	mu sync.Mutex
	// current is the number of the latest bucket, counted from processStart.
	current  int64
	requests [bucketCount]int
	retries  [bucketCount]int
}

// bucketCount is the number of buckets, one more than a window has. Retries are
// summed over all buckets, 1 to 1.1 windows, so that every span of the window's
// length is covered. Requests are summed without the two oldest buckets, over 0.8
// to 0.9 windows, so that none is counted that is older than the window.
const bucketCount = 11

// burstFraction is the fraction of the burst that is used. The rest is a margin,
// because the number of gates is known with a delay.
const burstFraction = 0.8

// advance clears the buckets that have expired and returns the index of the
// current one.
func (b *RetryBudget) advance(now time.Time) int {
	bucketWidth := b.Window / (bucketCount - 1)
	bucket := int64(now.Sub(processStart) / bucketWidth)
	for b.current < bucket {
		if bucket-b.current > bucketCount {
			b.current = bucket - bucketCount
		}
		b.current++
		b.requests[b.current%bucketCount], b.retries[b.current%bucketCount] = 0, 0
	}
	return int(bucket % bucketCount)
}

// processStart has a monotonic clock reading. Times that are stored as durations
// are relative to it.
var processStart = time.Now()

// RecordFirstAttempt counts the first attempt of a request, which increases the
// number of allowed retries.
func (b *RetryBudget) RecordFirstAttempt(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance(now)]++
}

// TakeRetry counts a retry and returns true if the budget allows it. gateCount is
// the number of gates that share the burst.
func (b *RetryBudget) TakeRetry(now time.Time, gateCount int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.advance(now)
	burst := burstFraction * b.Burst / float64(gateCount)
	if now.Sub(processStart) < b.Window {
		// After a restart, the retries that the previous process made in the
		// same window are unknown.
		burst = 0
	}
	if float64(sum(b.retries)+1) > b.Ratio*float64(sum(b.requests)-b.oldestRequests())+burst {
		return false
	}
	b.retries[i]++
	return true
}

// oldestRequests returns the number of requests in the two oldest buckets.
func (b *RetryBudget) oldestRequests() int {
	return b.requests[(b.current+1)%bucketCount] + b.requests[(b.current+2)%bucketCount]
}

// ReturnRetry uncounts a retry that was taken but not made.
func (b *RetryBudget) ReturnRetry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := b.current % bucketCount; b.retries[i] > 0 {
		b.retries[i]--
	}
}

func sum(v [bucketCount]int) int {
	n := 0
	for _, x := range v {
		n += x
	}
	return n
}
