package relay_test

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"parsleyroute.example/fakes/process/worker"
)

// raw returns a script that writes a response with the given status and further lines of
// the header, in which %s stands for the request's id.
func raw(status, lines, body string) worker.Script {
	return func(c *worker.Conn, req *worker.ReceivedRequest) {
		c.Printf("HTTP/1.1 %s\r\n%s: %s\r\n%s: sig\r\nContent-Type: text/event-stream\r\n%s\r\n%s", status, worker.HeaderAttemptID, req.AttemptID, worker.HeaderSignature, lines, body)
		c.Disconnect()
	}
}

const (
	plainLength = "Content-Length: 4\r\n"
	oneEvent    = "id: 1\ndata: e1\n\n"
)

// A faulty upstream may send a response that is none by the grammar. A lenient parser reads
// it as one, with defaults.
var _ = Describe("a response that is none", func() {
	// Guards against a caller that gets it as an answer.
	expectLost := func(path, status, lines, body string) {
		s := startSystem(raw(status, lines, body))
		for i := range s.config.Routes {
			s.config.Routes[i].MaxAttempts = 1
		}
		resp, got, err := s.call(path, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusBadGateway), "body %q", got)
		Expect(got).To(ContainSubstring(`"run":"unknown"`))
		Expect(resp.Header.Get(worker.HeaderSignature)).To(BeEmpty())
	}
	DescribeTable("is not passed on if its status is out of range",
		func(status string) {
			for _, path := range []string{"/unsafe/", "/safe/", "/stream/"} {
				expectLost(path, status, plainLength, "body")
				expectLost(path, status, "", oneEvent)
				expectLost(path, status, "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n")
			}
		},
		Entry("000", "000 "), Entry("000 with a reason", "000 OK"), Entry("001", "001 x"), Entry("099", "099 x"), Entry("600", "600 x"), Entry("999", "999 x"),
	)

	// Guards against an interim response that is none before a valid response.
	It("is not skipped before another one", func() {
		for _, path := range []string{"/unsafe/", "/stream/"} {
			s := startSystem(func(c *worker.Conn, req *worker.ReceivedRequest) {
				c.Printf("HTTP/1.1 099 x\r\n\r\n")
				c.WriteResponse(req, 200, oneEvent)
			})
			s.config.Routes[3].MaxAttempts = 1
			resp, _, err := s.call(path, "")
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
		}
	})

	DescribeTable("is not passed on if a field name has blanks or control bytes",
		func(line string) {
			for _, path := range []string{"/unsafe/", "/safe/", "/stream/"} {
				expectLost(path, "200 OK", line+"\r\n"+plainLength, "body")
				expectLost(path, "200 OK", plainLength+line+"\r\n", "body")
				expectLost(path, "200 OK", line+"\r\n", oneEvent)
			}
		},
		Entry("a blank in the name", "X Trace: 1"), Entry("a blank before the colon", "X-Trace : 1"),
		Entry("a tab before the colon", "X-Trace\t: 1"), Entry("a blank before the name", " X-Trace: 1"),
		Entry("a length", "Content-Length : 4"), Entry("an encoding", "Transfer-Encoding : chunked"),
		Entry("a control byte", "X\x01Trace: 1"), Entry("a NUL byte", "X\x00: 1"), Entry("a delete byte", "X\x7fY: 1"),
		Entry("an empty name", ": 1"), Entry("no colon", "X-Trace"), Entry("a control byte in the value", "X-Trace: a\x01b"),
	)

	DescribeTable("is not passed on if its framing is ambiguous",
		func(lines, body string) {
			for _, path := range []string{"/unsafe/", "/safe/", "/stream/"} {
				expectLost(path, "200 OK", lines, body)
			}
		},
		Entry("two lengths", plainLength+plainLength, "body"), Entry("a list of lengths", "Content-Length: 4, 4\r\n", "body"),
		Entry("a length with a sign", "Content-Length: +4\r\n", "body"), Entry("length and chunks", plainLength+"Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n"),
		Entry("another encoding", "Transfer-Encoding: gzip, chunked\r\n", "4\r\nbody\r\n0\r\n\r\n"),
	)

	// Guards against a malformed chunk or trailer that is read as the end of a body.
	It("does not end as complete in a chunk or trailer that is none", func() {
		for _, body := range []string{"4\r\nbody\r\n0\r\nX Y: 1\r\n\r\n", "4\r\nbody\r\n0\r\nContent-Length: 4\r\n\r\n", "4\nbody\n0\n\n", "4\r\nbody\r\n-0\r\n\r\n", "4\r\nbodyx\r\n0\r\n\r\n"} {
			expectLost("/unsafe/", "200 OK", "Transfer-Encoding: chunked\r\n", body)
			s := startSystem(raw("200 OK", "Transfer-Encoding: chunked\r\n", strings.Replace(body, "4\r\nbody", "10\r\n"+oneEvent, 1)))
			s.config.Routes[3].MaxAttempts = 1
			resp, _, err := s.call("/stream/", "")
			Expect(err != nil || resp.StatusCode == http.StatusBadGateway).To(BeTrue(), "%q", body)
		}
	})
})
