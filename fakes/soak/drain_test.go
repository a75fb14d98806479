package soak_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"parsleyroute.example/fakes/process/worker"
)

// Guards against requests that arrive late in a planned stop and are cut without an answer.
func TestRequestsLateInPlannedStop(t *testing.T) {
	t.Parallel()
	s := startSystem(t, rand.New(rand.NewPCG(2, 7)))
	defer s.copyLogs(t, 0)
	s.waitServing(t, recoveryTimeout)
	// The requests would end half a second after the gate has closed all connections.
	const work = 2800 * time.Millisecond
	for _, w := range s.workers {
		w.SetScript(func(c *worker.Conn, req *worker.ReceivedRequest) {
			time.Sleep(work)
			s.checks.recordRun(req.AttemptID)
			c.WriteResponse(req, http.StatusOK, "ran "+req.AttemptID)
		})
	}
	g := s.gates[0]
	g.signal(syscall.SIGTERM)
	time.Sleep(1200 * time.Millisecond)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			attempt := fmt.Sprintf("late-%d", i)
			status, _, err := s.send(g, []string{"unsafe", "safe"}[i%2], "/a/", attempt)
			switch {
			case err != nil:
				t.Errorf("%s got no answer: %v", attempt, err)
			case status == http.StatusServiceUnavailable && s.checks.runCount(attempt) > 0:
				t.Errorf("%s was refused but has run", attempt)
			}
		})
	}
	wg.Wait()
	select {
	case <-g.done:
	case <-time.After(grace):
		t.Error("the gate has not exited within its grace")
	}
}

// Guards against streams that a gate takes after SIGTERM, passes on and cuts off at the end
// of its grace, and against refusals that leave the caller on the connection.
func TestStreamsInPlannedStop(t *testing.T) {
	t.Parallel()
	s := startSystem(t, rand.New(rand.NewPCG(3, 7)))
	defer s.copyLogs(t, 0)
	s.waitServing(t, recoveryTimeout)
	// A stream takes 2.4 s, and the gate cuts off what is left 3.25 s after SIGTERM.
	const events, interval = 25, 100 * time.Millisecond
	for _, w := range s.workers {
		w.SetScript(func(c *worker.Conn, req *worker.ReceivedRequest) {
			c.WriteStreamHeader(req)
			for i := range events {
				if i > 0 {
					time.Sleep(interval)
				}
				c.WriteEvent(i + 1)
			}
			s.checks.recordRun(req.AttemptID)
			c.EndStream()
		})
	}
	g := s.gates[0]
	var wg sync.WaitGroup
	var mu sync.Mutex
	served, refused := 0, 0
	for i := range 30 {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * interval)
			status, _, err := s.send(g, "streaming", "/a/", fmt.Sprintf("stream-%d", i))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				t.Errorf("the stream sent %s after the start has been cut off: %v", time.Duration(i)*interval, err)
			case status == http.StatusOK:
				served++
			case status == http.StatusServiceUnavailable:
				refused++
			}
		})
	}
	time.Sleep(1400 * time.Millisecond)
	g.signal(syscall.SIGTERM)
	wg.Wait()
	if served < 10 || refused < 5 {
		t.Errorf("%d streams were served and %d refused of those before and after SIGTERM", served, refused)
	}
	<-g.done
}

// keptConn is a connection that a caller keeps for several streams.
type keptConn struct {
	net.Conn
	r *bufio.Reader
}

// stream sends a request for a stream that waits up to 8 s and reads the response.
func (c *keptConn) stream(attempt string) (int, string, error) {
	_, err := fmt.Fprintf(c, "POST /a/streaming/x HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: 8000\r\nContent-Length: 4\r\n\r\nbody", worker.HeaderAttemptID, attempt, worker.HeaderDeadlineMs)
	if err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// Guards against streams that are sent later than 3 s after SIGTERM on kept connections,
// passed on and cut off at the end of the grace, since they take longer than any before.
func TestLongStreamsLateInPlannedStop(t *testing.T) {
	t.Parallel()
	s := startSystemWith(t, rand.New(rand.NewPCG(5, 7)), systemOptions{grace: 8 * time.Second, timeout: 8 * time.Second})
	defer s.copyLogs(t, 0)
	s.waitServing(t, recoveryTimeout)
	stream := func(events int, interval time.Duration) worker.Script {
		return func(c *worker.Conn, req *worker.ReceivedRequest) {
			c.WriteStreamHeader(req)
			for i := range events {
				time.Sleep(interval)
				c.WriteEvent(i + 1)
			}
			s.checks.recordRun(req.AttemptID)
			c.EndStream()
		}
	}
	setScript := func(script worker.Script) {
		for _, w := range s.workers {
			w.SetScript(script)
		}
	}
	setScript(stream(12, 10*time.Millisecond))
	g := s.gates[0]
	conns := make([]*keptConn, 24)
	var wg sync.WaitGroup
	for i := range conns {
		c, err := net.Dial("tcp", g.callers.String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		conns[i] = &keptConn{Conn: c, r: bufio.NewReader(c)}
		wg.Go(func() {
			if status, _, err := conns[i].stream(fmt.Sprintf("known-%d", i)); status != http.StatusOK || err != nil {
				t.Errorf("status %d, error %v", status, err)
			}
		})
	}
	wg.Wait()
	g.signal(syscall.SIGTERM)
	stopped := time.Now()
	time.Sleep(2900 * time.Millisecond)
	// A stream takes 4.5 s, and the gate is killed 8 s after SIGTERM.
	setScript(stream(45, 100*time.Millisecond))
	for i, k := range conns {
		wg.Go(func() {
			time.Sleep(time.Until(stopped.Add(3020*time.Millisecond + time.Duration(i)*8*time.Millisecond)))
			attempt := fmt.Sprintf("late-%d", i)
			status, body, err := k.stream(attempt)
			switch {
			case status == http.StatusServiceUnavailable && s.checks.runCount(attempt) > 0:
				t.Errorf("%s was refused but has run", attempt)
			case status == http.StatusOK && err != nil:
				t.Errorf("%s was cut off after %d events: %v", attempt, strings.Count(body, "data:"), err)
			case status != http.StatusServiceUnavailable && status != http.StatusOK:
				t.Errorf("%s got status %d, error %v", attempt, status, err)
			}
		})
	}
	wg.Wait()
	select {
	case <-g.done:
	case <-time.After(time.Until(stopped.Add(8 * time.Second))):
		t.Error("the gate has not exited within its grace")
	}
}
