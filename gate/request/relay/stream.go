package relay

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/gate/process/fleet"
	"parsleyroute.example/gate/request/event"
)

// streamPosition is the position of a stream after the event with the id lastID, if
// hasLastID is set.
type streamPosition struct {
	lastID    uint64
	hasLastID bool
}

// repeats reports whether an event is at or before the position.
func (p streamPosition) repeats(e event.Event) bool {
	return e.HasID && p.hasLastID && e.ID <= p.lastID
}

// eventReader returns the events of a stream. It is an event.Reader or a replayReader.
type eventReader interface {
	Next() (event.Event, error)
	Buffered() bool
}

// newEventReader returns a reader of the events of a response, whose memory is limited.
func (t *transaction) newEventReader(body io.Reader) *event.Reader {
	r := event.NewReader(body)
	r.Reserve = t.reserve
	return r
}

// streamState is the progress of a stream.
type streamState struct {
	// The position is that of the last event that the caller has received.
	streamPosition
	// contentType is the type of the response that the caller receives.
	contentType string
	// events counts the forwarded events.
	events int
	// timeToFirst is the time to the first event, maxEventGap the longest time
	// between two events, and lastEventAt the time of the last event.
	timeToFirst time.Duration
	maxEventGap time.Duration
	lastEventAt time.Time
}

// unframedLength is the length that fasthttp states for a response that has neither a
// length nor chunks and ends with its connection.
const unframedLength = -2

// forwardEvents forwards the events of a stream as they arrive. The response
// header is sent together with the first event, so that the request can be
// retried on another upstream until then.
func (t *transaction) forwardEvents(ctx context.Context, h *fasthttp.ResponseHeader, events eventReader, w *watchdog) attemptResult {
	for n := 0; ; {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			res := t.endStream(h)
			res.events, res.unframed = n, h.ContentLength() == unframedLength
			if !res.unframed {
				t.recordSuccess(time.Now())
			}
			return res
		}
		if err != nil {
			return attemptResult{status: attemptLost, outcome: lostOutcome(ctx), err: err, events: n}
		}
		if e.HasData {
			if n++; n == successEvents {
				t.recordSuccess(time.Now())
			}
		}
		if t.stream.repeats(e) {
			meter.Event("repeated_events")
			continue
		}
		if e.HasData {
			// Comments, which a stalled upstream may send to keep the connection
			// open, are no progress.
			if !w.recordEvent(e) {
				return attemptResult{status: attemptLost, outcome: fleet.Inconclusive, err: errReplaced, events: n}
			}
		}
		if err := t.forwardEvent(h, e, events.Buffered()); err != nil {
			t.abortCallerDisconnected()
			return attemptResult{outcome: fleet.Inconclusive, err: err, events: n}
		}
	}
}

// lostOutcome returns the outcome of an interrupted response. It does not count
// against the upstream if the request timed out or its caller disconnected.
func lostOutcome(ctx context.Context) fleet.Outcome {
	if ctx.Err() != nil {
		return fleet.Inconclusive
	}
	return fleet.ConnectionLost
}

// forwardEvent writes one event. If more is set, part of the next event has
// already been received and the write is not flushed.
func (t *transaction) forwardEvent(h *fasthttp.ResponseHeader, e event.Event, more bool) error {
	now := time.Now()
	if !t.inbound.HeaderWritten() {
		if err := t.inbound.WriteHeader(h.StatusCode(), t.responseHeader(h)); err != nil {
			return err
		}
		// The request is only sent again if its upstream is lost.
		t.inbound.Body.Spare()
		t.stream.contentType = string(h.ContentType())
		t.stream.timeToFirst = now.Sub(t.start)
		meter.ObserveLatency("first_event", t.stream.timeToFirst)
	} else {
		gap := now.Sub(t.stream.lastEventAt)
		t.stream.maxEventGap = max(t.stream.maxEventGap, gap)
		// The metric "pause" is the event gap.
		meter.ObserveLatency("pause", gap)
		t.relay.Picker.Fleet.ObserveEventGap(now, t.pool.Name, gap, t.route.MaxEventGap)
	}
	t.stream.lastEventAt = now
	if err := t.inbound.Write(e.Raw); err != nil {
		return err
	}
	if e.HasID {
		t.stream.lastID, t.stream.hasLastID = e.ID, true
	}
	t.stream.events++
	if more {
		return nil
	}
	return t.inbound.Flush()
}

// endStream completes the response after the last event.
func (t *transaction) endStream(h *fasthttp.ResponseHeader) attemptResult {
	if !t.inbound.HeaderWritten() {
		if err := t.inbound.WriteHeader(h.StatusCode(), t.responseHeader(h)); err != nil {
			t.abortCallerDisconnected()
			return attemptResult{outcome: fleet.Inconclusive, err: err}
		}
	}
	meter.Event("answers")
	t.log("streamed", "events", t.stream.events, "first", t.stream.timeToFirst, "worst_pause", t.stream.maxEventGap, "sends", t.sends, "waited", t.queueWait)
	if err := t.inbound.End(); err != nil {
		t.log("caller_lost", "error", err)
	}
	return attemptResult{outcome: fleet.Succeeded, complete: true}
}
