package engine

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
)

// callRaw makes a call to an upstream that answers with the given bytes.
func callRaw(t *testing.T, response string) (*core.Reply, error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, response)
		_, _ = io.Copy(io.Discard, c)
	}()
	var p connPool
	return p.do(t.Context(), netip.MustParseAddrPort(ln.Addr().String()), &core.Call{Method: http.MethodPost, Path: "/x", Body: []byte("body"), Timeout: time.Second})
}

func expectNoReply(t *testing.T, response string) {
	t.Helper()
	reply, err := callRaw(t, response)
	if err == nil {
		_ = reply.Body.Close()
		t.Errorf("%q is read with status %d, fields %v", response, reply.Status, reply.Headers)
	}
}

// Guards against an agent that passes on an answer whose status is out of range.
func TestStatusOutOfRange(t *testing.T) {
	for _, status := range []string{"000 ", "000 OK", "099 x", "600 x"} {
		expectNoReply(t, "HTTP/1.1 "+status+"\r\nContent-Length: 4\r\n\r\nbody")
	}
}

// Guards against an agent that passes on an answer in whose header a field name has blanks
// or control bytes.
func TestFieldNames(t *testing.T) {
	for _, line := range []string{"X Trace: 1", "X : 1", "X\x01Y: 1", "Content-Length : 1"} {
		expectNoReply(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 4\r\n\r\nbody")
	}
}

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
