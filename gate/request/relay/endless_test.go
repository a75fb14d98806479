package relay_test

import (
	"bufio"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"parsleyroute.example/fakes/process/worker"
)

// endless repeats bytes until the gate closes the connection, and records that it
// did.
func endless(start, repeated string, closed *atomic.Int32) worker.Script {
	return func(c *worker.Conn, a *worker.ReceivedRequest) {
		defer closed.Add(1)
		defer c.Disconnect()
		if strings.Contains(start, "%s") {
			start = strings.ReplaceAll(start, "%s", a.AttemptID)
		}
		if _, err := io.WriteString(c, start); err != nil {
			return
		}
		part := strings.Repeat(repeated, max(1, 4096/len(repeated)))
		for {
			if _, err := io.WriteString(c, part); err != nil {
				return
			}
		}
	}
}

const signedHeader = "HTTP/1.1 200 OK\r\n" + worker.HeaderAttemptID + ": %s\r\n" + worker.HeaderSignature + ": sig\r\n"

// A faulty upstream may send bytes that are no answer without end, in a header or a
// body, until its caller closes.
var _ = Describe("an upstream that sends bytes without end", func() {
	// Each entry guards against memory or time that grows with what the upstream
	// sends, against a connection that is used again, and against a caller who is
	// told that his request is complete or has not run.
	DescribeTable("is cut off",
		func(path, start, repeated string) {
			var closed atomic.Int32
			s := startSystem(endless(start, repeated, &closed))
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began := time.Now()
			c := s.dial()
			_, err := io.WriteString(c, requestHeader(path, "")+"Content-Length: 4\r\n\r\nbody")
			Expect(err).NotTo(HaveOccurred())
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil {
				_, err = io.Copy(io.Discard, res.Body)
			}
			// The deadline of the route is 2 s, that of the stream 4 s. The caller reads
			// what was forwarded before.
			Expect(time.Since(began)).To(BeNumerically("<", 5*time.Second))
			if err == nil {
				Expect(res.StatusCode).To(BeElementOf(http.StatusBadGateway, http.StatusGatewayTimeout))
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			Expect(int64(after.HeapAlloc) - int64(before.HeapAlloc)).To(BeNumerically("<", 16<<20))
			Eventually(func() int { return int(closed.Load()) }, "2s").Should(Equal(s.receivedCount()))
			// Another caller is served on a new connection. All workers of the test are
			// ranks of one group, which is taken to stand after a lost stream.
			s.fleet.BeginTrial(time.Now(), groupName, 2, "test")
			s.workers[0].SetScript(func(c *worker.Conn, a *worker.ReceivedRequest) { c.WriteResponse(a, 200, "ok") })
			Eventually(func() string {
				_, body, _ := s.call("/unsafe/", "")
				return body
			}, "4s", "100ms").Should(Equal("ok"))
		},
		Entry("in a header line", "/unsafe/", "HTTP/1.1 200 OK\r\nX: ", "x"),
		Entry("in header lines", "/unsafe/", "HTTP/1.1 200 OK\r\n", "X: y\r\n"),
		Entry("in interim responses", "/unsafe/", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
		Entry("in blank lines", "/unsafe/", "", "\r\n"),
		Entry("in a body without length", "/unsafe/", signedHeader+"\r\n", "x"),
		Entry("in a body with a length", "/unsafe/", signedHeader+"Content-Length: 900000000000\r\n\r\n", "x"),
		Entry("in chunks", "/unsafe/", signedHeader+"Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"),
		Entry("in a chunk header", "/unsafe/", signedHeader+"Transfer-Encoding: chunked\r\n\r\n", "0"),
		Entry("in a trailer", "/unsafe/", signedHeader+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"),
		Entry("in responses to other requests", "/unsafe/", "", "HTTP/1.1 200 OK\r\n"+worker.HeaderAttemptID+": other\r\nContent-Length: 0\r\n\r\n"),
		Entry("in the body of a response to another request", "/unsafe/", "HTTP/1.1 200 OK\r\n"+worker.HeaderAttemptID+": other\r\n\r\n", "x"),
		Entry("in an event", "/stream/", signedHeader+"\r\n", "data: x"),
		Entry("in events that the caller has", "/stream/", signedHeader+"\r\nid: 5\ndata: e\n\n", "id: 5\ndata: e\n\n"),
		Entry("in comments", "/stream/", signedHeader+"\r\n", ": still here\n\n"),
	)

	// Guards against a stalled stream that never ends, because its upstream sends a
	// comment now and then.
	It("is left for another upstream if a stream has only comments", func() {
		stalled := func(c *worker.Conn, a *worker.ReceivedRequest) {
			c.WriteStreamHeader(a)
			c.WriteEvent(1)
			for range 40 {
				c.WriteChunk(": still here\n\n")
				time.Sleep(100 * time.Millisecond)
			}
			c.Disconnect()
		}
		var sends atomic.Int32
		script := func(c *worker.Conn, a *worker.ReceivedRequest) {
			switch sends.Add(1) {
			case 1:
				// Another stream of the pool makes progress meanwhile.
				c.WriteStreamHeader(a)
				for i := range 60 {
					c.WriteEvent(i + 1)
					time.Sleep(50 * time.Millisecond)
				}
				c.EndStream()
			case 2:
				stalled(c, a)
			default:
				sendEvents(2, 3)(c, a)
			}
		}
		s := startSystem(script, script, script)
		done := make(chan struct{})
		go func() {
			defer close(done)
			defer GinkgoRecover()
			_, _, err := s.call("/stream/", "")
			Expect(err).NotTo(HaveOccurred())
		}()
		Eventually(sends.Load, "1s").Should(BeEquivalentTo(1))
		began := time.Now()
		_, body, err := s.call("/stream/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
		Expect(body).To(ContainSubstring(eventStream(2, 3)))
		Eventually(done, "4s").Should(BeClosed())
	})

	// Guards against a second copy of an answer that arrives late, when the
	// connection is in use again, and that the next caller takes for its own.
	It("does not give a late second answer to the next caller", func() {
		for _, second := range []string{
			"HTTP/1.1 500 Internal Server Error\r\n" + worker.HeaderAttemptID + ": a1\r\nContent-Length: 3\r\n\r\nold",
			"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\nold",
			"HTTP/1.1 200 OK\r\n" + worker.HeaderSignature + ": sig\r\nContent-Length: 3\r\n\r\nold",
		} {
			// A connection is reused only once the gate has returned it to its pool,
			// which may be after the caller has its response.
			var reused *worker.Conn
			s := startSystem(func(c *worker.Conn, a *worker.ReceivedRequest) {
				if c != reused {
					reused = c
					c.WriteResponse(a, 200, "one")
					return
				}
				// The connection is in use again when the second answer arrives.
				time.Sleep(20 * time.Millisecond)
				c.Printf("%s", second)
				c.WriteResponse(a, 200, "two")
			})
			_, body, err := s.call("/unsafe/", "")
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("one"))
			Eventually(func() string {
				c := s.dial()
				_, err = io.WriteString(c, strings.Replace(requestHeader("/unsafe/", ""), ": a1", ": a2", 1)+"Content-Length: 4\r\n\r\nbody")
				Expect(err).NotTo(HaveOccurred())
				res, body, err := readResponse(c)
				Expect(err).NotTo(HaveOccurred())
				Expect(body).NotTo(ContainSubstring("old"))
				Expect(res.StatusCode).To(BeElementOf(http.StatusOK, http.StatusBadGateway))
				return body
			}, "2s").ShouldNot(Equal("one"), "the response of a reused connection")
		}
	})
})
