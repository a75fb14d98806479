package soak_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"parsleyroute.example/fakes/process/site"
	"parsleyroute.example/fakes/process/worker"
)

// sendGarbled sends requests of all kinds to real gates whose workers answer with the given
// bytes, until a worker has answered one of each kind. It checks that no caller gets a
// success.
func sendGarbled(t *testing.T, responses []string) {
	t.Parallel()
	s := startSystem(t, rand.New(rand.NewPCG(uint64(len(responses)), 7)))
	defer s.copyLogs(t, 0)
	s.waitServing(t, recoveryTimeout)
	for n, response := range responses {
		var answered [2]atomic.Int64
		for i, w := range s.workers {
			w.SetScript(func(c *worker.Conn, req *worker.ReceivedRequest) {
				answered[i%2].Add(1)
				c.Printf("%s", strings.ReplaceAll(response, "ID", req.AttemptID))
				c.Disconnect()
			})
		}
		// Workers that lose responses get no requests for up to 3.2 s.
		deadline := time.Now().Add(recoveryTimeout)
		for try := 0; answered[0].Load() < 4 || answered[1].Load() < 2; try++ {
			if time.Now().After(deadline) {
				t.Fatalf("%q: no worker gets requests", response)
			}
			var wg sync.WaitGroup
			for i, g := range s.gates {
				for _, kind := range []string{"safe", "unsafe", "streaming"} {
					wg.Go(func() {
						status, body, err := s.send(g, kind, "/a/", fmt.Sprintf("g-%d-%d-%d-%s", n, try, i, kind))
						if err == nil && status != http.StatusBadGateway && status != http.StatusGatewayTimeout && status != http.StatusServiceUnavailable {
							t.Errorf("%q: a %s request got status %d with body %q", response, kind, status, body)
						}
					})
				}
			}
			wg.Wait()
			time.Sleep(50 * time.Millisecond)
		}
	}
}

const garbledFields = worker.HeaderAttemptID + ": ID\r\n" + worker.HeaderSignature + ": sig\r\nContent-Type: text/event-stream\r\n"

// Guards against a caller who gets bytes with a status out of range as an answer.
func TestGarbledStatus(t *testing.T) {
	sendGarbled(t, []string{
		"HTTP/1.1 000 \r\n" + garbledFields + "Content-Length: 4\r\n\r\nbody",
		"HTTP/1.1 000 OK\r\n" + garbledFields + "\r\nid: 1\ndata: e1\n\n",
	})
}

// Guards against a caller who gets bytes as an answer in whose header a field name has
// blanks or control bytes.
func TestGarbledFields(t *testing.T) {
	sendGarbled(t, []string{
		"HTTP/1.1 200 OK\r\n" + garbledFields + "X Trace: 1\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\n" + garbledFields + "Content-Length : 4\r\n\r\nid: 1\ndata: e1\n\n",
		"HTTP/1.1 200 OK\r\n" + garbledFields + "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + garbledFields + "X\x01: 1\r\nContent-Length: 4\r\n\r\nbody",
	})
}

// Guards against a part of a body that looks like the whole one: a worker answers a long
// upload at once, without a length, and resets the connection while the upload is written.
func TestResetWhileUploading(t *testing.T) {
	t.Parallel()
	s := startSystem(t, rand.New(rand.NewPCG(9, 7)))
	defer s.copyLogs(t, 0)
	s.waitServing(t, recoveryTimeout)
	var answered atomic.Int64
	early := func(c *worker.Conn, req *worker.ReceivedRequest) {
		answered.Add(1)
		c.Printf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig\r\n\r\n%s", worker.HeaderAttemptID, req.AttemptID, worker.HeaderSignature, strings.Repeat("part ", 200))
		time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
		// The rest of the body is not read, so that the connection is reset.
		_ = c.Close()
	}
	// Workers that lose responses get no requests for some time, so there are many.
	for i := range 12 {
		w := &worker.Worker{ID: fmt.Sprintf("i-early-%d", i), Early: early}
		if err := w.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(w.Close)
		s.store.Put("servers", w.ID, site.WorkerEntry("early", w.Addr(), "ready", 64, 1))
	}
	s.mu.Lock()
	s.version += 2
	version := s.version
	s.mu.Unlock()
	config := site.Config(version, []site.Route{
		{Name: "upload", Host: "h", Prefix: "/u/safe/", Kind: "safe", Pool: "early", Timeout: 3 * time.Second, GapLimit: 200 * time.Millisecond},
	})
	config["backends"] = append(config["backends"].([]map[string]any), map[string]any{"name": "early"})
	s.store.Put("config", "main", config)
	time.Sleep(500 * time.Millisecond)
	body := strings.Repeat("x", 900<<10)
	deadline := time.Now().Add(25 * time.Second)
	for try := 0; answered.Load() < 150 && time.Now().Before(deadline); try++ {
		var wg sync.WaitGroup
		for i, g := range s.gates {
			wg.Go(func() {
				req, err := http.NewRequest(http.MethodPost, "http://"+g.callers.String()+"/u/safe/x", strings.NewReader(body))
				if err != nil {
					t.Error(err)
					return
				}
				req.Host = "h"
				req.Header.Set(worker.HeaderAttemptID, fmt.Sprintf("u-%d-%d", try, i))
				req.Header.Set(worker.HeaderDeadlineMs, "3000")
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					return
				}
				defer func() { _ = resp.Body.Close() }()
				if got, err := io.ReadAll(resp.Body); err == nil && resp.StatusCode == http.StatusOK {
					t.Errorf("a response that was reset came as complete with %d bytes", len(got))
				}
			})
		}
		wg.Wait()
	}
	if answered.Load() < 50 {
		t.Errorf("the worker got only %d requests", answered.Load())
	}
}
