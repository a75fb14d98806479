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

const (
	// stalledAfter is the time without an event of any stream of a pool after
	// which a lost stream is taken for its group's failure: passes take a tenth
	// of that.
	stalledAfter = 700 * time.Millisecond
)

// verdict is the result of sending a request to one upstream.
type verdict int

const (
	// verdictDone: the last answer was written.
	verdictDone verdict = iota
	// verdictUnsent: nothing was sent, since there was no connection.
	verdictUnsent
	// verdictNotRun: the upstream states that it did not run the request.
	verdictNotRun
	// verdictFailed: the upstream ran the request and answered with an error.
	verdictFailed
	// verdictLost: the answer was lost, or is not a right one.
	verdictLost
)

func (v verdict) reason() core.Reason {
	switch v {
	case verdictUnsent:
		return core.ReasonUpstreamLost
	case verdictNotRun:
		return core.ReasonUpstreamBusy
	case verdictFailed:
		return core.ReasonUpstreamError
	}
	return core.ReasonUpstreamLost
}

// result is how an exchange ended.
type result struct {
	verdict verdict
	outcome fleet.Outcome
	err     error
	// whole is set if the answer was read to its end, so that the connection may
	// be used again.
	whole bool
}

// attempt sends the request to the upstream, which Pick has counted it at, and
// passes the answer on.
func (t *trip) attempt(ctx context.Context, u *fleet.Upstream) verdict {
	t.tried = append(t.tried, u)
	began := time.Now()
	res := t.exchange(ctx, u)
	if t.x.Context().Err() != nil {
		// The caller's leaving ended the exchange.
		res.outcome = fleet.Inconclusive
	}
	t.r.Picker.Fleet.EndRequest(time.Now(), u, res.outcome)
	if res.verdict == verdictLost && t.route.Kind == core.RouteStream && t.state.pulse.since() > stalledAfter {
		t.r.Picker.Fleet.SuspectGroup(time.Now(), u)
	}
	if res.verdict != verdictDone {
		fields := []any{"upstream", u.ID, "verdict", string(res.verdict.reason()), "took", time.Since(began), "load", u.Load(), "last_event", t.stream.last}
		if res.err != nil {
			fields = append(fields, "error", res.err)
		}
		t.log("attempt_failed", fields...)
	}
	return res.verdict
}

// exchange has one connection to the upstream carry the request.
func (t *trip) exchange(ctx context.Context, u *fleet.Upstream) result {
	maxIdle := time.Hour
	if !t.repeatable() {
		maxIdle = outlet.FreshIdle
	}
	c, fresh, err := u.Conns.Get(ctx, maxIdle)
	switch {
	case trace.IsLimitExceeded(err):
		return result{verdict: verdictUnsent, outcome: fleet.Inconclusive, err: err}
	case err != nil:
		return result{verdict: verdictUnsent, outcome: fleet.Unreachable, err: err}
	}
	// The end of the request, the caller's leaving included, ends the work.
	stop := context.AfterFunc(ctx, c.Close)
	c.SetDeadline(t.deadline)
	t.sends++
	meter.Event("sends")
	t.log("sent", "upstream", u.ID, "zone", u.Zone, "load", u.Load(), "fresh", fresh, "left", time.Until(t.deadline), "send", t.sends)
	if err := c.Send(t.head(u), t.x.Body); err != nil && !c.Sent() {
		stop()
		c.Close()
		t.sends--
		return result{verdict: verdictUnsent, outcome: fleet.ConnectionLost, err: err}
	}
	var h fasthttp.ResponseHeader
	g := t.guard(c)
	info, res := t.receive(ctx, u, c, &h, g)
	g.stop()
	if stop() && res.whole {
		c.Release(outlet.Reusable(&h), info.KeepIdle)
	} else {
		c.Close()
	}
	if res.verdict != verdictDone && res.verdict != verdictNotRun {
		t.mayHaveRun = true
	}
	return res
}

// head returns the request line and the fields for the upstream.
func (t *trip) head(u *fleet.Upstream) []byte {
	h := t.x.Header
	b := make([]byte, 0, 1024+len(t.x.Body))
	b = append(b, h.Method()...)
	b = append(b, ' ')
	b = append(b, h.RequestURI()...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, h.Host()...)
	b = append(b, "\r\n"...)
	connection := h.Peek(fasthttp.HeaderConnection)
	for k, v := range h.All() {
		if t.r.Protocol.Forwards(k) && !named(connection, k) {
			b = core.AppendField(b, k, v)
		}
	}
	d := core.Dispatch{
		Deadline: time.Until(t.deadline), Instance: u.ID,
		LastEvent: t.stream.last, HasLastEvent: t.stream.has,
	}
	if t.team != nil {
		d.Team = t.team.Name
	}
	b = t.r.Protocol.AppendDispatch(b, &d)
	if len(t.x.Body) > 0 || !h.IsGet() && !h.IsHead() && !h.IsDelete() && !h.IsOptions() {
		b = append(b, "Content-Length: "...)
		b = fasthttp.AppendUint(b, len(t.x.Body))
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// named reports whether the Connection field names another field.
func named(connection, name []byte) bool {
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
