package outlet_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"parsleyroute.example/gate/conn/outlet"
)

// upload sends a request with a body of the given size to an upstream that runs respond
// once it has read the header, and returns the connection and the header of the response.
func upload(t *testing.T, size int, respond func(c *net.TCPConn, body io.Reader)) (*outlet.Conn, *fasthttp.ResponseHeader) {
	t.Helper()
	g := NewWithT(t)
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		c, err := ln.AcceptTCP()
		if err != nil {
			return
		}
		req, err := http.ReadRequest(bufio.NewReaderSize(c, 16))
		if err != nil {
			return
		}
		respond(c, req.Body)
	}()
	pool := &outlet.Pool{Addr: netip.MustParseAddrPort(ln.Addr().String())}
	t.Cleanup(func() { _ = pool.Close() })
	c, _, err := pool.Get(t.Context(), time.Hour)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(c.Close)
	c.SetDeadline(time.Now().Add(5 * time.Second))
	// An error may already be due to the response.
	_ = c.Send([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "+string(fasthttp.AppendUint(nil, size))+"\r\n\r\n"), net.Buffers{make([]byte, size)}, func() {})
	h := &fasthttp.ResponseHeader{}
	g.Expect(c.ReadHeader(h)).To(Succeed())
	return c, h
}

const unframed = "HTTP/1.1 200 OK\r\nX: 1\r\n\r\npart"

// Guards against a response without a length that looks complete although its connection
// was reset while the request was written, since the write has taken the socket's error.
func TestResetWhileSending(t *testing.T) {
	g := NewWithT(t)
	c, h := upload(t, 32<<20, func(c *net.TCPConn, _ io.Reader) {
		_, _ = io.WriteString(c, unframed)
		time.Sleep(50 * time.Millisecond)
		_ = c.SetLinger(0)
		_ = c.Close()
	})
	// The write of the body gets the error before the next read.
	time.Sleep(200 * time.Millisecond)
	body, err := io.ReadAll(c.Body(h, []byte(fasthttp.MethodPost)))
	g.Expect(err).To(HaveOccurred(), "the body %q looks complete", body)
	g.Expect(errors.Is(err, io.EOF)).To(BeFalse())
}

// Guards against the loss of a response without a length that is complete, although it
// came before the whole request was read.
func TestEarlyResponseWithoutLength(t *testing.T) {
	g := NewWithT(t)
	c, h := upload(t, 32<<20, func(c *net.TCPConn, body io.Reader) {
		_, _ = io.WriteString(c, unframed)
		// More than the kernel buffers is still to be written when the response ends.
		_ = c.CloseWrite()
		time.Sleep(50 * time.Millisecond)
		_, _ = io.Copy(io.Discard, body)
	})
	body, err := io.ReadAll(c.Body(h, []byte(fasthttp.MethodPost)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("part"))
}
