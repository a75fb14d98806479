package meter

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histograms. Up to a minute in microseconds
// with two significant digits, each histogram takes about 15 KB.
const (
	lowestMicros      = 1
	highestMicros     = int64(time.Minute / time.Microsecond)
	significantDigits = 2
)

var (
	publishedHistograms = expvar.NewMap("latencies_ms")
	histogramsByName    sync.Map // of string to *histogram
)

type histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// ObserveLatency adds a duration to the histogram with the given name.
func ObserveLatency(name string, d time.Duration) {
	v, ok := histogramsByName.Load(name)
	if !ok {
		h := &histogram{h: hdrhistogram.New(lowestMicros, highestMicros, significantDigits)}
		if v, ok = histogramsByName.LoadOrStore(name, h); !ok {
			publishedHistograms.Set(name, expvar.Func(h.summary))
		}
	}
	h := v.(*histogram)
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(min(max(lowestMicros, d.Microseconds()), highestMicros))
}

// summary returns the count, and the mean, maximum and some quantiles in
// milliseconds.
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
