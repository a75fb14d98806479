package relay_test

import (
	"io"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"parsleyroute.example/fakes/process/worker"
)

// These specs play faults of upstreams that operators of similar systems have reported.

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

