package relay

import (
	"sync"
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/gate/conn/outlet"
	"parsleyroute.example/gate/process/fleet"
)

const (
	// silenceCheckInterval is the time between two checks of a stream.
	silenceCheckInterval = 150 * time.Millisecond
	// responseTimeoutFactor times the route's objective is the time after
	// which a safe request without a response is retried on another upstream.
	responseTimeoutFactor = 1.5
)

// watchdog closes the connection of an attempt whose upstream sends nothing, if
// the request may be retried on another upstream.
type watchdog struct {
	transaction *transaction
	conn        *outlet.Conn
	upstream    *fleet.Upstream
	progress    *fleet.StreamProgress

	mu        sync.Mutex
	lastEvent time.Time
	// started is set once the attempt has had an event.
	started bool
	stopped bool
	timer   *time.Timer
}

// startWatchdog returns a watchdog of the connection. It does nothing if the
// request cannot be retried, or is not a stream and its route has no objective.
func (t *transaction) startWatchdog(c *outlet.Conn, u *fleet.Upstream) *watchdog {
	w := &watchdog{transaction: t, conn: c, upstream: u, lastEvent: time.Now(), progress: t.relay.Picker.Fleet.BeginStream(u)}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !t.repeatable() || t.sends >= t.route.MaxAttempts:
	case t.route.Kind == core.RouteStream:
		w.timer = time.AfterFunc(silenceCheckInterval, w.check)
	case t.route.LatencyObjective > 0:
		w.timer = time.AfterFunc(time.Duration(responseTimeoutFactor*float64(t.route.LatencyObjective)), w.expire)
	}
	return w
}

// recordEvent restarts the time without an event, of the stream and of its pool.
func (w *watchdog) recordEvent() {
	now := time.Now()
	w.mu.Lock()
	wait, first := now.Sub(w.lastEvent), !w.started
	w.lastEvent, w.started = now, true
	w.mu.Unlock()
	w.transaction.poolState.silence.ObserveEvent(now, wait, first)
	w.progress.Event(now)
	w.transaction.relay.Picker.Fleet.Hear(now, w.upstream)
}

// recordResponse records the header of a response that is no stream.
func (w *watchdog) recordResponse() {
	now := time.Now()
	w.mu.Lock()
	wait := now.Sub(w.lastEvent)
	w.mu.Unlock()
	w.transaction.poolState.silence.ObserveEvent(now, wait, true)
	w.transaction.relay.Picker.Fleet.Hear(now, w.upstream)
}

// check closes the connection if its stream counts as silent.
func (w *watchdog) check() {
	now := time.Now()
	w.mu.Lock()
	wait, started := now.Sub(w.lastEvent), w.started
	if !w.stopped {
		w.timer.Reset(silenceCheckInterval)
	}
	w.mu.Unlock()
	if w.transaction.poolState.silence.Silent(now, wait, started) {
		w.expire()
	}
}

// expire closes the connection, unless the watchdog is stopped.
func (w *watchdog) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.stopped = true
	meter.Event("silent_upstreams")
	w.conn.Close()
}

// stop stops the watchdog. It does not close the connection afterwards.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.progress.End()
	if w.timer != nil {
		w.timer.Stop()
	}
}
