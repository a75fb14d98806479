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

// streamState is how far a stream has come.
type streamState struct {
	// last is the id of the last event that the caller has, if has is set.
	last uint64
	has  bool
	// events counts the events passed on.
	events int
	// firstAfter is the time to the first event, worst the longest pause.
	firstAfter time.Duration
	worst      time.Duration
	at         time.Time
}

// forwardEvents passes a stream's events on as they come. The head of the first
// upstream's answer goes out with the first event, so that until then another
// upstream can answer instead.
func (t *trip) forwardEvents(ctx context.Context, h *fasthttp.ResponseHeader, body io.Reader, g *guard) result {
	events := event.NewReader(body)
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			return t.endStream(h)
		}
		if err != nil {
			return result{verdict: verdictLost, outcome: lostOutcome(ctx), err: err}
		}
		g.progress()
		if e.HasID && t.stream.has && e.ID <= t.stream.last {
			meter.Event("repeated_events")
			continue
		}
		if err := t.forwardEvent(h, e, events.Buffered()); err != nil {
			t.gone()
			return result{outcome: fleet.Inconclusive, err: err}
		}
	}
}

func lostOutcome(ctx context.Context) fleet.Outcome {
	if ctx.Err() != nil {
		return fleet.Inconclusive
	}
	return fleet.ConnectionLost
}

// forwardEvent writes one event. more tells that another one is there already.
func (t *trip) forwardEvent(h *fasthttp.ResponseHeader, e event.Event, more bool) error {
	now := time.Now()
	if !t.x.Began() {
		if err := t.x.Begin(h.StatusCode(), t.returned(h)); err != nil {
			return err
		}
		t.stream.firstAfter = now.Sub(t.start)
		meter.Observe("first_event", t.stream.firstAfter)
	} else {
		pause := now.Sub(t.stream.at)
		t.stream.worst = max(t.stream.worst, pause)
		meter.Observe("pause", pause)
		t.r.Picker.Fleet.ObserveEventGap(now, t.pool.Name, pause, t.route.Pause)
	}
	t.stream.at = now
	if err := t.x.Write(e.Raw); err != nil {
		return err
	}
	if e.HasID {
		t.stream.last, t.stream.has = e.ID, true
	}
	t.stream.events++
	if more {
		return nil
	}
	return t.x.Flush()
}

// endStream completes the answer after the upstream's last event.
func (t *trip) endStream(h *fasthttp.ResponseHeader) result {
	if !t.x.Began() {
		if err := t.x.Begin(h.StatusCode(), t.returned(h)); err != nil {
			t.gone()
			return result{outcome: fleet.Inconclusive, err: err}
		}
	}
	meter.Event("answers")
	t.log("streamed", "events", t.stream.events, "first", t.stream.firstAfter, "worst_pause", t.stream.worst, "sends", t.sends, "waited", t.waited)
	if err := t.x.End(); err != nil {
		t.log("caller_lost", "error", err)
	}
	return result{outcome: fleet.Succeeded, whole: true}
}
