package relay

import (
	"bytes"
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/gate/conn/outlet"
	"parsleyroute.example/gate/process/fleet"
)

// attemptStatus is the result of an attempt to run a request on one upstream.
type attemptStatus int

const (
	// attemptDone: the request is finished; no retry or other response follows.
	attemptDone attemptStatus = iota
	// attemptUnsent: nothing was sent, because no connection could be used.
	attemptUnsent
	// attemptNotRun: the upstream states that it did not run the request.
	attemptNotRun
	// attemptFailed: the upstream ran the request and returned an error.
	attemptFailed
	// attemptLost: the response was incomplete or invalid, so that the request
	// may have run.
	attemptLost
)

func (s attemptStatus) reason() core.Reason {
	switch s {
	case attemptUnsent:
		return core.ReasonUpstreamLost
	case attemptNotRun:
		return core.ReasonUpstreamBusy
	case attemptFailed:
		return core.ReasonUpstreamError
	}
	return core.ReasonUpstreamLost
}

// attemptResult describes how an attempt ended.
type attemptResult struct {
	status  attemptStatus
	outcome fleet.Outcome
	err     error
	// complete is set if the response was read to its end, so that the
	// connection may be reused.
	complete bool
	// responding is the time from the response header to the end of the attempt,
	// zero if there was no header, and events the number of events that arrived.
	responding time.Duration
	events     int
	// sent is the time at which the request was sent, zero if it was not.
	sent time.Time
	// unframed is set if the end of the connection was the end of the response, so that
	// the upstream may have crashed.
	unframed bool
	// standby is an attempt that goes on in place of this one, and replaced is set if it
	// has ended this one.
	standby  *standby
	replaced bool
}

// attempt sends the request to the upstream and forwards the response. Pick has
// already counted the request in the upstream's load.
func (t *transaction) attempt(ctx context.Context, u *fleet.Upstream) attemptStatus {
	t.tried = append(t.tried, u)
	start := time.Now()
	return t.endAttempt(ctx, start, u, t.roundTrip(ctx, u))
}

// endAttempt records how an attempt ended and continues with its standby, if it has one.
func (t *transaction) endAttempt(ctx context.Context, start time.Time, u *fleet.Upstream, res attemptResult) attemptStatus {
	if t.inbound.Context().Err() != nil {
		// The attempt ended because the caller disconnected.
		res.outcome = fleet.Inconclusive
	}
	t.complete = res.status == attemptDone && res.outcome == fleet.Succeeded
	t.relay.Picker.Fleet.EndRequest(time.Now(), u, res.outcome)
	switch {
	case res.replaced:
		// The response goes on, so the upstream is checked meanwhile.
		if loss, ok := t.lossOf(ctx, u, res); ok {
			go t.relay.checkCrash(u, loss, nil)
		}
	case res.status == attemptLost || res.unframed:
		if res.status == attemptLost && t.route.Kind == core.RouteStream {
			t.relay.Picker.Fleet.SuspectGroup(time.Now(), u)
		}
		t.observeLoss(ctx, u, res)
	}
	if res.status != attemptDone {
		// The key "verdict" holds the reason of the failure.
		fields := []any{"upstream", u.ID, "verdict", string(res.status.reason()), "took", time.Since(start), "load", u.Load(), "last_event", t.stream.lastID, "responding", res.responding, "events", res.events, "replaced", res.replaced, "parts", t.info.PromptParts}
		if res.err != nil {
			fields = append(fields, "error", res.err)
		}
		t.log("attempt_failed", fields...)
	}
	if res.standby != nil {
		if status, ok := t.follow(ctx, res.standby); ok {
			return status
		}
	}
	return res.status
}

// roundTrip sends the request on one connection to the upstream and receives the
// response.
func (t *transaction) roundTrip(ctx context.Context, u *fleet.Upstream) attemptResult {
	c, res := t.open(ctx, u, t.stream.streamPosition)
	if c == nil {
		return res
	}
	t.sends++
	t.retryReserved = false
	if t.sentAt.IsZero() {
		t.sentAt = c.sent
	}
	w := t.startWatchdog(ctx, c)
	return t.endCall(c, w, t.receive(ctx, c, w))
}

// open sends the request to the upstream. It returns no call if nothing was sent. It may run
// beside another attempt.
func (t *transaction) open(ctx context.Context, u *fleet.Upstream, p streamPosition) (*call, attemptResult) {
	body, release, ok := t.inbound.Body.Acquire()
	if !ok {
		return nil, attemptResult{status: attemptUnsent, outcome: fleet.Inconclusive, err: errBodyGivenUp}
	}
	// A repeatable request may use a connection after any idle time.
	maxIdle := time.Hour
	if !t.repeatable() {
		maxIdle = outlet.MaxIdleNonRetryable
	}
	conn, isNew, err := u.Conns.Get(ctx, maxIdle)
	if err != nil {
		release()
	}
	switch {
	case trace.IsLimitExceeded(err):
		return nil, attemptResult{status: attemptUnsent, outcome: fleet.Inconclusive, err: err}
	case err != nil:
		return nil, attemptResult{status: attemptUnsent, outcome: fleet.Unreachable, err: err}
	}
	// The connection is closed when the request times out or its caller
	// disconnects, so that the upstream stops the work.
	c := &call{upstream: u, conn: conn, isNew: isNew, sent: time.Now(), detach: context.AfterFunc(ctx, conn.Close)}
	conn.SetDeadline(t.deadline)
	meter.Event("sends")
	t.log("sent", "upstream", u.ID, "zone", u.Zone, "load", u.Load(), "fresh", isNew, "left", time.Until(t.deadline), "send", t.sends+int(t.standbySends.Load())+1)
	// If a part was sent, the request may have run, so the response is read.
	if err := conn.Send(t.requestHeader(u, p), body, release); err != nil && !conn.Sent() {
		c.detach()
		conn.Close()
		return nil, attemptResult{status: attemptUnsent, outcome: fleet.ConnectionLost, err: err}
	}
	return c, attemptResult{}
}

// endCall ends a call whose response was received, or was not, with the given result.
func (t *transaction) endCall(c *call, w *watchdog, res attemptResult) attemptResult {
	res.sent = c.sent
	res.standby = w.stop(res.status == attemptDone)
	if c.detach() && res.complete {
		c.conn.Release(outlet.Reusable(&c.header), c.info.KeepAliveTimeout)
	} else {
		c.conn.Close()
	}
	if res.status != attemptDone && res.status != attemptNotRun || t.standbySends.Load() > 0 {
		t.mayHaveRun = true
	}
	w.mu.Lock()
	res.replaced = w.replaced
	w.mu.Unlock()
	if res.replaced && c.upstream.LastHeard(c.sent).After(w.lastEvent) {
		// This gate has closed the connection, and the upstream responds to others.
		res.outcome = fleet.Inconclusive
	}
	return res
}

// errBodyGivenUp is the error of an attempt whose request can no longer be sent, since its
// body was given up for those of other requests.
var errBodyGivenUp = trace.LimitExceeded("the body of the request was given up")

// prepareRequest encodes what is the same in all attempts: the request line and the fields
// that are forwarded.
func (t *transaction) prepareRequest() {
	h := t.inbound.Header
	t.method = h.Method()
	b := make([]byte, 0, 1024)
	b = append(b, t.method...)
	b = append(b, ' ')
	b = append(b, h.RequestURI()...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, h.Host()...)
	b = append(b, "\r\n"...)
	connection := h.Peek(fasthttp.HeaderConnection)
	for k, v := range h.All() {
		if t.relay.Protocol.ForwardsRequestField(k) && !connectionLists(connection, k) {
			b = core.AppendField(b, k, v)
		}
	}
	if t.inbound.Body.Len() > 0 || !h.IsGet() && !h.IsHead() && !h.IsDelete() && !h.IsOptions() {
		b = append(b, "Content-Length: "...)
		b = fasthttp.AppendUint(b, t.inbound.Body.Len())
		b = append(b, "\r\n"...)
	}
	t.forwarded = b
}

// requestHeader returns the request line and the header fields for the upstream.
func (t *transaction) requestHeader(u *fleet.Upstream, p streamPosition) []byte {
	b := make([]byte, 0, len(t.forwarded)+256+min(t.inbound.Body.Len(), outlet.MaxInlineBody))
	b = append(b, t.forwarded...)
	d := core.Dispatch{
		Timeout: time.Until(t.deadline), Instance: u.ID,
		LastEventID: p.lastID, HasLastEventID: p.hasLastID,
	}
	if t.team != nil {
		d.Team = t.team.Name
	}
	b = t.relay.Protocol.AppendDispatch(b, &d)
	return append(b, "\r\n"...)
}

// connectionLists reports whether the Connection header lists the field name.
func connectionLists(connection, name []byte) bool {
	if len(connection) == 0 {
		return false
	}
	for part := range bytes.SplitSeq(connection, []byte{','}) {
		if bytes.EqualFold(bytes.TrimSpace(part), name) {
			return true
		}
	}
	return false
}
