package relay

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/request/admit"
	"parsleyroute.example/gate/conn/outlet"
	"parsleyroute.example/gate/process/fleet"
	"parsleyroute.example/gate/process/policy"
	"parsleyroute.example/gate/request/event"
)

// maxPendingEvents limits the events that a standby holds, which are comments and repeated
// events before the first new one.
const maxPendingEvents = 64

// call is one send of a request to an upstream.
type call struct {
	upstream *fleet.Upstream
	conn     *outlet.Conn
	isNew    bool
	sent     time.Time
	// detach ends the link between the request's context and the connection, which is
	// closed with the context. It returns false if that has happened.
	detach func() bool
	header fasthttp.ResponseHeader
	info   core.ResponseInfo
}

// standby is a second attempt at a request whose upstream is silent. It takes the place of
// the first attempt only once another upstream has sent the next event of the stream, or
// the whole response. Until then the silent upstream may go on: a worker that has
// preempted a request does so, and ending its response first would lose it if no other
// upstream has a free slot or retries are used up.
type standby struct {
	transaction *transaction
	watchdog    *watchdog
	ctx         context.Context
	cancel      context.CancelFunc
	// The fields are copies for the goroutine of the standby.
	tried     []*fleet.Upstream
	position  streamPosition
	waitUntil time.Time

	// done is closed when the standby is ready or has failed. The fields below are valid
	// then. call is nil if nothing was sent.
	done chan struct{}
	call *call
	res  attemptResult
	// events are the first events of a stream, body the rest of the body of another
	// response after data; more is set if there may be a rest.
	events *replayReader
	data   []byte
	more   bool
	body   io.Reader
}

// startStandby starts a standby of the attempt, which has waited since the given time. It
// returns nil if none is possible now. w.mu must be locked.
func (w *watchdog) startStandby(now time.Time, waiting time.Duration) *standby {
	t := w.transaction
	if t.trial || !t.inbound.Body.Available() || t.sends+int(t.standbySends.Load()) >= t.route.MaxAttempts || !t.poolState.budget.TakeRetry(now, t.relay.Picker.Fleet.GateCount()) {
		return nil
	}
	if !t.sendsWhileDraining(now) {
		t.poolState.budget.ReturnRetry()
		return nil
	}
	meter.Event("silent_upstreams")
	s := &standby{transaction: t, watchdog: w, tried: slices.Clone(w.tried), position: w.position, waitUntil: t.deadline, done: make(chan struct{})}
	if t.route.Kind == core.RouteStream {
		s.waitUntil = t.eventDeadline(w.lastEventAt)
	}
	s.ctx, s.cancel = context.WithCancel(w.ctx)
	t.log("standby_started", "upstream", w.upstream.ID, "waiting", waiting, "last_event", s.position.lastID, "unheard", now.Sub(w.upstream.LastHeard(w.sent)))
	t.standbys.Go(s.run)
	return s
}

// run sends the request to another upstream and waits for the next part of the response.
func (s *standby) run() {
	defer close(s.done)
	t := s.transaction
	u, err := s.acquire()
	if err != nil {
		t.poolState.budget.ReturnRetry()
		s.fail(attemptResult{status: attemptUnsent, err: err})
		return
	}
	c, res := t.open(s.ctx, u, s.position)
	if c == nil {
		t.poolState.budget.ReturnRetry()
	} else {
		t.standbySends.Add(1)
		meter.Retry(core.ReasonUpstreamLost)
		s.call = c
		res = s.receive()
	}
	if res.status == attemptDone && s.take() {
		s.res = res
		return
	}
	if c != nil {
		s.close()
	}
	outcome := res.outcome
	if res.status == attemptDone || s.ctx.Err() != nil {
		// The first attempt goes on.
		outcome = fleet.Inconclusive
	}
	t.relay.Picker.Fleet.EndRequest(time.Now(), u, outcome)
	t.poolState.queue.Grant()
	if res.status == attemptDone {
		res = attemptResult{status: attemptNotRun, err: trace.LimitExceeded("the first upstream responds again")}
	}
	s.fail(res)
}

// acquire waits for a slot of an upstream that the request has not tried.
func (s *standby) acquire() (*fleet.Upstream, error) {
	t := s.transaction
	now := time.Now()
	var u *fleet.Upstream
	item := t.queueItem(now, s.waitUntil, func() bool {
		u = t.relay.Picker.Pick(time.Now(), t.pool, s.tried)
		return u != nil
	})
	if err := t.poolState.queue.Wait(s.ctx, item); err != nil {
		return nil, err
	}
	if len(t.parts) > 0 && t.relay.Containment.Check(time.Now(), policy.Request{Parts: t.parts, Returned: true}, t.relay.position()).Contained {
		t.relay.Picker.Fleet.EndRequest(time.Now(), u, fleet.Inconclusive)
		t.poolState.queue.Grant()
		return nil, trace.LimitExceeded("requests with a part of this prompt have crashed upstreams")
	}
	return u, nil
}

// receive reads the response up to the first new event of a stream, or the body of another
// response. A response that says nothing new leaves the first attempt as it is.
func (s *standby) receive() attemptResult {
	t, c := s.transaction, s.call
	var err error
	if c.info, err = t.readHeader(c); err != nil {
		return attemptResult{status: attemptLost, outcome: lostOutcome(s.ctx), err: err}
	}
	t.observeHeader(c.upstream, &c.header, c.info)
	status := c.header.StatusCode()
	body := c.conn.Body(&c.header, t.method)
	switch {
	case c.info.NotExecuted:
		t.observeRefusal(c.upstream, status, c.info)
		return attemptResult{status: attemptNotRun, outcome: fleet.Inconclusive, err: trace.LimitExceeded("the upstream did not run the request: status %d", status)}
	case t.route.Kind == core.RouteStream:
		if status != fasthttp.StatusOK || !t.authentic(&c.header, c.info) {
			return attemptResult{status: attemptFailed, outcome: fleet.Failed, err: trace.BadParameter("the response does not continue the stream: status %d", status)}
		}
		return s.receiveEvents(body)
	case status >= fasthttp.StatusInternalServerError || impliesNotRun(status) || !t.authentic(&c.header, c.info):
		return attemptResult{status: attemptFailed, outcome: fleet.Failed, err: trace.Errorf("the upstream returned status %d", status)}
	}
	s.body = body
	if s.data, s.more, err = t.readBody(body); err != nil {
		return attemptResult{status: attemptLost, outcome: lostOutcome(s.ctx), err: err}
	}
	return attemptResult{}
}

func (s *standby) receiveEvents(body io.Reader) attemptResult {
	s.events = &replayReader{r: s.transaction.newEventReader(body)}
	size := 0
	for range maxPendingEvents {
		e, err := s.events.r.Next()
		switch {
		case errors.Is(err, io.EOF):
			s.events.err = err
			return attemptResult{}
		case err != nil:
			return attemptResult{status: attemptLost, outcome: lostOutcome(s.ctx), err: err}
		}
		if size += len(e.Raw); size > event.MaxSize {
			break
		}
		if !s.transaction.reserve(len(e.Raw)) {
			return attemptResult{status: attemptFailed, outcome: fleet.Inconclusive, err: trace.LimitExceeded("no memory is left for the events of a standby")}
		}
		e.Raw = slices.Clone(e.Raw)
		s.events.pending = append(s.events.pending, e)
		if e.HasData && !s.position.repeats(e) {
			return attemptResult{}
		}
	}
	return attemptResult{status: attemptFailed, outcome: fleet.Failed, err: trace.LimitExceeded("the upstream sent no new event")}
}

// take puts the standby in the place of the first attempt, whose connection it closes. It
// returns false if the first attempt has had an event or a response since.
func (s *standby) take() bool {
	w := s.watchdog
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.standby != s {
		return false
	}
	w.replaced = true
	if !w.stopped {
		w.conn.Close()
	}
	return true
}

// fail ends a standby that is not used.
func (s *standby) fail(res attemptResult) {
	s.res = res
	s.cancel()
	s.transaction.log("standby_ended", "sent", s.call != nil, "verdict", string(res.status.reason()), "error", res.err)
	w := s.watchdog
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.standby == s && !w.stopped {
		w.standby = nil
	}
}

// close closes the connection of a standby that is not used.
func (s *standby) close() {
	s.call.detach()
	s.call.conn.Close()
}

// discard gives up a standby, after the first attempt has ended with a whole response.
func (s *standby) discard() {
	s.cancel()
	<-s.done
	if s.call != nil && s.res.status == attemptDone {
		s.close()
		s.transaction.relay.Picker.Fleet.EndRequest(time.Now(), s.call.upstream, fleet.Inconclusive)
		s.transaction.poolState.queue.Grant()
	}
}

// follow continues the request with a standby after its first attempt has ended. It returns
// false if the standby was not sent, so that the request may be retried.
func (t *transaction) follow(ctx context.Context, s *standby) (attemptStatus, bool) {
	<-s.done
	defer s.cancel()
	if s.call == nil {
		return attemptUnsent, false
	}
	c := s.call
	t.tried = append(t.tried, c.upstream)
	if s.res.status != attemptDone {
		t.mayHaveRun = t.mayHaveRun || s.res.status != attemptNotRun
		return s.res.status, true
	}
	t.log("standby_taken", "upstream", c.upstream.ID, "last_event", t.stream.lastID, "since_sent", time.Since(c.sent))
	start := time.Now()
	w := t.startWatchdog(ctx, c)
	return t.endAttempt(ctx, start, c.upstream, t.endCall(c, w, t.deliver(ctx, s, w))), true
}

// deliver forwards the response that a standby has received.
func (t *transaction) deliver(ctx context.Context, s *standby, w *watchdog) attemptResult {
	c := s.call
	if t.inbound.HeaderWritten() && !t.continuesStream(&c.header, c.info) {
		return attemptResult{status: attemptFailed, outcome: fleet.Failed, err: trace.BadParameter("the response does not continue the stream")}
	}
	switch {
	case s.events != nil:
		start := time.Now()
		res := t.forwardEvents(ctx, &c.header, s.events, w)
		res.responding = time.Since(start)
		return res
	case s.more:
		return t.forwardLarge(&c.header, c.info, s.data, s.body)
	}
	res := t.handleResponse(c.upstream, &c.header, c.info, s.data)
	res.complete = true
	return res
}

// replayReader returns events that were read before, and then those of a reader.
type replayReader struct {
	pending []event.Event
	// err is the error that the reader returned after the pending events.
	err error
	r   *event.Reader
}

// Next returns the next event, like event.Reader.
func (r *replayReader) Next() (event.Event, error) {
	if len(r.pending) > 0 {
		e := r.pending[0]
		r.pending = r.pending[1:]
		return e, nil
	}
	if r.err != nil {
		return event.Event{}, r.err
	}
	return r.r.Next()
}

// Buffered reports whether part of the next event has already been read.
func (r *replayReader) Buffered() bool { return len(r.pending) > 0 || r.err == nil && r.r.Buffered() }

// queueItem returns the item with which the request waits for a slot.
func (t *transaction) queueItem(now, until time.Time, tryAcquire func() bool) *admit.Item {
	// The queue serves higher priorities first, but 0 is the most urgent priority
	// of a route or team.
	item := &admit.Item{Class: t.pool.Name, Priority: -t.priority(), Deadline: until, Late: t.late(now), TryAcquire: tryAcquire}
	if t.team != nil {
		item.Team = t.team.Name
	}
	return item
}
