package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/fakes/process/worker"
	"parsleyroute.example/gate/conn/inlet"
	"parsleyroute.example/gate/process/fleet"
	"parsleyroute.example/gate/request/relay"
	"parsleyroute.example/gate/version/route"
	"parsleyroute.example/platform"
)

const (
	// The users' rule: from half a second after it first named a limit, an upstream gets
	// at most limitFactor times what the limit allows, and limitSlack requests more, in
	// any limitSpan.
	limitFactor = 1.5
	limitSlack  = 5
	limitSpan   = 4 * time.Second
	limitNotice = 500 * time.Millisecond
)

// limitSystem is the request path of a gate in front of workers that name limits.
type limitSystem struct {
	server  *inlet.Server
	fleet   *fleet.Fleet
	workers []*worker.Worker
}

// startLimitSystem starts a gate and a worker for each limit; an empty limit is not named.
func startLimitSystem(t *testing.T, limits ...string) *limitSystem {
	t.Helper()
	g := NewWithT(t)
	s := &limitSystem{fleet: &fleet.Fleet{}}
	config := &core.Config{
		Version: 1, Pools: map[string]*core.PoolConfig{"p": {Name: "p"}},
		Routes: []core.RouteConfig{{
			Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: core.RouteUnsafe, Timeout: 2 * time.Second,
			LatencyObjective: 200 * time.Millisecond, MaxAttempts: 2, Split: onlyPool("p"),
		}},
		Limits: core.CallerLimits{HeaderBytes: 4096, BodyBytes: 1 << 20, HeaderTimeout: 500 * time.Millisecond, IdleTimeout: 5 * time.Second},
	}
	entries := map[string]*core.ListedUpstream{}
	for i, limit := range limits {
		w := &worker.Worker{ID: fmt.Sprintf("i-%d", i)}
		w.Script = func(c *worker.Conn, req *worker.ReceivedRequest) {
			time.Sleep(10 * time.Millisecond)
			c.WriteResponse(req, http.StatusOK, "done")
		}
		w.SetLimit(limit)
		g.Expect(w.Start()).To(Succeed())
		t.Cleanup(w.Close)
		s.workers = append(s.workers, w)
		entries[w.ID] = &core.ListedUpstream{ID: w.ID, Pool: "p", Addr: w.Addr(), Zone: "z", MaxSequences: 8}
	}
	s.fleet.Update(time.Now(), entries, nil, config)
	table := route.Compile(config)
	r := &relay.Relay{
		Protocol: platform.Protocol{}, Table: func() *route.Table { return table },
		Picker:      &fleet.Picker{Fleet: s.fleet, Zone: "z"},
		RetryLimits: relay.RetryLimits{Ratio: 1, Burst: 10, Window: 10 * time.Second},
	}
	s.server = &inlet.Server{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Handler: r,
		Limits: func() core.CallerLimits { return config.Limits },
	}
	g.Expect(s.server.Start()).To(Succeed())
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				r.Tick()
			}
		}
	})
	t.Cleanup(func() {
		close(stop)
		wg.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = s.server.Close(ctx)
	})
	return s
}

// limitResponse is the response to one request.
type limitResponse struct {
	status     int
	retryAfter string
	took       time.Duration
}

// send sends requests at a rate for some time and returns their responses.
func (s *limitSystem) send(t *testing.T, perSecond int, d time.Duration) []limitResponse {
	t.Helper()
	var mu sync.Mutex
	var responses []limitResponse
	var wg sync.WaitGroup
	for i := range int(d.Seconds() * float64(perSecond)) {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / time.Duration(perSecond))
			req, err := http.NewRequest(http.MethodPost, "http://"+s.server.Addr().String()+"/unsafe/x", strings.NewReader("body"))
			if err != nil {
				t.Error(err)
				return
			}
			req.Host = "h"
			req.Header.Set(worker.HeaderAttemptID, fmt.Sprintf("a-%d-%d", time.Now().UnixNano(), i))
			start := time.Now()
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Error(err)
				return
			}
			_ = resp.Body.Close()
			mu.Lock()
			defer mu.Unlock()
			responses = append(responses, limitResponse{resp.StatusCode, resp.Header.Get("Retry-After"), time.Since(start)})
		})
	}
	wg.Wait()
	return responses
}

// mostInSpan returns the highest number of requests that a worker received in any
// limitSpan from limitNotice after the first.
func mostInSpan(w *worker.Worker) int {
	requests := w.Requests()
	most := 0
	for i, first := range requests {
		if first.ReceivedAt.Sub(requests[0].ReceivedAt) < limitNotice {
			continue
		}
		n := 0
		for _, r := range requests[i:] {
			if r.ReceivedAt.Sub(first.ReceivedAt) < limitSpan {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against more requests to an upstream than the limit that it names allows, while
// others have room for them.
func TestRequestsBeyondLimit(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := startLimitSystem(t, "1", "", "")
	for _, r := range s.send(t, 30, 6*time.Second) {
		g.Expect(r.status).To(Equal(http.StatusOK))
	}
	g.Expect(mostInSpan(s.workers[0])).To(BeNumerically("<=", limitFactor*limitSpan.Seconds()+limitSlack))
}
