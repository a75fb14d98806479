package relay_test

import (
	"net/http"

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
})
