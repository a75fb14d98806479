package evlog

import (
	"io"
	"runtime"
	"testing"
	"time"

	"golang.org/x/time/rate"
)

// BenchmarkRequest measures the CPU time of the lines that a gate logs for one
// streaming request: one when the request is sent and one when the stream has
// ended. It includes the time of the caller and of the goroutine that writes.
func BenchmarkRequest(b *testing.B) {
	logger := New(io.Discard, "gate", "edge-dakar-medina-1")
	for _, event := range []string{"sent", "streamed"} {
		logger.limiters[event] = rate.NewLimiter(rate.Inf, 1)
	}
	b.ReportAllocs()
	for b.Loop() {
		logger.Log("sent", "request", "94b9b2b02186d6c5", "age", 317*time.Microsecond, "route", "r-68xzehf", "config", uint64(2), "pool", "kale36a",
			"upstream", "i-ae019fcb09", "zone", "dakar-medina", "load", 1, "send", 1, "fresh", true, "left", 6867*time.Millisecond)
		logger.Log("streamed", "request", "94b9b2b02186d6c5", "age", 1317*time.Millisecond, "route", "r-68xzehf", "config", uint64(2), "pool", "kale36a",
			"events", 24, "first", 147*time.Millisecond, "worst_pause", 57*time.Millisecond, "sends", 1, "waited", time.Duration(0))
		for len(logger.lines) > 0 {
			runtime.Gosched()
		}
	}
	b.StopTimer()
	logger.Close(time.Second)
}
