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
	seed.Specs(t, "relay")
}

// system is a gate's request path before scripted workers.
type system struct {
	server  *inlet.Server
	fleet   *fleet.Fleet
	workers []*worker.Worker
	config  *core.Config
	peers   map[string]*core.Peer
}

const group = "g0"

// open starts a gate and as many workers as there are scripts. All are ranks of
// one group.
func open(scripts ...worker.Script) *system {
	GinkgoHelper()
	s := &system{
		fleet: &fleet.Fleet{ColdLimit: fleet.ColdLimit{Overshoot: 1.5, Slack: 5}},
		config: &core.Config{
			Version: 1,
			Pools: map[string]*core.PoolConfig{
				"p": {Name: "p"},
				"e": {Name: "e", Engine: &core.EngineConfig{Slots: 4}},
			},
			Routes: []core.RouteConfig{
				{Name: "safe", Host: "h", Prefix: "/safe/", Kind: core.RouteSafe, Timeout: 2 * time.Second, Objective: 200 * time.Millisecond, Attempts: 2, Split: share("p")},
				{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: core.RouteUnsafe, Timeout: 2 * time.Second, Objective: 200 * time.Millisecond, Attempts: 2, Split: share("p")},
				{Name: "short", Host: "h", Prefix: "/short/", Kind: core.RouteUnsafe, Timeout: 300 * time.Millisecond, Objective: 200 * time.Millisecond, Attempts: 2, Split: share("p")},
				{Name: "stream", Host: "h", Prefix: "/stream/", Kind: core.RouteStream, Resume: true, Timeout: 4 * time.Second, Objective: 300 * time.Millisecond, Pause: 100 * time.Millisecond, Attempts: 2, Split: share("e")},
			},
			Limits: core.CallerLimits{HeaderBytes: 4096, BodyBytes: 1 << 20, HeaderTimeout: 500 * time.Millisecond, IdleTimeout: 5 * time.Second},
			Teams:  []core.TeamConfig{{Name: "team", Keys: []string{"key"}}},
		},
		peers: map[string]*core.Peer{},
	}
	for i, script := range scripts {
		w := &worker.Worker{ID: fmt.Sprintf("i-%d", i), Script: script}
		Expect(w.Start()).To(Succeed())
		DeferCleanup(w.Close)
		s.workers = append(s.workers, w)
		for _, pool := range []string{"p", "e"} {
			id := w.ID + pool
			s.peers[id] = &core.Peer{ID: id, Pool: pool, Addr: w.Addr(), Zone: "z", Slots: 4, Group: core.PeerGroup{Name: group, Epoch: 1, Rank: i, Size: len(scripts)}}
		}
	}
	table := route.Compile(s.config)
	s.update()
	s.server = &inlet.Server{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		Handler: &relay.Relay{
			Protocol: platform.Protocol{}, Table: func() *route.Table { return table },
			Picker: &fleet.Picker{Fleet: s.fleet, Zone: "z"},
			// A whole window of requests allows one repeat each, since a gate
			// that has just started has no burst.
			Bounds: relay.Bounds{RetryRatio: 1, RetryBurst: 10, RetryWindow: 10 * time.Second},
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

func share(pool string) []core.PoolShare { return []core.PoolShare{{Pool: pool, Weight: 1}} }

func (s *system) update() { s.fleet.Update(time.Now(), s.peers, nil, s.config) }

func (s *system) arrivals() int {
	n := 0
	for _, w := range s.workers {
		n += len(w.Arrivals())
	}
	return n
}

// dial opens a caller's connection.
func (s *system) dial() net.Conn {
	GinkgoHelper()
	c, err := net.Dial("tcp", s.server.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

func head(path, extra string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + worker.HeaderAttempt + ": a1\r\nAuthorization: Bearer key\r\n" + extra
}

// call sends a request with a body and reads the answer.
func (s *system) call(path, extra string) (*http.Response, string, error) {
	GinkgoHelper()
	c := s.dial()
	_, err := io.WriteString(c, head(path, extra)+"Content-Length: 4\r\n\r\nbody")
	Expect(err).NotTo(HaveOccurred())
	return read(c)
}

func read(c net.Conn) (*http.Response, string, error) {
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(r.Body)
	return r, string(body), err
}

func answer(c *worker.Conn, a *worker.Arrival) { c.Answer(a, 200, "ok") }

func events(from, to int) worker.Script {
	return func(c *worker.Conn, a *worker.Arrival) {
		c.Begin(a)
		for i := from; i <= to; i++ {
			c.Event(i)
		}
		c.End()
	}
}

func stream(ids ...int) string {
	b := ""
	for _, id := range ids {
		b += fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id)
	}
	return b
}

var _ = Describe("A request", func() {
	// Guards against altered requests and answers, a key that is passed on, and
	// a team or deadline that the caller sets itself.
	It("reaches a worker and is answered unchanged", func() {
		s := open(answer)
		r, body, err := s.call("/unsafe/x?q=1", worker.HeaderTeam+": other\r\nX-Other: kept\r\nConnection: x-mine\r\nX-Mine: dropped\r\n"+worker.HeaderDeadline+": 900\r\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(200))
		Expect(body).To(Equal("ok"))
		Expect(r.Header.Get(worker.HeaderSignature)).To(Equal("sig-i-0"))
		a := s.workers[0].Arrivals()[0]
		Expect(a.RequestURI).To(Equal("/unsafe/x?q=1"))
		Expect(string(a.Payload)).To(Equal("body"))
		Expect(a.Header.Get("Authorization")).To(BeEmpty())
		Expect(a.Header.Get("X-Mine")).To(BeEmpty())
		Expect(a.Header.Get("X-Other")).To(Equal("kept"))
		Expect(a.Header.Values(worker.HeaderTeam)).To(Equal([]string{"team"}))
		Expect(a.Header.Get(worker.HeaderExpect)).To(Equal("i-0p"))
		var left int
		_, err = fmt.Sscan(a.Header.Get(worker.HeaderDeadline), &left)
		Expect(err).NotTo(HaveOccurred())
		Expect(left).To(BeNumerically("~", 850, 60))
	})

	// Guards against a body in chunks that is lost or changed.
	It("may come in chunks", func() {
		s := open(answer)
		c := s.dial()
		_, err := io.WriteString(c, head("/safe/", "Transfer-Encoding: chunked\r\n")+"\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		r, _, err := read(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(200))
		Expect(string(s.workers[0].Arrivals()[0].Payload)).To(Equal("body"))
	})

	// Guards against requests of unknown callers that reach a worker.
	It("is refused without a route or a key", func() {
		s := open(answer)
		r, _, err := s.call("/nowhere/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(404))
		c := s.dial()
		_, err = io.WriteString(c, "GET /safe/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer wrong\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		r, _, err = read(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(401))
		Expect(s.arrivals()).To(BeZero())
	})

	// Guards against smuggled requests: each of these could be read in two ways.
	DescribeTable("is refused if its framing is ambiguous", func(request string) {
		s := open(answer)
		c := s.dial()
		_, err := io.WriteString(c, request)
		Expect(err).NotTo(HaveOccurred())
		r, _, err := read(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(400))
		Expect(s.arrivals()).To(BeZero())
	},
		Entry("both lengths", head("/safe/", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n")+"\r\n0\r\n\r\n"),
		Entry("two lengths", head("/safe/", "Content-Length: 4\r\nContent-Length: 5\r\n")+"\r\nbody!"),
		Entry("a folded line", head("/safe/", "X-A: b\r\n c\r\nContent-Length: 0\r\n")+"\r\n"),
		Entry("a bare line feed", head("/safe/", "X-A: b\nContent-Length: 0\r\n")+"\r\n"),
		Entry("space before the colon", head("/safe/", "Content-Length : 0\r\n")+"\r\n"),
	)

	// Guards against a refusal that the caller does not see, because the
	// connection is reset while it still sends.
	It("is told if it is too large", func() {
		s := open(answer)
		c := s.dial()
		go func() {
			_, _ = io.WriteString(c, head("/safe/", "Content-Length: 100000000\r\n")+"\r\n"+strings.Repeat("x", 3<<20))
		}()
		r, _, err := read(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(413))
		c = s.dial()
		go func() {
			_, _ = io.WriteString(c, head("/safe/", "X-Long: "+strings.Repeat("x", 1<<20)+"\r\n")+"\r\n")
		}()
		r, _, err = read(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(431))
	})

	// Guards against callers that hold connections by never ending a header.
	It("times out while its header is read", func() {
		s := open(answer)
		c := s.dial()
		_, err := io.WriteString(c, "POST /safe/ HTTP/1.1\r\nHost: h\r\n")
		Expect(err).NotTo(HaveOccurred())
		r, _, err := read(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(408))
	})
})

var _ = Describe("A failure of a worker", func() {
	reset := func(c *worker.Conn, _ *worker.Arrival) { c.Reset() }
	refuse := func(c *worker.Conn, a *worker.Arrival) { c.Refuse(a, 503, "") }

	// Guards against work that may not be repeated and runs twice, and against a
	// refusal that says it has not run.
	It("ends an unsafe request that may have run with 502", func() {
		s := open(reset, reset)
		r, _, err := s.call("/unsafe/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(502))
		Expect(s.arrivals()).To(Equal(1))
	})

	// Guards against requests that are given up although another worker would
	// answer.
	It("sends a safe request to another worker", func() {
		s := open(reset, reset)
		s.workers[1].SetScript(answer)
		s.workers[0].SetScript(reset)
		for range 4 {
			r, _, err := s.call("/safe/", "")
			Expect(err).NotTo(HaveOccurred())
			Expect(r.StatusCode).To(Equal(200))
		}
	})

	// Guards against a refusal without a time to come back, and against more
	// workers than the route allows.
	It("refuses a request that no worker ran", func() {
		s := open(refuse, refuse, refuse)
		r, _, err := s.call("/unsafe/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(503))
		Expect(r.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(r.Header.Get(worker.HeaderSignature)).To(BeEmpty())
		Expect(s.arrivals()).To(Equal(2))
	})

	// Guards against the promise of a status that the worker does not make.
	It("does not pass on a 503 that does not say that nothing ran", func() {
		s := open(func(c *worker.Conn, a *worker.Arrival) { c.Answer(a, 503, "busy") })
		r, _, err := s.call("/unsafe/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(502))
		Expect(r.Header.Get(worker.HeaderSignature)).To(BeEmpty())
	})

	// Guards against answers that are not the worker's to this request.
	DescribeTable("does not reach the caller as an answer", func(script worker.Script) {
		s := open(script)
		r, _, err := s.call("/unsafe/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(502))
	},
		Entry("truncated", worker.Script(func(c *worker.Conn, a *worker.Arrival) {
			c.Printf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: 10\r\n\r\nhalf", worker.HeaderAttempt, a.Attempt, worker.HeaderSignature)
			c.Break()
		})),
		Entry("without length and reset", worker.Script(func(c *worker.Conn, a *worker.Arrival) {
			c.Printf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n\r\nhalf", worker.HeaderAttempt, a.Attempt, worker.HeaderSignature)
			time.Sleep(50 * time.Millisecond)
			c.Reset()
		})),
		Entry("without signature", worker.Script(func(c *worker.Conn, a *worker.Arrival) {
			c.Printf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", worker.HeaderAttempt, a.Attempt)
		})),
		Entry("encoded", worker.Script(func(c *worker.Conn, a *worker.Arrival) {
			c.Printf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok", worker.HeaderAttempt, a.Attempt, worker.HeaderSignature)
		})),
		Entry("no HTTP", worker.Script(func(c *worker.Conn, _ *worker.Arrival) {
			c.Printf("garbage\r\n\r\n")
			c.Break()
		})),
	)

	// Guards against the answer to one request that reaches the caller of
	// another: a late second answer on a connection that is used again.
	It("does not cross answers", func() {
		s := open(func(c *worker.Conn, a *worker.Arrival) {
			c.Answer(a, 200, "first "+a.Attempt)
			time.Sleep(30 * time.Millisecond)
			c.Answer(a, 200, "again "+a.Attempt)
		})
		c := s.dial()
		r := bufio.NewReader(c)
		for i := range 3 {
			id := fmt.Sprintf("n%d", i)
			_, err := io.WriteString(c, "GET /safe/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n"+worker.HeaderAttempt+": "+id+"\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			resp, err := http.ReadResponse(r, nil)
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(Equal("first " + id))
			// The second answer arrives sometimes before and sometimes after the
			// connection is used again.
			time.Sleep(time.Duration(20*i) * time.Millisecond)
		}
	})

	// Guards against answers without length that are lost.
	It("passes on an answer that ends with its connection", func() {
		s := open(func(c *worker.Conn, a *worker.Arrival) {
			c.Printf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n\r\nwhole", worker.HeaderAttempt, a.Attempt, worker.HeaderSignature)
			c.Break()
		})
		r, body, err := s.call("/unsafe/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(200))
		Expect(body).To(Equal("whole"))
	})

	// Guards against an upstream that is asked again and again after another
	// one has taken its address.
	It("ends the use of a worker whose address another has", func() {
		s := open(func(c *worker.Conn, a *worker.Arrival) { c.Refuse(a, 421, "") })
		for range 3 {
			r, _, err := s.call("/unsafe/", "")
			Expect(err).NotTo(HaveOccurred())
			Expect(r.StatusCode).To(Equal(503))
		}
		Expect(s.arrivals()).To(Equal(1))
	})
})

var _ = Describe("The time of a request", func() {
	silent := func(c *worker.Conn, a *worker.Arrival) { c.AwaitLeave(a, 5*time.Second) }

	// Guards against callers that are kept waiting beyond the route's time.
	It("ends at the route's timeout with 504", func() {
		s := open(silent)
		began := time.Now()
		r, _, err := s.call("/short/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.StatusCode).To(Equal(504))
		Expect(time.Since(began)).To(BeNumerically("~", 300*time.Millisecond, 150*time.Millisecond))
	})

	// Guards against work for a caller that has gone.
	It("ends when the caller leaves", func() {
		s := open(silent)
		c := s.dial()
		_, err := io.WriteString(c, head("/stream/", "Content-Length: 0\r\n")+"\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(s.arrivals, "1s", "5ms").Should(Equal(1))
		left := time.Now()
		_ = c.Close()
		Eventually(func() bool { return !s.workers[0].Arrivals()[0].Left.IsZero() }, "1s", "5ms").Should(BeTrue())
		Expect(s.workers[0].Arrivals()[0].Left.Sub(left)).To(BeNumerically("<", 400*time.Millisecond))
	})

	// Guards against a safe request that waits for a silent worker while another
	// would answer.
	It("is not spent on a silent worker", func() {
		s := open(silent, answer)
		for range 6 {
			r, _, err := s.call("/safe/", "")
			Expect(err).NotTo(HaveOccurred())
			Expect(r.StatusCode).To(Equal(200))
		}
	})
})

var _ = Describe("A stream", func() {
	// Guards against events that are changed or lost.
	It("is passed on event by event", func() {
		s := open(events(1, 3))
		r, body, err := s.call("/stream/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Header.Get(worker.HeaderSignature)).To(Equal("sig-i-0"))
		Expect(body).To(Equal(stream(1, 2, 3)))
	})

	// Guards against events that are missing, doubled or torn where a stream
	// goes on at another worker.
	It("goes on at another worker after a break in an event", func() {
		script := func(c *worker.Conn, a *worker.Arrival) {
			if a.Header.Get(worker.HeaderLastEvent) == "" {
				c.Begin(a)
				c.Event(1)
				c.Event(2)
				c.Chunk("id: 3\nda")
				c.Reset()
				return
			}
			Expect(a.Header.Get(worker.HeaderLastEvent)).To(Equal("2"))
			events(3, 4)(c, a)
		}
		s := open(script, script)
		_, body, err := s.call("/stream/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(stream(1, 2, 3, 4)))
		Expect(s.arrivals()).To(Equal(2))
	})

	// Guards against an answer that was broken off and looks complete.
	It("does not look complete if it cannot go on", func() {
		s := open(func(c *worker.Conn, a *worker.Arrival) {
			c.Begin(a)
			c.Event(1)
			time.Sleep(30 * time.Millisecond)
			c.Reset()
		})
		_, _, err := s.call("/stream/", "")
		Expect(err).To(HaveOccurred())
	})

	// Guards against an earlier worker's error answer that is written into a
	// stream which has begun.
	It("is broken off after an earlier error answer", func() {
		var sends atomic.Int32
		script := func(c *worker.Conn, a *worker.Arrival) {
			if sends.Add(1) == 1 {
				c.Answer(a, 500, "failed")
				return
			}
			c.Begin(a)
			c.Event(1)
			time.Sleep(30 * time.Millisecond)
			c.Reset()
		}
		s := open(script, script)
		c := s.dial()
		_, err := io.WriteString(c, head("/stream/", "Content-Length: 0\r\n")+"\r\n")
		Expect(err).NotTo(HaveOccurred())
		raw, _ := io.ReadAll(c)
		Expect(strings.Count(string(raw), "HTTP/1.1")).To(Equal(1))
		Expect(string(raw)).NotTo(ContainSubstring("failed"))
		Expect(string(raw)).NotTo(HaveSuffix("0\r\n\r\n"))
	})

	// Guards against requests that are held for a group that has been down for
	// long, and against a wait that does not begin again after it was open.
	It("does not wait for a group that has been down for long", func() {
		s := open(func(c *worker.Conn, a *worker.Arrival) { c.Refuse(a, 503, "10.0.0.9:1") })
		s.server.Handler.(*relay.Relay).LongDown = 500 * time.Millisecond
		took := func() time.Duration {
			start := time.Now()
			res, _, err := s.call("/stream/", "")
			Expect(err).NotTo(HaveOccurred())
			Expect(res.StatusCode).To(Equal(http.StatusServiceUnavailable))
			return time.Since(start)
		}
		Expect(took()).To(BeNumerically(">", time.Second))
		Expect(took()).To(BeNumerically("<", 300*time.Millisecond))
		s.fleet.MarkGroupUp(time.Now(), group, 2, "test")
		Expect(took()).To(BeNumerically(">", time.Second))
	})

	// Guards against requests that are refused although their group is back
	// within the caller's patience, and against a group that is asked again by
	// each request while it is down.
	It("waits for a group that is down", func() {
		s := open(func(c *worker.Conn, a *worker.Arrival) { c.Refuse(a, 503, "10.0.0.9:1") })
		s.config.Routes[3].Attempts = 3
		go func() {
			time.Sleep(400 * time.Millisecond)
			s.workers[0].SetScript(events(1, 1))
			s.fleet.MarkGroupUp(time.Now(), group, 2, "test")
		}()
		go func() {
			// The gate looks for free places on a timer.
			for range 40 {
				time.Sleep(50 * time.Millisecond)
				s.server.Handler.(*relay.Relay).Tick()
			}
		}()
		_, body, err := s.call("/stream/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(stream(1)))
		Expect(s.arrivals()).To(Equal(2))
	})
})
