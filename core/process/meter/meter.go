// Package meter publishes the metrics of a program with expvar. Each refusal
// reason, retry reason and event has a counter of its own. Metrics are
// process-wide, as expvar is.
package meter

import (
	"expvar"

	"parsleyroute.example/core"
)

// The published maps. A counter is added when it is first incremented.
var (
	refusals = expvar.NewMap("refusals")
	retries  = expvar.NewMap("retries")
	events   = expvar.NewMap("events")
	gauges   = expvar.NewMap("gauges")
)

// Refusal counts one refused request.
func Refusal(reason core.Reason) { refusals.Add(string(reason), 1) }

// Retry counts one retry by its cause.
func Retry(reason core.Reason) { retries.Add(string(reason), 1) }

// Event counts one event, such as a dropped frame.
func Event(name string) { events.Add(name, 1) }

// AddEvents adds n to the counter of an event, for example bytes sent.
func AddEvents(name string, n int64) { events.Add(name, n) }

// Gauge publishes a value that f computes on each read.
func Gauge(name string, f func() any) { gauges.Set(name, expvar.Func(f)) }
