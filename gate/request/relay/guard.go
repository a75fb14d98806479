package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/gate/conn/outlet"
)

// pulse is when the last event of any stream of a pool came.
type pulse struct{ at atomic.Int64 }

func (p *pulse) beat() { p.at.Store(int64(time.Since(epoch))) }

func (p *pulse) since() time.Duration { return time.Since(epoch) - time.Duration(p.at.Load()) }

const (
	// silenceLimit is how long an upstream may be silent on a stream while
	// others of its pool go on, before the stream is resumed elsewhere. Callers
	// leave after two seconds.
	silenceLimit = 900 * time.Millisecond
	// pulseAge is the age of the pool's last event up to which the pool counts
	// as going on.
	pulseAge = 300 * time.Millisecond
	// guardPeriod is how often a silent stream is looked at.
	guardPeriod = 150 * time.Millisecond
	// silentObjectives is the number of objectives after which a safe request
	// without an answer is sent elsewhere.
	silentObjectives = 1.5
)

// guard ends an exchange whose upstream has gone silent and that may be tried
// elsewhere.
type guard struct {
	t    *trip
	conn *outlet.Conn

	mu      sync.Mutex
	last    time.Time
	stopped bool
	timer   *time.Timer
}

func (t *trip) guard(c *outlet.Conn) *guard {
	g := &guard{t: t, conn: c, last: time.Now()}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !t.repeatable() || t.sends >= t.route.MaxAttempts:
	case t.route.Kind == core.RouteStream:
		g.timer = time.AfterFunc(guardPeriod, g.look)
	case t.route.LatencyObjective > 0:
		g.timer = time.AfterFunc(time.Duration(silentObjectives*float64(t.route.LatencyObjective)), g.end)
	}
	return g
}

// progress takes note of an event.
func (g *guard) progress() {
	g.mu.Lock()
	g.last = time.Now()
	g.mu.Unlock()
	g.t.state.pulse.beat()
}

// look ends the exchange if the upstream is silent while others are not.
func (g *guard) look() {
	g.mu.Lock()
	silent := time.Since(g.last)
	if !g.stopped {
		g.timer.Reset(guardPeriod)
	}
	g.mu.Unlock()
	if silent > silenceLimit && g.t.state.pulse.since() < pulseAge {
		g.end()
	}
}

// end closes the connection, unless the exchange has ended.
func (g *guard) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return
	}
	g.stopped = true
	meter.Event("silent_upstreams")
	g.conn.Close()
}

// stop ends the guard. The connection is not closed afterwards.
func (g *guard) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	if g.timer != nil {
		g.timer.Stop()
	}
}
