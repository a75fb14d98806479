package soak_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"parsleyroute.example/fakes/process/worker"
)

// checks collects what callers and workers see, and the promises that were
// broken.
type checks struct {
	mu     sync.Mutex
	runs   map[string]int // by attempt
	broken []string
	served atomic.Int64
	tried  atomic.Int64
}

func newChecks() *checks { return &checks{runs: map[string]int{}} }

func (c *checks) fail(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// ran takes note that a worker began the work of an attempt.
func (c *checks) ran(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[attempt]++
}

func (c *checks) runsOf(attempt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[attempt]
}

// faultLevel is the share of requests that workers treat badly, in thousandths.
type faultLevel struct{ level atomic.Int64 }

// events is the number of events in a stream.
const events = 8

// script answers requests as the level of faults says.
func (f *faultLevel) script(rng *rand.Rand, c *checks, b *backend) worker.Script {
	var mu sync.Mutex
	roll := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
	return func(conn *worker.Conn, a *worker.ReceivedRequest) {
		b.mu.Lock()
		draining := b.draining
		b.mu.Unlock()
		if !draining.IsZero() && time.Since(draining) > 2500*time.Millisecond && f.level.Load() == 0 {
			c.fail("request %s reached %s %s after it had said that it leaves", a.AttemptID, b.ID, time.Since(draining))
		}
		bad := int64(roll(1000)) < f.level.Load()
		how := roll(9)
		if bad && how == 0 {
			conn.WriteNotExecuted(a, 503, "")
			return
		}
		c.ran(a.AttemptID)
		time.Sleep(time.Duration(5+roll(20)) * time.Millisecond)
		if bad && how == 1 {
			conn.Reset()
			return
		}
		if bad && how == 2 {
			conn.AwaitDisconnect(a, 4*time.Second)
			return
		}
		if bad && how == 3 {
			conn.Printf("garbage\r\n\r\n")
			conn.Disconnect()
			return
		}
		if strings.Contains(a.RequestURI, "/streaming/") {
			streamTo(conn, a, bad, how, roll)
			return
		}
		body := "ran " + a.AttemptID
		switch {
		case bad && how == 4:
			conn.Printf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\nra", worker.HeaderAttemptID, a.AttemptID, worker.HeaderSignature, len(body))
			conn.Disconnect()
		case bad && how == 5:
			conn.WriteResponse(a, 200, body)
			conn.WriteResponse(a, 200, body)
		case bad && how == 6:
			conn.WriteResponse(a, 500, "failed "+a.AttemptID)
		default:
			conn.WriteResponse(a, 200, body)
		}
	}
}

// streamTo writes the events after the one that the request names.
func streamTo(conn *worker.Conn, a *worker.ReceivedRequest, bad bool, how int, roll func(int) int) {
	first := 1
	if last := a.Header.Get(worker.HeaderLastEventID); last != "" {
		if n, err := strconv.Atoi(last); err == nil {
			first = n + 1
		}
	}
	conn.WriteStreamHeader(a)
	stop := events + 1
	if bad {
		stop = first + roll(events)
	}
	for i := first; i <= events; i++ {
		if i == stop {
			if how < 6 {
				conn.WriteChunk(fmt.Sprintf("id: %d\nda", i))
			}
			conn.Reset()
			return
		}
		conn.WriteEvent(i)
		time.Sleep(time.Duration(5+roll(15)) * time.Millisecond)
	}
	conn.EndStream()
}
