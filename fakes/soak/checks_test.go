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

// checks collects what callers and workers observe, and the violations of the
// guarantees.
type checks struct {
	mu         sync.Mutex
	runs       map[string]int // number of runs by attempt ID
	violations []string
	served     atomic.Int64
	sent       atomic.Int64
}

func newChecks() *checks { return &checks{runs: map[string]int{}} }

func (c *checks) fail(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// recordRun counts that a worker started to run an attempt.
func (c *checks) recordRun(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[attempt]++
}

func (c *checks) runCount(attempt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[attempt]
}

// faultLevel is the share of requests for which workers inject a fault, in
// thousandths.
type faultLevel struct{ level atomic.Int64 }

// eventsPerStream is the number of events in a complete stream.
const eventsPerStream = 8

// script returns a worker script that fails the share of requests that f sets.
func (f *faultLevel) script(rng *rand.Rand, c *checks, b *proxiedWorker) worker.Script {
	var mu sync.Mutex
	randomInt := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
	return func(conn *worker.Conn, a *worker.ReceivedRequest) {
		b.mu.Lock()
		draining := b.draining
		b.mu.Unlock()
		if !draining.IsZero() && time.Since(draining) > 2500*time.Millisecond && f.level.Load() == 0 {
			c.fail("request %s reached %s %s after the worker had started draining", a.AttemptID, b.ID, time.Since(draining))
		}
		faulty := int64(randomInt(1000)) < f.level.Load()
		faultKind := randomInt(9)
		if faulty && faultKind == 0 {
			conn.WriteNotExecuted(a, 503, "")
			return
		}
		c.recordRun(a.AttemptID)
		time.Sleep(time.Duration(5+randomInt(20)) * time.Millisecond)
		if faulty && faultKind == 1 {
			conn.Reset()
			return
		}
		if faulty && faultKind == 2 {
			conn.AwaitDisconnect(a, 4*time.Second)
			return
		}
		if faulty && faultKind == 3 {
			conn.Printf("garbage\r\n\r\n")
			conn.Disconnect()
			return
		}
		if strings.Contains(a.RequestURI, "/streaming/") {
			writeStream(conn, a, faulty, faultKind, randomInt)
			return
		}
		body := "ran " + a.AttemptID
		switch {
		case faulty && faultKind == 4:
			conn.Printf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\nra", worker.HeaderAttemptID, a.AttemptID, worker.HeaderSignature, len(body))
			conn.Disconnect()
		case faulty && faultKind == 5:
			conn.WriteResponse(a, 200, body)
			conn.WriteResponse(a, 200, body)
		case faulty && faultKind == 6:
			conn.WriteResponse(a, 500, "failed "+a.AttemptID)
		default:
			conn.WriteResponse(a, 200, body)
		}
	}
}

// writeStream writes the events after the last one that the request names.
func writeStream(conn *worker.Conn, a *worker.ReceivedRequest, faulty bool, faultKind int, randomInt func(int) int) {
	first := 1
	if last := a.Header.Get(worker.HeaderLastEventID); last != "" {
		if n, err := strconv.Atoi(last); err == nil {
			first = n + 1
		}
	}
	conn.WriteStreamHeader(a)
	stop := eventsPerStream + 1
	if faulty {
		stop = first + randomInt(eventsPerStream)
	}
	for i := first; i <= eventsPerStream; i++ {
		if i == stop {
			if faultKind < 6 {
				conn.WriteChunk(fmt.Sprintf("id: %d\nda", i))
			}
			conn.Reset()
			return
		}
		conn.WriteEvent(i)
		time.Sleep(time.Duration(5+randomInt(15)) * time.Millisecond)
	}
	conn.EndStream()
}
