package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

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
