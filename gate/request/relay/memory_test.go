package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"parsleyroute.example/fakes/process/worker"
	"parsleyroute.example/gate/conn/body"
	"parsleyroute.example/gate/process/policy"
	"parsleyroute.example/gate/request/relay"
)

// upload sends a request with a body of the given size on a new connection and reads the
// response.
func (s *testSystem) upload(path string, size int) (*http.Response, string, error) {
	GinkgoHelper()
	c := s.dial()
	_, err := io.WriteString(c, requestHeader(path, fmt.Sprintf("Content-Length: %d\r\n\r\n", size))+strings.Repeat("x", size))
	Expect(err).NotTo(HaveOccurred())
	return readResponse(c)
}

var _ = Describe("a gate that is short of memory", func() {
	const large = 400 << 10

	// Guards against a request that is refused although memory can be had from one whose
	// response has begun, and against a stream that looks complete, or is sent again without
	// its body, once that was given up.
	It("gives up bodies whose response has begun", func() {
		release := make(chan struct{})
		var sends atomic.Int32
		s := startSystem(func(c *worker.Conn, a *worker.ReceivedRequest) {
			if !strings.HasPrefix(a.URL.Path, "/stream/") {
				c.WriteResponse(a, 200, "ok")
				return
			}
			sends.Add(1)
			c.WriteStreamHeader(a)
			c.WriteEvent(1)
			<-release
			c.Reset()
		}, func(c *worker.Conn, a *worker.ReceivedRequest) { sendEvents(2, 3)(c, a) })
		// Streams go to the first worker only.
		delete(s.entries, "i-1e")
		s.updateFleet()
		s.server.Bodies = &body.Store{Limit: large + large/2}
		type result struct {
			body string
			err  error
		}
		stream := make(chan result, 1)
		go func() {
			defer GinkgoRecover()
			_, got, err := s.upload("/stream/", large)
			stream <- result{got, err}
		}()
		Eventually(sends.Load, "2s").Should(BeEquivalentTo(1))
		Eventually(func() int {
			resp, _, err := s.upload("/unsafe/", large)
			Expect(err).NotTo(HaveOccurred())
			return resp.StatusCode
		}, "2s").Should(Equal(http.StatusOK))
		close(release)
		var r result
		Eventually(stream, "5s").Should(Receive(&r))
		Expect(r.err).To(HaveOccurred(), "the stream %q looks complete", r.body)
		Expect(r.body).To(Equal(eventStream(1)))
		Expect(sends.Load()).To(BeEquivalentTo(1), "the request is not sent without its body")
		Eventually(s.server.Bodies.Used, "2s").Should(BeZero())
	})

	// Guards against a gate that exceeds its memory, and against a refusal that does not say
	// when to come back, or of a request that then runs.
	It("refuses a request for whose body there is no memory", func() {
		started, release := make(chan struct{}), make(chan struct{})
		var once sync.Once
		s := startSystem(func(c *worker.Conn, a *worker.ReceivedRequest) {
			once.Do(func() { close(started) })
			<-release
			c.WriteResponse(a, 200, "ok")
		})
		s.server.Bodies = &body.Store{Limit: large + large/2}
		first := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			resp, _, err := s.upload("/unsafe/", large)
			Expect(err).NotTo(HaveOccurred())
			first <- resp.StatusCode
		}()
		Eventually(started, "2s").Should(BeClosed())
		resp, got, err := s.upload("/unsafe/", large)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(got).To(ContainSubstring(`"run":"no"`))
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
		close(release)
		resp, _, err = s.call("/unsafe/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusOK), "a small body")
		Eventually(first, "2s").Should(Receive(Equal(http.StatusOK)))
		Expect(s.receivedCount()).To(BeNumerically("<=", 2))
		Eventually(s.server.Bodies.Used, "2s").Should(BeZero())
	})

	// Guards against a large response that fails, or is cut, for want of memory to buffer it.
	It("passes on a response without buffering it", func() {
		want := strings.Repeat("0123456789", 60000)
		s := startSystem(func(c *worker.Conn, a *worker.ReceivedRequest) { c.WriteResponse(a, 200, want) })
		responses := &policy.ByteBudget{Limit: 20 << 10}
		s.server.Handler.(*relay.Relay).Responses = responses
		for _, path := range []string{"/unsafe/", "/safe/"} {
			resp, got, err := s.call(path, "")
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
			Expect(got == want).To(BeTrue(), "%d bytes", len(got))
		}
		Eventually(responses.Used, "2s").Should(BeZero())
	})

	// Guards against an event that is kept beyond the memory for responses.
	It("breaks off an event that it cannot hold", func() {
		s := startSystem(func(c *worker.Conn, a *worker.ReceivedRequest) {
			c.WriteStreamHeader(a)
			c.WriteEvent(1)
			c.WriteChunk("id: 2\ndata: " + strings.Repeat("x", 100<<10) + "\n\n")
			c.EndStream()
		})
		s.config.Routes[3].MaxAttempts = 1
		responses := &policy.ByteBudget{Limit: 20 << 10}
		s.server.Handler.(*relay.Relay).Responses = responses
		_, got, err := s.call("/stream/", "")
		Expect(err).To(HaveOccurred())
		Expect(got).To(Equal(eventStream(1)))
		Eventually(responses.Used, "2s").Should(BeZero())
	})
})
