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
func (f *faultLevel) script(rng *rand.Rand, c *checks, w *proxiedWorker) worker.Script {
	var mu sync.Mutex
	randomInt := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
	return func(conn *worker.Conn, req *worker.ReceivedRequest) {
		w.mu.Lock()
		draining := w.draining
		w.mu.Unlock()
		// 2500 ms is applyTime.
		if !draining.IsZero() && time.Since(draining) > 2500*time.Millisecond && f.level.Load() == 0 {
			c.fail("request %s reached %s %s after the worker had started draining", req.AttemptID, w.ID, time.Since(draining))
		}
		faulty := int64(randomInt(1000)) < f.level.Load()
		// Kind 0 refuses the request, 1 resets the connection, 2 sends nothing and
		// 3 sends garbage. Plain responses are truncated by 4, sent twice by 5 and
		// failed by 6; 7 and 8 have no effect on them. For streams see writeStream.
		faultKind := randomInt(9)
		if faulty && faultKind == 0 {
			conn.WriteNotExecuted(req, 503, "")
			return
		}
		c.recordRun(req.AttemptID)
		time.Sleep(time.Duration(5+randomInt(20)) * time.Millisecond)
		if faulty && faultKind == 1 {
			conn.Reset()
			return
		}
		if faulty && faultKind == 2 {
			conn.AwaitDisconnect(req, 4*time.Second)
			return
		}
		if faulty && faultKind == 3 {
			conn.Printf("garbage\r\n\r\n")
			conn.Disconnect()
			return
		}
		if strings.Contains(req.RequestURI, "/streaming/") {
			writeStream(conn, req, faulty, faultKind, randomInt)
			return
		}
		body := "ran " + req.AttemptID
		switch {
		case faulty && faultKind == 4:
			conn.Printf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\nra", worker.HeaderAttemptID, req.AttemptID, worker.HeaderSignature, len(body))
			conn.Disconnect()
		case faulty && faultKind == 5:
			conn.WriteResponse(req, 200, body)
			conn.WriteResponse(req, 200, body)
		case faulty && faultKind == 6:
			conn.WriteResponse(req, 500, "failed "+req.AttemptID)
		default:
			conn.WriteResponse(req, 200, body)
		}
	}
}

// preemption is the time for which a worker pauses a stream.
const preemption = 1300 * time.Millisecond

// writeStream writes the events after the last one that the request names. If
// faulty is set, it resets the connection before the end of the stream, in the
// middle of an event if faultKind is less than 6, or pauses there if it is 8.
func writeStream(conn *worker.Conn, req *worker.ReceivedRequest, faulty bool, faultKind int, randomInt func(int) int) {
	first := 1
	if last := req.Header.Get(worker.HeaderLastEventID); last != "" {
		if n, err := strconv.Atoi(last); err == nil {
			first = n + 1
		}
	}
	conn.WriteStreamHeader(req)
	stop := eventsPerStream + 1
	if faulty {
		stop = first + randomInt(eventsPerStream)
	}
	for i := first; i <= eventsPerStream; i++ {
		if i == stop && faultKind == 8 {
			time.Sleep(preemption)
		} else if i == stop {
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
