// Package trail writes the log of a process's decisions: one JSON line for each
// decision on a request or change of belief. Writing never blocks, and the
// volume is bounded: each kind of event has a rate, and what exceeds it, or
// what a reader that has stopped leaves no room for, is counted and left out.
package trail

import (
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/time/rate"

	"parsleyroute.example/core/process/meter"
)

const (
	// kindRate and kindBurst bound the lines a second of one kind of event. A
	// gate handles some ten requests a second on a usual day, with a few lines
	// each.
	kindRate  = 60
	kindBurst = 240
	// queueLength bounds the lines that wait to be written.
	queueLength = 2048
	// dropPeriod is the time between lines that count what was left out.
	dropPeriod = time.Second
)

// Logger writes events. A nil Logger writes nothing.
type Logger struct {
	lines chan []any
	done  chan struct{}
	out   log.Logger

	mu       sync.Mutex
	limiters map[string]*rate.Limiter
	dropped  map[string]int
	closed   bool
}

// New returns a trail that writes to w until Close. program and instance stand
// in each line.
func New(w io.Writer, program, instance string) *Logger {
	t := &Logger{
		lines: make(chan []any, queueLength), done: make(chan struct{}),
		out:      log.With(log.NewJSONLogger(w), "program", program, "instance", instance),
		limiters: map[string]*rate.Limiter{}, dropped: map[string]int{},
	}
	go t.write()
	return t
}

// Log writes one event with its fields, as pairs of a name and a value.
func (t *Logger) Log(event string, fields ...any) {
	if t == nil {
		return
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	l := t.limiters[event]
	if l == nil {
		l = rate.NewLimiter(kindRate, kindBurst)
		t.limiters[event] = l
	}
	if !l.AllowN(now, 1) {
		t.drop(event)
		return
	}
	line := make([]any, 0, len(fields)+4)
	line = append(line, "time", now.UTC().Format(time.RFC3339Nano), "event", event)
	for _, f := range fields {
		line = append(line, plain(f))
	}
	select {
	case t.lines <- line:
	default:
		t.drop(event)
	}
}

// plain gives durations as milliseconds and errors as text.
func plain(v any) any {
	switch v := v.(type) {
	case time.Duration:
		return float64(v.Microseconds()) / 1000
	case error:
		return v.Error()
	}
	return v
}

func (t *Logger) drop(event string) {
	t.dropped[event]++
	meter.Event("log_dropped")
}

func (t *Logger) write() {
	defer close(t.done)
	tick := time.NewTicker(dropPeriod)
	defer tick.Stop()
	for {
		select {
		case line, ok := <-t.lines:
			if !ok {
				t.countDropped()
				return
			}
			t.put(line)
		case <-tick.C:
			t.countDropped()
		}
	}
}

func (t *Logger) put(line []any) {
	if err := t.out.Log(line...); err != nil {
		meter.Event("log_errors")
	}
}

// countDropped writes a line for each kind of event of which some were left
// out.
func (t *Logger) countDropped() {
	t.mu.Lock()
	dropped := t.dropped
	t.dropped = map[string]int{}
	t.mu.Unlock()
	for event, n := range dropped {
		t.put([]any{"time", time.Now().UTC().Format(time.RFC3339Nano), "event", "log_dropped", "of", event, "lines", n})
	}
}

// Close writes what waits, for at most wait, and ends the trail.
func (t *Logger) Close(wait time.Duration) {
	if t == nil {
		return
	}
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return
	}
	t.closed = true
	close(t.lines)
	t.mu.Unlock()
	select {
	case <-t.done:
	case <-time.After(wait):
	}
}
