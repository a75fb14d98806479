package engine

import (
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/core/suite/raw"
)

// callRaw makes a call to an upstream that answers with the given bytes.
func callRaw(t *testing.T, response string) (*core.Reply, error) {
	t.Helper()
	var p connPool
	return p.do(t.Context(), raw.Start(t, raw.Write(response)), &core.Call{Method: http.MethodPost, Path: "/x", Body: []byte("body"), Timeout: time.Second})
}

func expectNoReply(t *testing.T, headers []string) {
	t.Helper()
	for _, header := range headers {
		reply, err := callRaw(t, header+"Content-Length: 4\r\n\r\nbody")
		if err == nil {
			_ = reply.Body.Close()
			t.Errorf("%q is read with status %d, fields %v", header, reply.Status, reply.Headers)
		}
	}
}

// Guards against an agent that passes on an answer whose status is out of range.
func TestStatusOutOfRange(t *testing.T) { expectNoReply(t, raw.BadStatus) }

// Guards against an agent that passes on an answer in whose header a field name has blanks
// or control bytes.
func TestFieldNames(t *testing.T) { expectNoReply(t, raw.BadFields) }

// Guards against the refusal of answers that are valid.
func TestValidResponses(t *testing.T) {
	g := NewWithT(t)
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		reply, err := callRaw(t, response)
		g.Expect(err).NotTo(HaveOccurred(), "%q", response)
		body, err := io.ReadAll(reply.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(body)).To(Equal("body"))
		g.Expect(reply.Body.Close()).To(Succeed())
	}
}
