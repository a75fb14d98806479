package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/core/suite/seed"
	"parsleyroute.example/fakes/process/worker"
	"parsleyroute.example/gate/conn/inlet"
	"parsleyroute.example/gate/process/fleet"
	"parsleyroute.example/gate/request/relay"
	"parsleyroute.example/gate/version/route"
	"parsleyroute.example/platform"
)

func TestRelay(t *testing.T) {
	seed.RunSpecs(t, "relay")
}

// testSystem is the request path of a gate with scripted workers as upstreams.
type testSystem struct {
	server  *inlet.Server
	fleet   *fleet.Fleet
	workers []*worker.Worker
	config  *core.Config
	entries map[string]*core.ListedUpstream
}

const groupName = "g0"

// startSystem starts a gate and one worker for each script. All workers are ranks
// of one group.
func startSystem(scripts ...worker.Script) *testSystem {
	GinkgoHelper()
	s := &testSystem{
		fleet: &fleet.Fleet{ColdLimit: fleet.ColdLimit{Overshoot: 1.5, Slack: 5}},
		config: &core.Config{
			Version: 1,
			Pools: map[string]*core.PoolConfig{
				"p": {Name: "p"},
				"e": {Name: "e", Engine: &core.EngineConfig{MaxSequences: 4}},
			},
			Routes: []core.RouteConfig{
				{Name: "safe", Host: "h", Prefix: "/safe/", Kind: core.RouteSafe, Timeout: 2 * time.Second, LatencyObjective: 200 * time.Millisecond, MaxAttempts: 2, Split: onlyPool("p")},
				{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: core.RouteUnsafe, Timeout: 2 * time.Second, LatencyObjective: 200 * time.Millisecond, MaxAttempts: 2, Split: onlyPool("p")},
				{Name: "short", Host: "h", Prefix: "/short/", Kind: core.RouteUnsafe, Timeout: 300 * time.Millisecond, LatencyObjective: 200 * time.Millisecond, MaxAttempts: 2, Split: onlyPool("p")},
				{Name: "stream", Host: "h", Prefix: "/stream/", Kind: core.RouteStream, Resumable: true, Timeout: 4 * time.Second, LatencyObjective: 300 * time.Millisecond, MaxEventGap: 100 * time.Millisecond, MaxAttempts: 2, Split: onlyPool("e")},
			},
			Limits: core.CallerLimits{HeaderBytes: 4096, BodyBytes: 1 << 20, HeaderTimeout: 500 * time.Millisecond, IdleTimeout: 5 * time.Second},
			Teams:  []core.TeamConfig{{Name: "team", Keys: []string{"key"}}},
		},
		entries: map[string]*core.ListedUpstream{},
	}
	for i, script := range scripts {
		w := &worker.Worker{ID: fmt.Sprintf("i-%d", i), Script: script}
		Expect(w.Start()).To(Succeed())
		DeferCleanup(w.Close)
		s.workers = append(s.workers, w)
		for _, pool := range []string{"p", "e"} {
			id := w.ID + pool
			s.entries[id] = &core.ListedUpstream{ID: id, Pool: pool, Addr: w.Addr(), Zone: "z", MaxSequences: 4, Group: core.GroupMembership{Name: groupName, Epoch: 1, Rank: i, Size: len(scripts)}}
		}
	}
	table := route.Compile(s.config)
	s.updateFleet()
	s.server = &inlet.Server{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		Handler: &relay.Relay{
			Protocol: platform.Protocol{}, Table: func() *route.Table { return table },
			Picker: &fleet.Picker{Fleet: s.fleet, Zone: "z"},
			// The ratio allows one retry per request, because there is no burst
			// in the first window after the start.
			RetryLimits: relay.RetryLimits{Ratio: 1, Burst: 10, Window: 10 * time.Second},
		},
		Limits: func() core.CallerLimits { return s.config.Limits },
	}
	Expect(s.server.Start()).To(Succeed())
	DeferCleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = s.server.Close(ctx)
	})
	return s
}

func onlyPool(pool string) []core.PoolShare { return []core.PoolShare{{Pool: pool, Weight: 1}} }

func (s *testSystem) updateFleet() { s.fleet.Update(time.Now(), s.entries, nil, s.config) }

func (s *testSystem) receivedCount() int {
	n := 0
	for _, w := range s.workers {
		n += len(w.Requests())
	}
	return n
}

// dial opens a connection to the gate.
func (s *testSystem) dial() net.Conn {
	GinkgoHelper()
	c, err := net.Dial("tcp", s.server.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

func requestHeader(path, extra string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + worker.HeaderAttemptID + ": a1\r\nAuthorization: Bearer key\r\n" + extra
}

// call sends a request with a body and reads the response.
func (s *testSystem) call(path, extra string) (*http.Response, string, error) {
	GinkgoHelper()
	c := s.dial()
	_, err := io.WriteString(c, requestHeader(path, extra)+"Content-Length: 4\r\n\r\nbody")
	Expect(err).NotTo(HaveOccurred())
	return readResponse(c)
}

func readResponse(c net.Conn) (*http.Response, string, error) {
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(r.Body)
	return r, string(body), err
}

func respondOK(c *worker.Conn, a *worker.ReceivedRequest) { c.WriteResponse(a, 200, "ok") }

func sendEvents(from, to int) worker.Script {
	return func(c *worker.Conn, a *worker.ReceivedRequest) {
		c.WriteStreamHeader(a)
		for i := from; i <= to; i++ {
			c.WriteEvent(i)
		}
		c.EndStream()
	}
}

func eventStream(ids ...int) string {
	b := ""
	for _, id := range ids {
		b += fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id)
	}
	return b
}

var _ = Describe("A request", func() {
	// Guards against altered requests and responses, against forwarding the
	// caller's key, and against a team or deadline field set by the caller.
	It("is forwarded unchanged except for the fields that the gate removes or sets, and its response unchanged", func() {
		s := startSystem(respondOK)
		r, body, err := s.call("/unsafe/x?q=1", worker.HeaderTeam+": other\r\nX-Other: kept\r\nConnection: x-mine\r\nX-Mine: dropped\r\n"+worker.HeaderDeadlineMs+": 900\r\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(200))
		Expect(body).To(Equal("ok"))
		Expect(r.Header.Get(worker.HeaderSignature)).To(Equal("sig-i-0"))
		a := s.workers[0].Requests()[0]
		Expect(a.RequestURI).To(Equal("/unsafe/x?q=1"))
		Expect(string(a.Payload)).To(Equal("body"))
		Expect(a.Header.Get("Authorization")).To(BeEmpty())
		Expect(a.Header.Get("X-Mine")).To(BeEmpty())
		Expect(a.Header.Get("X-Other")).To(Equal("kept"))
		Expect(a.Header.Values(worker.HeaderTeam)).To(Equal([]string{"team"}))
		Expect(a.Header.Get(worker.HeaderExpectInstance)).To(Equal("i-0p"))
		var remainingMS int
		_, err = fmt.Sscan(a.Header.Get(worker.HeaderDeadlineMs), &remainingMS)
		Expect(err).NotTo(HaveOccurred())
		// About 900 ms less responseMargin and the time until the request is sent.
		Expect(remainingMS).To(BeNumerically("~", 850, 60))
	})

	// Guards against a chunked body that is lost or changed.
	It("may have a chunked body", func() {
		s := startSystem(respondOK)
		c := s.dial()
		_, err := io.WriteString(c, requestHeader("/safe/", "Transfer-Encoding: chunked\r\n")+"\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		r, _, err := readResponse(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(200))
		Expect(string(s.workers[0].Requests()[0].Payload)).To(Equal("body"))
	})

	// Guards against requests of unknown callers that reach a worker.
	It("is refused without a matching route or a valid key", func() {
		s := startSystem(respondOK)
		r, _, err := s.call("/nowhere/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(404))
		c := s.dial()
		_, err = io.WriteString(c, "GET /safe/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer wrong\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		r, _, err = readResponse(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(401))
		Expect(s.receivedCount()).To(BeZero())
	})

	// Guards against request smuggling: each of these can be parsed in two ways.
	DescribeTable("is refused if its framing is ambiguous", func(request string) {
		s := startSystem(respondOK)
		c := s.dial()
		_, err := io.WriteString(c, request)
		Expect(err).NotTo(HaveOccurred())
		r, _, err := readResponse(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(400))
		Expect(s.receivedCount()).To(BeZero())
	},
		Entry("Content-Length and chunked encoding", requestHeader("/safe/", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n")+"\r\n0\r\n\r\n"),
		Entry("two values of Content-Length", requestHeader("/safe/", "Content-Length: 4\r\nContent-Length: 5\r\n")+"\r\nbody!"),
		Entry("a folded header line", requestHeader("/safe/", "X-A: b\r\n c\r\nContent-Length: 0\r\n")+"\r\n"),
		Entry("a bare line feed", requestHeader("/safe/", "X-A: b\nContent-Length: 0\r\n")+"\r\n"),
		Entry("a space before the colon", requestHeader("/safe/", "Content-Length : 0\r\n")+"\r\n"),
	)

	// Guards against a connection that is reset while the caller still sends, so
	// that the caller does not receive the error response.
	It("gets an error response if it is too large", func() {
		s := startSystem(respondOK)
		c := s.dial()
		go func() {
			_, _ = io.WriteString(c, requestHeader("/safe/", "Content-Length: 100000000\r\n")+"\r\n"+strings.Repeat("x", 3<<20))
		}()
		r, _, err := readResponse(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(413))
		c = s.dial()
		go func() {
			_, _ = io.WriteString(c, requestHeader("/safe/", "X-Long: "+strings.Repeat("x", 1<<20)+"\r\n")+"\r\n")
		}()
		r, _, err = readResponse(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(431))
	})

	// Guards against callers that keep connections open with incomplete headers.
	It("times out while its header is read", func() {
		s := startSystem(respondOK)
		c := s.dial()
		_, err := io.WriteString(c, "POST /safe/ HTTP/1.1\r\nHost: h\r\n")
		Expect(err).NotTo(HaveOccurred())
		r, _, err := readResponse(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(408))
	})
})

var _ = Describe("A gate with failing workers", func() {
	reset := func(c *worker.Conn, _ *worker.ReceivedRequest) { c.Reset() }
	refuse := func(c *worker.Conn, a *worker.ReceivedRequest) { c.WriteNotExecuted(a, 503, "") }

	// Guards against an unsafe request that runs twice, and against a status that
	// implies that it has not run.
	It("returns 502 for an unsafe request that may have run", func() {
		s := startSystem(reset, reset)
		r, _, err := s.call("/unsafe/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(502))
		Expect(s.receivedCount()).To(Equal(1))
	})

	// Guards against requests that fail although another worker would respond.
	It("retries a safe request on another worker", func() {
		s := startSystem(reset, reset)
		s.workers[1].SetScript(respondOK)
		s.workers[0].SetScript(reset)
		for range 4 {
			r, _, err := s.call("/safe/", "")
			Expect(err).NotTo(HaveOccurred())
			Expect(r.StatusCode).To(Equal(200))
		}
	})

	// Guards against a refusal without Retry-After, and against more attempts than
	// the route allows.
	It("returns 503 for a request that no worker ran", func() {
		s := startSystem(refuse, refuse, refuse)
		r, _, err := s.call("/unsafe/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(503))
		Expect(r.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(r.Header.Get(worker.HeaderSignature)).To(BeEmpty())
		Expect(s.receivedCount()).To(Equal(2))
	})

	// Guards against a status that implies that the request has not run, although
	// the worker does not state that.
	It("returns 502 for a 503 response that does not state that nothing ran", func() {
		s := startSystem(func(c *worker.Conn, a *worker.ReceivedRequest) { c.WriteResponse(a, 503, "busy") })
		r, _, err := s.call("/unsafe/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(502))
		Expect(r.Header.Get(worker.HeaderSignature)).To(BeEmpty())
	})

	// Guards against forwarding a response that is incomplete or not the worker's
	// response to this request.
	DescribeTable("returns 502 for an invalid response", func(script worker.Script) {
		s := startSystem(script)
		r, _, err := s.call("/unsafe/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(502))
	},
		Entry("truncated", worker.Script(func(c *worker.Conn, a *worker.ReceivedRequest) {
			c.Printf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: 10\r\n\r\nhalf", worker.HeaderAttemptID, a.AttemptID, worker.HeaderSignature)
			c.Disconnect()
		})),
		Entry("without length and with a connection reset", worker.Script(func(c *worker.Conn, a *worker.ReceivedRequest) {
			c.Printf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n\r\nhalf", worker.HeaderAttemptID, a.AttemptID, worker.HeaderSignature)
			time.Sleep(50 * time.Millisecond)
			c.Reset()
		})),
		Entry("without signature", worker.Script(func(c *worker.Conn, a *worker.ReceivedRequest) {
			c.Printf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", worker.HeaderAttemptID, a.AttemptID)
		})),
		Entry("encoded", worker.Script(func(c *worker.Conn, a *worker.ReceivedRequest) {
			c.Printf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok", worker.HeaderAttemptID, a.AttemptID, worker.HeaderSignature)
		})),
		Entry("not HTTP", worker.Script(func(c *worker.Conn, _ *worker.ReceivedRequest) {
			c.Printf("garbage\r\n\r\n")
			c.Disconnect()
		})),
	)

	// Guards against returning the response to one request to the caller of
	// another: a worker sends a late second response on a connection that is
	// reused.
	It("does not mix up responses", func() {
		s := startSystem(func(c *worker.Conn, a *worker.ReceivedRequest) {
			c.WriteResponse(a, 200, "first "+a.AttemptID)
			time.Sleep(30 * time.Millisecond)
			c.WriteResponse(a, 200, "again "+a.AttemptID)
		})
		c := s.dial()
		r := bufio.NewReader(c)
		for i := range 3 {
			id := fmt.Sprintf("n%d", i)
			_, err := io.WriteString(c, "GET /safe/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n"+worker.HeaderAttemptID+": "+id+"\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			resp, err := http.ReadResponse(r, nil)
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(Equal("first " + id))
			// The second response arrives sometimes before and sometimes after
			// the connection is reused.
			time.Sleep(time.Duration(20*i) * time.Millisecond)
		}
	})

	// Guards against losing responses without length.
	It("forwards a response that ends with its connection", func() {
		s := startSystem(func(c *worker.Conn, a *worker.ReceivedRequest) {
			c.Printf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n\r\nwhole", worker.HeaderAttemptID, a.AttemptID, worker.HeaderSignature)
			c.Disconnect()
		})
		r, body, err := s.call("/unsafe/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(200))
		Expect(body).To(Equal("whole"))
	})

	// Guards against further requests to an upstream whose address now belongs to
	// another one.
	It("stops using a worker whose address belongs to another one", func() {
		s := startSystem(func(c *worker.Conn, a *worker.ReceivedRequest) { c.WriteNotExecuted(a, 421, "") })
		for range 3 {
			r, _, err := s.call("/unsafe/", "")
			Expect(err).NotTo(HaveOccurred())
			Expect(r.StatusCode).To(Equal(503))
		}
		Expect(s.receivedCount()).To(Equal(1))
	})
})

var _ = Describe("The handling of a request", func() {
	silent := func(c *worker.Conn, a *worker.ReceivedRequest) { c.AwaitDisconnect(a, 5*time.Second) }

	// Guards against callers that wait longer than the route's timeout.
	It("ends at the route's timeout with 504", func() {
		s := startSystem(silent)
		start := time.Now()
		r, _, err := s.call("/short/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(504))
		Expect(time.Since(start)).To(BeNumerically("~", 300*time.Millisecond, 150*time.Millisecond))
	})

	// Guards against work for a caller that has disconnected.
	It("ends when the caller disconnects", func() {
		s := startSystem(silent)
		c := s.dial()
		_, err := io.WriteString(c, requestHeader("/stream/", "Content-Length: 0\r\n")+"\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(s.receivedCount, "1s", "5ms").Should(Equal(1))
		closedAt := time.Now()
		_ = c.Close()
		Eventually(func() bool { return !s.workers[0].Requests()[0].DisconnectedAt.IsZero() }, "1s", "5ms").Should(BeTrue())
		Expect(s.workers[0].Requests()[0].DisconnectedAt.Sub(closedAt)).To(BeNumerically("<", 400*time.Millisecond))
	})

	// Guards against a safe request that waits for a silent worker while another
	// one would respond.
	It("continues on another worker if one is silent", func() {
		s := startSystem(silent, respondOK)
		for range 6 {
			r, _, err := s.call("/safe/", "")
			Expect(err).NotTo(HaveOccurred())
			Expect(r.StatusCode).To(Equal(200))
		}
	})
})

var _ = Describe("A stream", func() {
	// Guards against events that are changed or lost.
	It("is forwarded unchanged", func() {
		s := startSystem(sendEvents(1, 3))
		r, body, err := s.call("/stream/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Header.Get(worker.HeaderSignature)).To(Equal("sig-i-0"))
		Expect(body).To(Equal(eventStream(1, 2, 3)))
	})

	// Guards against missing, duplicate or incomplete events where a stream is
	// resumed on another worker.
	It("resumes on another worker after a connection reset within an event", func() {
		script := func(c *worker.Conn, a *worker.ReceivedRequest) {
			if a.Header.Get(worker.HeaderLastEventID) == "" {
				c.WriteStreamHeader(a)
				c.WriteEvent(1)
				c.WriteEvent(2)
				c.WriteChunk("id: 3\nda")
				c.Reset()
				return
			}
			Expect(a.Header.Get(worker.HeaderLastEventID)).To(Equal("2"))
			sendEvents(3, 4)(c, a)
		}
		s := startSystem(script, script)
		_, body, err := s.call("/stream/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(eventStream(1, 2, 3, 4)))
		Expect(s.receivedCount()).To(Equal(2))
	})

	// Guards against a stream that was interrupted but looks complete to the caller.
	It("does not look complete if it cannot be resumed", func() {
		s := startSystem(func(c *worker.Conn, a *worker.ReceivedRequest) {
			c.WriteStreamHeader(a)
			c.WriteEvent(1)
			time.Sleep(30 * time.Millisecond)
			c.Reset()
		})
		_, _, err := s.call("/stream/", "")
		Expect(err).To(HaveOccurred())
	})

	// Guards against writing the error response of an earlier attempt into a
	// stream that has begun.
	It("is interrupted without the error response of an earlier attempt", func() {
		var sends atomic.Int32
		script := func(c *worker.Conn, a *worker.ReceivedRequest) {
			if sends.Add(1) == 1 {
				c.WriteResponse(a, 500, "failed")
				return
			}
			c.WriteStreamHeader(a)
			c.WriteEvent(1)
			time.Sleep(30 * time.Millisecond)
			c.Reset()
		}
		s := startSystem(script, script)
		c := s.dial()
		_, err := io.WriteString(c, requestHeader("/stream/", "Content-Length: 0\r\n")+"\r\n")
		Expect(err).NotTo(HaveOccurred())
		raw, _ := io.ReadAll(c)
		Expect(strings.Count(string(raw), "HTTP/1.1")).To(Equal(1))
		Expect(string(raw)).NotTo(ContainSubstring("failed"))
		Expect(string(raw)).NotTo(HaveSuffix("0\r\n\r\n"))
	})

	// Guards against requests that wait for a group after a long outage, and
	// against an outage whose duration is not reset when the group is up again.
	It("does not wait for a group after a long outage", func() {
		s := startSystem(func(c *worker.Conn, a *worker.ReceivedRequest) { c.WriteNotExecuted(a, 503, "10.0.0.9:1") })
		s.server.Handler.(*relay.Relay).LongOutage = 500 * time.Millisecond
		took := func() time.Duration {
			start := time.Now()
			res, _, err := s.call("/stream/", "")
			Expect(err).NotTo(HaveOccurred())
			Expect(res.StatusCode).To(Equal(http.StatusServiceUnavailable))
			return time.Since(start)
		}
		Expect(took()).To(BeNumerically(">", time.Second))
		Expect(took()).To(BeNumerically("<", 300*time.Millisecond))
		s.fleet.BeginTrial(time.Now(), groupName, 2, "test")
		Expect(took()).To(BeNumerically(">", time.Second))
	})

	// Guards against requests that are refused although their group is up again
	// before the caller disconnects, and against sending requests to a group that
	// is down.
	It("waits for a group that is down", func() {
		s := startSystem(func(c *worker.Conn, a *worker.ReceivedRequest) { c.WriteNotExecuted(a, 503, "10.0.0.9:1") })
		s.config.Routes[3].MaxAttempts = 3
		go func() {
			time.Sleep(400 * time.Millisecond)
			s.workers[0].SetScript(sendEvents(1, 1))
			s.fleet.BeginTrial(time.Now(), groupName, 2, "test")
		}()
		go func() {
			// The gate looks for free slots periodically.
			for range 40 {
				time.Sleep(50 * time.Millisecond)
				s.server.Handler.(*relay.Relay).Tick()
			}
		}()
		_, body, err := s.call("/stream/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(eventStream(1)))
		Expect(s.receivedCount()).To(Equal(2))
	})
})
