package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
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
	relay   *relay.Relay
	fleet   *fleet.Fleet
	workers []*worker.Worker
	config  *core.Config
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
	s.config = config
	s.fleet.Update(time.Now(), entries, nil, config)
	table := route.Compile(config)
	r := &relay.Relay{
		Protocol: platform.Protocol{}, Table: func() *route.Table { return table },
		Picker:      &fleet.Picker{Fleet: s.fleet, Zone: "z"},
		RetryLimits: relay.RetryLimits{Ratio: 1, Burst: 10, Window: 10 * time.Second},
	}
	s.relay = r
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

// Guards against more requests to an upstream than the limit that it names allows.
func TestRequestsBeyondLimit(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := startLimitSystem(t, "1", "", "")
	for _, r := range s.send(t, 30, 6*time.Second) {
		g.Expect(r.status).To(Equal(http.StatusOK))
	}
	g.Expect(mostInSpan(s.workers[0])).To(BeNumerically("<=", limitFactor*limitSpan.Seconds()+limitSlack))
}

// Guards against requests that wait in vain for a share, and against refusals of those that need not.
func TestAllUpstreamsLimited(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := startLimitSystem(t, "1", "2")
	s.send(t, 20, 500*time.Millisecond)
	before := s.received()
	served := 0
	var waits []time.Duration
	for _, r := range s.send(t, 20, 6*time.Second) {
		switch r.status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
			g.Expect(strconv.ParseFloat(r.retryAfter, 64)).To(BeNumerically(">", 0))
			waits = append(waits, r.took)
		default:
			t.Errorf("status %d", r.status)
		}
	}
	g.Expect(s.received()-before).To(Equal(served), "a refused request must not have run")
	g.Expect(served).To(BeNumerically(">=", 14), "3 requests a second are allowed")
	for _, w := range s.workers {
		g.Expect(mostInSpan(w)).To(BeNumerically("<=", 2*limitFactor*limitSpan.Seconds()+limitSlack))
	}
	slices.Sort(waits)
	g.Expect(waits[len(waits)*9/10]).To(BeNumerically("<", 100*time.Millisecond), "what cannot be served is refused at once")
}

// Guards against an upstream that gets too few requests, or too many at once, after its limit.
func TestLimitEnds(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := startLimitSystem(t, "0.5", "")
	s.send(t, 20, 5*time.Second)
	s.workers[0].SetLimit("")
	ended := time.Now()
	for _, r := range s.send(t, 20, 12*time.Second) {
		g.Expect(r.status).To(Equal(http.StatusOK))
	}
	var after []time.Duration
	for _, r := range s.workers[0].Requests() {
		if r.ReceivedAt.After(ended) {
			after = append(after, r.ReceivedAt.Sub(ended))
		}
	}
	g.Expect(len(after)).To(BeNumerically(">", 40), "half of 20 requests a second, once the end is known")
	// The first response without a limit shows that it has ended.
	inFirstSecond := 0
	for _, at := range after {
		if at-after[0] < time.Second {
			inFirstSecond++
		}
	}
	g.Expect(inFirstSecond).To(BeNumerically("<=", 0.5*limitFactor*limitSpan.Seconds()+limitSlack))
}

// Guards against limits that are ignored in refusals, heads of streams and responses that break off.
func TestLimitOfIncompleteResponses(t *testing.T) {
	t.Parallel()
	for name, script := range map[string]worker.Script{
		"refusal": func(c *worker.Conn, req *worker.ReceivedRequest) {
			c.WriteNotExecuted(req, http.StatusServiceUnavailable, "")
		},
		"stream head": func(c *worker.Conn, req *worker.ReceivedRequest) {
			c.WriteStreamHeader(req)
			c.WriteChunk("x")
			c.EndStream()
		},
		"break": func(c *worker.Conn, req *worker.ReceivedRequest) {
			c.Printf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n%s: 0.5\r\nContent-Length: 9\r\n\r\nx", worker.HeaderAttemptID, req.AttemptID, worker.HeaderSignature, worker.HeaderServerLimit)
			c.Reset()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := startLimitSystem(t, "0.5", "")
			s.workers[0].SetScript(script)
			s.send(t, 20, 6*time.Second)
			g.Expect(mostInSpan(s.workers[0])).To(BeNumerically("<=", 0.5*limitFactor*limitSpan.Seconds()+limitSlack))
		})
	}
}

// Guards against a refusal without a limit that is taken for the end of the limit.
func TestRefusalDoesNotEndLimit(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := startLimitSystem(t, "0.5", "")
	s.send(t, 20, time.Second)
	s.workers[0].SetScript(func(c *worker.Conn, req *worker.ReceivedRequest) {
		c.WriteNotExecuted(req, http.StatusServiceUnavailable, "")
	})
	s.workers[0].SetLimit("")
	for _, r := range s.send(t, 20, 6*time.Second) {
		g.Expect(r.status).To(Equal(http.StatusOK))
	}
	g.Expect(mostInSpan(s.workers[0])).To(BeNumerically("<=", 0.5*limitFactor*limitSpan.Seconds()+limitSlack))
}

func (s *limitSystem) received() int {
	n := 0
	for _, w := range s.workers {
		n += len(w.Requests())
	}
	return n
}
