package inlet_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/gate/conn/inlet"
)

// echoHandler responds with the body of a request and counts the requests.
type echoHandler struct{ served atomic.Int64 }

func (h *echoHandler) Serve(x *inlet.Exchange) {
	h.served.Add(1)
	parts, release, _ := x.Body.Acquire()
	_ = x.Respond(200, nil, bytes.Join(parts, nil))
	release()
}

func (*echoHandler) Reject(x *inlet.Exchange, status int, _ core.Reason) {
	_ = x.Respond(status, nil, nil)
}

func (*echoHandler) Panicked(*inlet.Exchange, any) {}

// exchange sends bytes on a new connection and returns the status and body of the final
// response.
func exchange(t *testing.T, s *inlet.Server, request string) (int, string) {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	if err == nil && resp.StatusCode == http.StatusContinue {
		resp, err = http.ReadResponse(r, nil)
	}
	if err != nil {
		return 0, ""
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

// Guards against requests that a worker may read differently, and against the refusal of
// valid ones.
func TestRequestFraming(t *testing.T) {
	g := NewWithT(t)
	h := &echoHandler{}
	s := startServer(t, h)
	for request, want := range map[string]string{
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody":                                                 "body",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2;x=y\r\ndy\r\n0\r\nX: 1\r\n\r\n": "body",
		"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 0\r\n\r\n":                             "",
		"GET /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody":                                             "body",
		"DELETE / HTTP/1.0\r\nHost: h\r\nX-Empty:\r\n\r\n":                                                            "",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":                                   "",
	} {
		before := h.served.Load()
		status, body := exchange(t, s, request)
		g.Expect(status).To(Equal(http.StatusOK), "%q", request)
		g.Expect(body).To(Equal(want), "%q", request)
		g.Expect(h.served.Load()).To(Equal(before+1), "%q", request)
	}
	before := h.served.Load()
	for _, request := range []string{
		"POST / HTTP/1.1\r\nHost: h\r\nX\x01Y: 1\r\nContent-Length: 4\r\n\r\nbody",
		"POST / HTTP/1.1\r\nHost: h\r\nX Y: 1\r\nContent-Length: 4\r\n\r\nbody",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 4\r\n\r\nbody",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\nbody\n0\n\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbodyGET / HTTP/1.1\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Y: 1\r\n\r\n",
		"GET / HTTP/1.1\nHost: h\n\n",
		"GET /\x01 HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET / HTTP/2.0\r\nHost: h\r\n\r\n",
	} {
		status, _ := exchange(t, s, request)
		g.Expect(status).To(Equal(http.StatusBadRequest), "%q", request)
	}
	g.Expect(h.served.Load()).To(Equal(before))
}
