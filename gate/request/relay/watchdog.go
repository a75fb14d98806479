package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/gate/conn/outlet"
	"parsleyroute.example/gate/process/fleet"
	"parsleyroute.example/gate/request/event"
)

const (
	// silenceCheckInterval is the time between two checks of an attempt.
	silenceCheckInterval = 150 * time.Millisecond
	// responseTimeoutFactor times the route's objective is the time after
	// which a safe request without a response is also sent to another upstream.
	responseTimeoutFactor = 1.5
)

// watchdog starts a standby of an attempt whose upstream sends nothing, if the request may
// be retried on another upstream. It never ends an attempt itself.
type watchdog struct {
	transaction *transaction
	ctx         context.Context
	conn        *outlet.Conn
	upstream    *fleet.Upstream
	progress    *fleet.StreamProgress
	sent        time.Time
	// tried is a copy for standbys.
	tried []*fleet.Upstream

	mu        sync.Mutex
	lastEvent time.Time
	// started is set once the attempt has had an event. position is that of the last
	// event of all attempts, and lastEventAt its time.
	started     bool
	position    streamPosition
	lastEventAt time.Time
	stopped     bool
	timer       *time.Timer
	// standby is the present standby, nil if there is none. replaced is set once it has
	// taken the place of the attempt.
	standby  *standby
	replaced bool
}

// startWatchdog returns a watchdog of the attempt. It does nothing if the request cannot be
// retried, or is not a stream and its route has no objective.
func (t *transaction) startWatchdog(ctx context.Context, c *call) *watchdog {
	w := &watchdog{
		transaction: t, ctx: ctx, conn: c.conn, upstream: c.upstream, lastEvent: time.Now(), sent: c.sent, progress: t.relay.Picker.Fleet.BeginStream(c.upstream),
		tried: slices.Clone(t.tried), position: t.stream.streamPosition, lastEventAt: t.stream.lastEventAt,
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !t.repeatable() || t.sends+int(t.standbySends.Load()) >= t.route.MaxAttempts:
	case t.route.Kind == core.RouteStream:
		w.timer = time.AfterFunc(silenceCheckInterval, w.check)
	case t.route.LatencyObjective > 0:
		w.timer = time.AfterFunc(w.responseTimeout(), w.check)
	}
	return w
}

func (w *watchdog) responseTimeout() time.Duration {
	return time.Duration(responseTimeoutFactor * float64(w.transaction.route.LatencyObjective))
}

// recordEvent restarts the time without an event, of the stream and of its pool. It returns
// false if another attempt has taken the place of this one.
func (w *watchdog) recordEvent(e event.Event) bool {
	now := time.Now()
	w.mu.Lock()
	wait, first := now.Sub(w.lastEvent), !w.started
	w.lastEvent, w.lastEventAt, w.started = now, now, true
	if e.HasID {
		w.position = streamPosition{lastID: e.ID, hasLastID: true}
	}
	replaced := w.cancelStandby()
	w.mu.Unlock()
	if replaced {
		return false
	}
	w.transaction.poolState.silence.ObserveEvent(now, wait, first)
	w.progress.Event(now)
	w.transaction.relay.Picker.Fleet.Hear(now, w.upstream)
	return true
}

// recordHeader records the header of a response that is no stream.
func (w *watchdog) recordHeader() {
	now := time.Now()
	w.mu.Lock()
	wait := now.Sub(w.lastEvent)
	w.mu.Unlock()
	w.transaction.poolState.silence.ObserveEvent(now, wait, true)
	w.transaction.relay.Picker.Fleet.Hear(now, w.upstream)
}

// claim gives up the standby, since the response of this attempt is forwarded. It returns
// false if the standby has taken the place of this attempt.
func (w *watchdog) claim() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.cancelStandby()
}

// cancelStandby gives up the standby, unless it has taken the place of the attempt, which it
// reports. w.mu must be locked.
func (w *watchdog) cancelStandby() bool {
	if w.replaced {
		return true
	}
	if w.standby != nil {
		w.standby.cancel()
		w.standby = nil
	}
	return false
}

// check starts a standby if the attempt counts as silent.
func (w *watchdog) check() {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.timer.Reset(silenceCheckInterval)
	wait := now.Sub(w.lastEvent)
	silent := wait >= w.responseTimeout()
	if w.transaction.route.Kind == core.RouteStream {
		silent = w.transaction.poolState.silence.Silent(now, wait, w.started)
	}
	if silent && w.standby == nil {
		w.standby = w.startStandby(now, wait)
	}
}

// stop stops the watchdog at the end of its attempt. It returns the standby that goes on,
// if the attempt has no response that ends the request.
func (w *watchdog) stop(done bool) *standby {
	w.mu.Lock()
	w.stopped = true
	w.progress.End()
	if w.timer != nil {
		w.timer.Stop()
	}
	s := w.standby
	w.mu.Unlock()
	if s != nil && done {
		s.discard()
		return nil
	}
	return s
}
