// Package codec converts between wire messages and the types of package core.
package codec

import (
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/core/wire"
)

var runToWire = map[core.Execution]wire.Run{
	core.NotExecuted:      wire.Run_RUN_NO,
	core.Executed:         wire.Run_RUN_YES,
	core.ExecutionUnknown: wire.Run_RUN_UNKNOWN,
}

// RefusalToWire converts a refusal to its wire message.
func RefusalToWire(r *core.Refusal) *wire.Refusal {
	return &wire.Refusal{
		Reason:       string(r.Reason),
		Message:      r.Message,
		Run:          runToWire[r.Execution],
		RetryAfterMs: uint64(r.RetryAfter.Milliseconds()),
	}
}

// RefusalFromWire converts a refusal from its wire message. An unset or unknown
// value of run becomes core.RunUnknown.
func RefusalFromWire(r *wire.Refusal) *core.Refusal {
	out := &core.Refusal{
		Reason:     core.Reason(r.GetReason()),
		Message:    r.GetMessage(),
		Execution:  core.ExecutionUnknown,
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
	}
	for run, w := range runToWire {
		if w == r.GetRun() {
			out.Execution = run
		}
	}
	return out
}

// LoadToWire converts a load report to its wire message.
func LoadToWire(l core.Load) *wire.Load {
	return &wire.Load{
		Inflight:    uint32(l.Inflight),
		Limit:       uint32(l.Limit),
		Credit:      uint32(l.Credit),
		ServiceUs:   uint64(l.ServiceTime.Microseconds()),
		Draining:    l.Draining,
		Incarnation: l.Incarnation,
	}
}

// LoadFromWire converts a load report that was received at time at from its wire
// message.
func LoadFromWire(l *wire.Load, at time.Time) core.Load {
	return core.Load{
		Inflight:    int(l.GetInflight()),
		Limit:       int(l.GetLimit()),
		Credit:      int(l.GetCredit()),
		ServiceTime: time.Duration(l.GetServiceUs()) * time.Microsecond,
		Draining:    l.GetDraining(),
		Incarnation: l.GetIncarnation(),
		ReceivedAt:  at,
	}
}

// HeadersToWire converts header fields to wire messages.
func HeadersToWire(headers []core.Header) []*wire.Header {
	out := make([]*wire.Header, 0, len(headers))
	for _, h := range headers {
		out = append(out, &wire.Header{Name: h.Name, Value: h.Value})
	}
	return out
}

// HeadersFromWire converts header fields from wire messages.
func HeadersFromWire(headers []*wire.Header) []core.Header {
	out := make([]core.Header, 0, len(headers))
	for _, h := range headers {
		out = append(out, core.Header{Name: h.GetName(), Value: h.GetValue()})
	}
	return out
}
