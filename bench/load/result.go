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

// Result is the result of a run.
type Result struct {
	Scenario string        `json:"scenario"`
	Seconds  float64       `json:"seconds"`
	Streams  []Summary     `json:"streams"`
	Windows  []Window      `json:"windows"`
	Events   []EventResult `json:"events"`
}

// Summary has the counts and latencies of a set of requests. FirstByte is the
// time to the first byte of a successful response and Total the time to its end.
// Incomplete counts the requests without a complete response. Failures counts
// these and the error responses by reason.
type Summary struct {
	Name       string         `json:"name"`
	Sent       int            `json:"sent"`
	Succeeded  int            `json:"good"`
	Incomplete int            `json:"broken"`
	Failures   map[string]int `json:"refused"`
	FirstByte  Quantiles      `json:"first"`
	Total      Quantiles      `json:"whole"`
}

// Quantiles holds latency quantiles in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P95  float64 `json:"p95"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// Window summarizes the requests that started in one time window. Start is the
// start of the window in seconds.
type Window struct {
	Start float64 `json:"start"`
	Summary
}

// EventResult is the time at which an event was sent, in seconds, and the
// response to it.
type EventResult struct {
	Name   string  `json:"name"`
	At     float64 `json:"at"`
	Status int     `json:"status"`
	Error  string  `json:"error,omitempty"`
}

func newHistogram() *hdrhistogram.Histogram {
	// The values are microseconds, up to 10 min, with three significant figures.
	return hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1000 }
	if h.TotalCount() == 0 {
		return Quantiles{}
	}
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99), P999: ms(99.9), Max: float64(h.Max()) / 1000}
}

// newSummary summarizes the samples.
func newSummary(name string, samples []sample) Summary {
	s := Summary{Name: name, Failures: map[string]int{}}
	firstByte, total := newHistogram(), newHistogram()
	for _, x := range samples {
		s.Sent++
		switch {
		case x.incomplete:
			s.Incomplete++
			s.Failures[x.reason]++
		case x.status >= 400:
			s.Failures[x.reason]++
		default:
			s.Succeeded++
			_ = firstByte.RecordValue(max(1, x.firstByte.Microseconds()))
			_ = total.RecordValue(max(1, x.total.Microseconds()))
		}
	}
	s.FirstByte, s.Total = quantiles(firstByte), quantiles(total)
	return s
}

func newResult(s *Scenario, samples []sample, events []EventResult) *Result {
	r := &Result{Scenario: s.Name, Seconds: s.Length.Seconds(), Events: events}
	slices.SortFunc(samples, func(a, b sample) int { return cmp.Compare(a.start, b.start) })
	for _, st := range s.Streams {
		var streamSamples []sample
		for _, x := range samples {
			if x.stream == st.Name {
				streamSamples = append(streamSamples, x)
			}
		}
		r.Streams = append(r.Streams, newSummary(st.Name, streamSamples))
	}
	for from := 0; from < len(samples); {
		window := samples[from].start / s.window()
		to := from
		for to < len(samples) && samples[to].start/s.window() == window {
			to++
		}
		r.Windows = append(r.Windows, Window{
			Start:   (window * s.window()).Seconds(),
			Summary: newSummary("all", samples[from:to]),
		})
		from = to
	}
	return r
}

// Between combines the windows that start in [from, to) seconds. Each quantile
// is the maximum of that quantile over the windows.
func (r *Result) Between(from, to float64) Summary {
	sum := Summary{Name: fmt.Sprintf("%g-%g s", from, to), Failures: map[string]int{}}
	for _, w := range r.Windows {
		if w.Start < from || w.Start >= to {
			continue
		}
		sum.Sent += w.Sent
		sum.Succeeded += w.Succeeded
		sum.Incomplete += w.Incomplete
		for k, n := range w.Failures {
			sum.Failures[k] += n
		}
		sum.FirstByte = maxQuantiles(sum.FirstByte, w.FirstByte)
		sum.Total = maxQuantiles(sum.Total, w.Total)
	}
	return sum
}

func maxQuantiles(a, b Quantiles) Quantiles {
	return Quantiles{
		P50: max(a.P50, b.P50), P95: max(a.P95, b.P95), P99: max(a.P99, b.P99),
		P999: max(a.P999, b.P999), Max: max(a.Max, b.Max),
	}
}

// Markdown writes the summaries as a Markdown table.
func Markdown(w io.Writer, rows []Summary) {
	_, _ = fmt.Fprintln(w, "| stream | sent | good | broken | refused | first p50 ms | p99 ms | p999 ms | whole p50 ms | p99 ms |")
	_, _ = fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|")
	for _, s := range rows {
		_, _ = fmt.Fprintf(w, "| %s | %d | %d | %d | %s | %.2f | %.2f | %.2f | %.2f | %.2f |\n",
			s.Name, s.Sent, s.Succeeded, s.Incomplete, formatFailures(s.Failures),
			s.FirstByte.P50, s.FirstByte.P99, s.FirstByte.P999, s.Total.P50, s.Total.P99)
	}
}

func formatFailures(m map[string]int) string {
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
