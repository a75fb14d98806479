package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/gate/conn/outlet"
)

// activity holds the time of the last event on any stream of a pool, in
// nanoseconds since processStart.
type activity struct{ last atomic.Int64 }

func (a *activity) record() { a.last.Store(int64(time.Since(processStart))) }

func (a *activity) idle() time.Duration {
	return time.Since(processStart) - time.Duration(a.last.Load())
}

const (
	// maxSilence is how long a stream may have no events while other streams of
	// its pool have some. It is then resumed on another upstream. Callers wait
	// for the next event for at least minEventWait, which is two seconds.
	maxSilence = 900 * time.Millisecond
	// maxActivityAge is the maximum age of the last event of a pool that counts
	// as active.
	maxActivityAge = 300 * time.Millisecond
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

	mu        sync.Mutex
	lastEvent time.Time
	stopped   bool
	timer     *time.Timer
}

// startWatchdog returns a watchdog of the connection. It does nothing if the
// request cannot be retried, or is not a stream and its route has no objective.
func (t *transaction) startWatchdog(c *outlet.Conn) *watchdog {
	w := &watchdog{transaction: t, conn: c, lastEvent: time.Now()}
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
	w.mu.Lock()
	w.lastEvent = time.Now()
	w.mu.Unlock()
	w.transaction.poolState.activity.record()
}

// check closes the connection if its stream has had no event for maxSilence while
// the pool is active.
func (w *watchdog) check() {
	w.mu.Lock()
	silence := time.Since(w.lastEvent)
	if !w.stopped {
		w.timer.Reset(silenceCheckInterval)
	}
	w.mu.Unlock()
	if silence > maxSilence && w.transaction.poolState.activity.idle() < maxActivityAge {
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
	if w.timer != nil {
		w.timer.Stop()
	}
}
