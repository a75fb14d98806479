package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"parsleyroute.example/fakes/process/worker"
	"parsleyroute.example/gate/request/relay"
)

// These specs play faults of upstreams that operators of similar systems have reported.

var _ = Describe("A refusal that is written twice", func() {
	// Guards against a refusal of an earlier request that is taken for one of the next.
	It("does not refuse the next request on the connection", func() {
		for _, delay := range []time.Duration{0, 20 * time.Millisecond, 60 * time.Millisecond} {
			first := true
			s := startSystem(func(c *worker.Conn, a *worker.ReceivedRequest) {
				if first {
					first = false
					c.WriteNotExecuted(a, 503, "")
					time.Sleep(delay)
					c.WriteNotExecuted(a, 503, "")
					return
				}
				respondOK(c, a)
			})
			c := s.dial()
			r := bufio.NewReader(c)
			var statuses []int
			for i := range 2 {
				_, err := fmt.Fprintf(c, "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n%s: n%d\r\nContent-Length: 0\r\n\r\n", worker.HeaderAttemptID, i)
				Expect(err).NotTo(HaveOccurred())
				resp, err := http.ReadResponse(r, nil)
				Expect(err).NotTo(HaveOccurred())
				_, _ = io.Copy(io.Discard, resp.Body)
				statuses = append(statuses, resp.StatusCode)
				time.Sleep(40 * time.Millisecond)
			}
			Expect(statuses).To(Equal([]int{503, 200}), "second refusal after %s", delay)
		}
	})

	// Guards against a refusal of the first send of a request that is taken for one of
	// the second, which runs.
	It("does not refuse a request that is sent once more on the connection", func() {
		var runs, sends atomic.Int32
		var first *worker.Conn
		s := startSystem(func(c *worker.Conn, a *worker.ReceivedRequest) {
			if sends.Add(1) == 1 {
				first = c
				c.WriteNotExecuted(a, 503, "10.9.9.9:1")
				return
			}
			if c == first {
				c.WriteNotExecuted(a, 503, "10.9.9.9:1")
			}
			runs.Add(1)
			time.Sleep(50 * time.Millisecond)
			sendEvents(1, 2)(c, a)
		})
		s.config.Routes[3].Resumable = false
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			for epoch := uint64(2); ; epoch++ {
				select {
				case <-stop:
					return
				case <-time.After(30 * time.Millisecond):
					if sends.Load() == 1 {
						s.fleet.BeginTrial(time.Now(), groupName, epoch, "test")
						s.server.Handler.(*relay.Relay).Tick()
					}
				}
			}
		}()
		r, _, err := s.call("/stream/", "")
		Expect(sends.Load()).To(BeEquivalentTo(2))
		if err == nil && r.StatusCode == 503 {
			Expect(runs.Load()).To(BeZero(), "a request that was refused as not executed has run")
		}
	})
})

var _ = Describe("A stream that is resumed at an upstream which fails", func() {
	// Guards against an error response, or its header, within a stream, and against a
	// stream that looks complete.
	DescribeTable("is interrupted", func(second worker.Script) {
		var sends atomic.Int32
		script := func(c *worker.Conn, a *worker.ReceivedRequest) {
			if sends.Add(1) > 1 {
				second(c, a)
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
		Expect(sends.Load()).To(BeEquivalentTo(2))
		Expect(strings.Count(string(raw), "HTTP/1.1")).To(Equal(1), string(raw))
		Expect(string(raw)).To(ContainSubstring("data: e1"))
		Expect(string(raw)).NotTo(ContainSubstring("failed"))
		Expect(string(raw)).NotTo(HaveSuffix("0\r\n\r\n"))
	},
		Entry("with 400", respondFailed(400)), Entry("with 404", respondFailed(404)), Entry("with 409", respondFailed(409)),
		Entry("with 410", respondFailed(410)), Entry("with 500", respondFailed(500)), Entry("with 503", respondFailed(503)),
		Entry("with 504", respondFailed(504)), Entry("with 200 that is no stream", respondFailed(200)),
		Entry("with 204", respondFailed(204)), Entry("with 302", respondFailed(302)),
		Entry("with a large error", worker.Script(func(c *worker.Conn, a *worker.ReceivedRequest) {
			c.WriteResponse(a, 400, strings.Repeat("failed ", 200<<10))
		})),
		Entry("with a refusal", worker.Script(func(c *worker.Conn, a *worker.ReceivedRequest) { c.WriteNotExecuted(a, 503, "") })),
		Entry("with 421", worker.Script(func(c *worker.Conn, a *worker.ReceivedRequest) { c.WriteNotExecuted(a, 421, "") })),
		Entry("and stops within an event", worker.Script(func(c *worker.Conn, a *worker.ReceivedRequest) {
			c.Printf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Type: text/event-stream\r\n\r\nid: 2\ndata: failed", worker.HeaderAttemptID, a.AttemptID, worker.HeaderSignature)
			c.Disconnect()
		})),
	)
})

// respondFailed responds with the given status and an error text that would be a
// complete event.
func respondFailed(status int) worker.Script {
	return func(c *worker.Conn, a *worker.ReceivedRequest) { c.WriteResponse(a, status, "failed\n\n") }
}

var _ = Describe("A response whose header ends early", func() {
	// Guards against a response that is forwarded as complete although its upstream
	// stopped within the header.
	It("is not forwarded", func() {
		header := func(id string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\n", worker.HeaderAttemptID, id, worker.HeaderSignature)
		}
		var cut atomic.Int32
		s := startSystem(func(c *worker.Conn, a *worker.ReceivedRequest) {
			c.Printf("%s", header(a.AttemptID)[:cut.Load()])
			c.Disconnect()
		}, func(c *worker.Conn, a *worker.ReceivedRequest) {
			c.Printf("%s", header(a.AttemptID)[:cut.Load()])
			c.Disconnect()
		})
		for n := range len(header("a1")) {
			cut.Store(int32(n))
			s.fleet.Update(time.Now(), nil, nil, s.config)
			s.updateFleet()
			r, _, err := s.call("/unsafe/", "")
			Expect(err).NotTo(HaveOccurred())
			Expect(r.StatusCode).To(Equal(502), "header cut after %d bytes: %q", n, header("a1")[:n])
		}
	})
})

var _ = Describe("A stream without a length that ends with its connection", func() {
	write := func(c *worker.Conn, a *worker.ReceivedRequest, body string) {
		c.Printf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig-%s\r\nContent-Type: text/event-stream\r\n\r\n%s", worker.HeaderAttemptID, a.AttemptID, worker.HeaderSignature, "x", body)
		c.Disconnect()
	}

	// Guards against a complete stream that is cut off or resumed.
	It("is complete if it ends between two events", func() {
		s := startSystem(func(c *worker.Conn, a *worker.ReceivedRequest) { write(c, a, eventStream(1, 2)) })
		_, body, err := s.call("/stream/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(eventStream(1, 2)))
		Expect(s.receivedCount()).To(Equal(1))
	})

	// Guards against a stream that looks complete although its upstream broke it off.
	It("is resumed if it ends within an event", func() {
		script := func(c *worker.Conn, a *worker.ReceivedRequest) {
			if a.Header.Get(worker.HeaderLastEventID) == "" {
				write(c, a, eventStream(1)+"id: 2\nda")
				return
			}
			write(c, a, eventStream(2))
		}
		s := startSystem(script, script)
		_, body, err := s.call("/stream/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(eventStream(1, 2)))
	})
})
