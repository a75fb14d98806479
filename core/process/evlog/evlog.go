// Package evlog writes the decision log of a process, a log of events: one JSON
// line for each decision on a request and for each change in what the process
// knows of the system. Logging never blocks, and the volume is bounded: lines that
// exceed the rate limit of their event, or that find the queue full because nobody
// reads the output, are dropped and counted.
package evlog

import (
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/time/rate"

	"parsleyroute.example/core/process/meter"
)

const (
	// eventRate is the maximum rate of the lines of one event per second, and
	// eventBurst the burst size. A gate usually handles about ten requests per
	// second, with a few lines each.
	eventRate  = 60
	eventBurst = 240
	// queueCapacity is the maximum number of lines that wait to be written.
	queueCapacity = 2048
	// dropReportInterval is the interval between reports of dropped lines.
	dropReportInterval = time.Second
)

// Logger writes events in the background. A nil Logger discards them.
type Logger struct {
	lines chan []any
	done  chan struct{}
	out   log.Logger

	mu       sync.Mutex
	limiters map[string]*rate.Limiter
	dropped  map[string]int
	closed   bool
}

// New returns a logger that writes to w until Close. Each line contains program
// and instance.
func New(w io.Writer, program, instance string) *Logger {
	l := &Logger{
		lines: make(chan []any, queueCapacity), done: make(chan struct{}),
		out:      log.With(log.NewJSONLogger(w), "program", program, "instance", instance),
		limiters: map[string]*rate.Limiter{}, dropped: map[string]int{},
	}
	go l.writeLoop()
	return l
}

// Log logs one event. fields alternates between names and values.
func (l *Logger) Log(event string, fields ...any) {
	if l == nil {
		return
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	limiter := l.limiters[event]
	if limiter == nil {
		limiter = rate.NewLimiter(eventRate, eventBurst)
		l.limiters[event] = limiter
	}
	if !limiter.AllowN(now, 1) {
		l.countDrop(event)
		return
	}
	line := make([]any, 0, len(fields)+4)
	line = append(line, "time", now.UTC().Format(time.RFC3339Nano), "event", event)
	for _, f := range fields {
		line = append(line, toPlainValue(f))
	}
	select {
	case l.lines <- line:
	default:
		l.countDrop(event)
	}
}

// toPlainValue converts durations to milliseconds and errors to text.
func toPlainValue(v any) any {
	switch v := v.(type) {
	case time.Duration:
		return float64(v.Microseconds()) / 1000
	case error:
		return v.Error()
	}
	return v
}

func (l *Logger) countDrop(event string) {
	l.dropped[event]++
	meter.Event("log_dropped")
}

func (l *Logger) writeLoop() {
	defer close(l.done)
	tick := time.NewTicker(dropReportInterval)
	defer tick.Stop()
	for {
		select {
		case line, ok := <-l.lines:
			if !ok {
				l.reportDropped()
				return
			}
			l.writeLine(line)
		case <-tick.C:
			l.reportDropped()
		}
	}
}

func (l *Logger) writeLine(line []any) {
	if err := l.out.Log(line...); err != nil {
		meter.Event("log_errors")
	}
}

// reportDropped writes a line for each event of which lines have been dropped
// since the last report.
func (l *Logger) reportDropped() {
	l.mu.Lock()
	dropped := l.dropped
	l.dropped = map[string]int{}
	l.mu.Unlock()
	for event, n := range dropped {
		l.writeLine([]any{"time", time.Now().UTC().Format(time.RFC3339Nano), "event", "log_dropped", "of", event, "lines", n})
	}
}

// Close ends the log. It waits for at most timeout until the queued lines are
// written.
func (l *Logger) Close(timeout time.Duration) {
	if l == nil {
		return
	}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	close(l.lines)
	l.mu.Unlock()
	select {
	case <-l.done:
	case <-time.After(timeout):
	}
}
