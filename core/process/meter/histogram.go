package meter

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range and precision of latency histograms: a minute in microseconds with
// two digits takes some 15 KB each.
const (
	lowest  = 1
	highest = int64(time.Minute / time.Microsecond)
	digits  = 2
)

var (
	histograms = expvar.NewMap("latencies_ms")
	latency    sync.Map // of string to *histogram
)

type histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// ObserveLatency adds a time to the histogram of that name.
func ObserveLatency(name string, d time.Duration) {
	v, ok := latency.Load(name)
	if !ok {
		h := &histogram{h: hdrhistogram.New(lowest, highest, digits)}
		if v, ok = latency.LoadOrStore(name, h); !ok {
			histograms.Set(name, expvar.Func(h.summary))
		}
	}
	h := v.(*histogram)
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(min(max(lowest, d.Microseconds()), highest))
}

// summary gives the count and some quantiles in milliseconds.
func (h *histogram) summary() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return map[string]any{
		"count": h.h.TotalCount(), "mean": h.h.Mean() / 1000,
		"p50": ms(h.h.ValueAtQuantile(50)), "p95": ms(h.h.ValueAtQuantile(95)),
		"p99": ms(h.h.ValueAtQuantile(99)), "max": ms(h.h.Max()),
	}
}
