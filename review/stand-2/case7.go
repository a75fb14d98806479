package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// promptRate is the number of requests per second at each gate. The sheet has 20.1 a second
	// in its zone with one gate.
	promptRate = 8
	// promptTime is how long a client takes to send a body, at 67 Mbit/s.
	promptTime = 500 * time.Millisecond
	// promptGap is the time between two events, which is within the sheet's 120 ms.
	promptGap  = 100 * time.Millisecond
	chunkBytes = 64 << 10
	// burstFactor and burstTime are the dose of the site file.
	burstFactor = 1.7
	burstTime   = 3 * time.Second
	// promptDay is the length of the day, with a burst every burstEvery.
	promptDay  = 50 * time.Second
	burstEvery = 10 * time.Second
	// faultEnds is the number of ends by themselves of one process that are a fault.
	faultEnds = 3
)

// prompts shows gates that use more memory than they have when more clients than usual
// send bodies of a size that the configuration allows.
func prompts(r *record, trouble bool) (int, error) {
	s, err := newSite()
	if err != nil {
		return couldNot, err
	}
	defer s.stop()
	for i := range 12 {
		id := fmt.Sprintf("i-model-%d", i)
		w, err := startWorker(id, 12, func(w *worker, c net.Conn, q *request) bool {
			r.printf("worker %s runs %s, body %d bytes", w.id, q.id, len(q.body))
			return writeEvents(w, c, q, promptGap, eventCount)
		})
		if err != nil {
			return couldNot, err
		}
		s.putWorker(id, "models", w.addr(), 12, 1)
	}
	s.putConfig([]any{draftRoute()}, []any{map[string]any{"name": "models", "health_path": "/healthz", "max_connections": 408}})
	ends := make([]atomic.Int64, 2)
	for i := range ends {
		g := s.addGate(fmt.Sprintf("edge-%d", i+1))
		g.onEnd = func(cause string) {
			ends[i].Add(1)
			r.printf("%s has ended: %s", g.name, cause)
		}
	}
	if err := s.start(); err != nil {
		return couldNot, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	body := []byte(strings.Repeat("x", maxBodyBytes))
	start := time.Now()
	for _, g := range s.gates {
		wg.Go(func() {
			for next := start; next.Sub(start) < promptDay; {
				time.Sleep(time.Until(next))
				wg.Go(func() {
					id := newAttempt()
					r.printf("client sends %s to %s", id, g.name)
					result := sendPrompt(g.callers, id, body)
					r.printf("client of %s: %s", id, result)
					mu.Lock()
					counts[result]++
					mu.Unlock()
				})
				gap := time.Second / promptRate
				if trouble && inBurst(next.Sub(start)) {
					gap = time.Duration(float64(gap) / burstFactor)
				}
				next = next.Add(gap)
			}
		})
	}
	wg.Wait()
	faults := 0
	for i, g := range s.gates {
		r.summary("%s: %d ends by itself, at most %d MB of %d MB", g.name, ends[i].Load(), g.peakMB(), g.memoryMB)
		if ends[i].Load() >= faultEnds {
			faults++
		}
	}
	r.summary("answers: %v", counts)
	if faults >= 2 {
		return broken, nil
	}
	return held, nil
}

// inBurst reports whether more clients than usual come at a time of the day.
func inBurst(at time.Duration) bool {
	at -= burstEvery / 2
	return at > 0 && at%burstEvery < burstTime
}

// sendPrompt sends a request with a body in chunks and returns what the client received.
func sendPrompt(addr, id string, body []byte) string {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "no connection"
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(8 * time.Second))
	_, _ = fmt.Fprintf(c, "POST /draft/plate HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 8000\r\nTransfer-Encoding: chunked\r\n\r\n", host, headerAttempt, id, headerDeadline)
	start := time.Now()
	for sent := 0; sent < len(body); sent += chunkBytes {
		time.Sleep(time.Until(start.Add(promptTime * time.Duration(sent) / time.Duration(len(body)))))
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", chunkBytes, body[sent:sent+chunkBytes]); err != nil {
			return "closed while the body is sent"
		}
	}
	_, _ = fmt.Fprint(c, "0\r\n\r\n")
	a := readAnswer(c, "POST")
	switch {
	case a.err != nil && a.status == 200:
		return fmt.Sprintf("%d, broken off", a.status)
	case a.err != nil:
		return "closed without an answer"
	}
	return fmt.Sprint(a.status)
}
