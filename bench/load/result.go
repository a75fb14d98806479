package load

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what a run came to.
type Result struct {
	Scenario string        `json:"scenario"`
	Seconds  float64       `json:"seconds"`
	Streams  []Summary     `json:"streams"`
	Windows  []Window      `json:"windows"`
	Events   []EventResult `json:"events"`
}

// Summary counts the requests of one stream. Times are in milliseconds; first
// is the time to the first byte of a good answer, whole the time to its end.
type Summary struct {
	Name    string         `json:"name"`
	Sent    int            `json:"sent"`
	Good    int            `json:"good"`
	Broken  int            `json:"broken"`
	Refused map[string]int `json:"refused"`
	First   Quantiles      `json:"first"`
	Whole   Quantiles      `json:"whole"`
}

// Quantiles are in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P95  float64 `json:"p95"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// Window counts the requests that started in one slot of time, in seconds.
type Window struct {
	Start float64 `json:"start"`
	Summary
}

// EventResult tells when an event was sent, in seconds, and how it was
// answered.
type EventResult struct {
	Name   string  `json:"name"`
	At     float64 `json:"at"`
	Status int     `json:"status"`
	Error  string  `json:"error,omitempty"`
}

func newHistogram() *hdrhistogram.Histogram {
	// Microseconds up to ten minutes, with three significant figures.
	return hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1000 }
	if h.TotalCount() == 0 {
		return Quantiles{}
	}
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99), P999: ms(99.9), Max: float64(h.Max()) / 1000}
}

// summary makes one Summary from samples.
func summary(name string, samples []sample) Summary {
	s := Summary{Name: name, Refused: map[string]int{}}
	first, whole := newHistogram(), newHistogram()
	for _, x := range samples {
		s.Sent++
		switch {
		case x.broken:
			s.Broken++
			s.Refused[x.reason]++
		case x.status >= 400:
			s.Refused[x.reason]++
		default:
			s.Good++
			_ = first.RecordValue(max(1, x.first.Microseconds()))
			_ = whole.RecordValue(max(1, x.whole.Microseconds()))
		}
	}
	s.First, s.Whole = quantiles(first), quantiles(whole)
	return s
}

func summarize(s *Scenario, samples []sample, events []EventResult) *Result {
	r := &Result{Scenario: s.Name, Seconds: s.Length.Seconds(), Events: events}
	slices.SortFunc(samples, func(a, b sample) int { return cmp.Compare(a.start, b.start) })
	for _, st := range s.Streams {
		var own []sample
		for _, x := range samples {
			if x.stream == st.Name {
				own = append(own, x)
			}
		}
		r.Streams = append(r.Streams, summary(st.Name, own))
	}
	for from := 0; from < len(samples); {
		slot := samples[from].start / s.window()
		to := from
		for to < len(samples) && samples[to].start/s.window() == slot {
			to++
		}
		r.Windows = append(r.Windows, Window{
			Start:   (slot * s.window()).Seconds(),
			Summary: summary("all", samples[from:to]),
		})
		from = to
	}
	return r
}

// Between sums the windows that start in [from, to) seconds. Its quantiles are
// the worst of the windows'.
func (r *Result) Between(from, to float64) Summary {
	out := Summary{Name: fmt.Sprintf("%g-%g s", from, to), Refused: map[string]int{}}
	for _, w := range r.Windows {
		if w.Start < from || w.Start >= to {
			continue
		}
		out.Sent += w.Sent
		out.Good += w.Good
		out.Broken += w.Broken
		for k, n := range w.Refused {
			out.Refused[k] += n
		}
		out.First = worst(out.First, w.First)
		out.Whole = worst(out.Whole, w.Whole)
	}
	return out
}

func worst(a, b Quantiles) Quantiles {
	return Quantiles{
		P50: max(a.P50, b.P50), P95: max(a.P95, b.P95), P99: max(a.P99, b.P99),
		P999: max(a.P999, b.P999), Max: max(a.Max, b.Max),
	}
}

// Markdown writes summaries as a table.
func Markdown(w io.Writer, rows []Summary) {
	_, _ = fmt.Fprintln(w, "| stream | sent | good | broken | refused | first p50 ms | p99 ms | p999 ms | whole p50 ms | p99 ms |")
	_, _ = fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|")
	for _, s := range rows {
		_, _ = fmt.Fprintf(w, "| %s | %d | %d | %d | %s | %.2f | %.2f | %.2f | %.2f | %.2f |\n",
			s.Name, s.Sent, s.Good, s.Broken, refusals(s.Refused),
			s.First.P50, s.First.P99, s.First.P999, s.Whole.P50, s.Whole.P99)
	}
}

func refusals(m map[string]int) string {
	if len(m) == 0 {
		return "0"
	}
	var parts []string
	for k, n := range m {
		parts = append(parts, fmt.Sprintf("%s %d", k, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
