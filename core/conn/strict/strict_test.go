package strict_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/gravitational/trace"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"parsleyroute.example/core/conn/strict"
)

const testBuffer = 4 << 10

func readResponse(data []byte) (*fasthttp.ResponseHeader, *bufio.Reader, error) {
	br := bufio.NewReaderSize(iotest.OneByteReader(bytes.NewReader(data)), testBuffer)
	h := &fasthttp.ResponseHeader{}
	h.SetNoDefaultContentType(true)
	return h, br, strict.ReadResponseHeader(br, h)
}

// Guards against status 000 and others out of range, which fasthttp reads as 200 or passes
// on.
func TestStatusOutOfRange(t *testing.T) {
	g := NewWithT(t)
	for status := range 1000 {
		_, _, err := readResponse([]byte("HTTP/1.1 " + strconv.Itoa(1000 + status)[1:] + " x\r\n\r\n"))
		g.Expect(trace.IsBadParameter(err)).To(Equal(status < 100 || status > 599), "status %03d: %v", status, err)
	}
}

// endlessReader repeats its bytes without end.
type endlessReader string

func (e endlessReader) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		n += copy(p[n:], e)
	}
	return n, nil
}

// Guards against bytes without end in a header, a line of a chunked body or a trailer, all
// of which a reader would keep.
func TestEndlessLines(t *testing.T) {
	g := NewWithT(t)
	for _, prefix := range []string{"", "HTTP/1.1 200 ", "HTTP/1.1 200 x\r\nX: "} {
		h := &fasthttp.ResponseHeader{}
		err := strict.ReadResponseHeader(bufio.NewReaderSize(io.MultiReader(strings.NewReader(prefix), endlessReader("x")), testBuffer), h)
		g.Expect(trace.IsLimitExceeded(err)).To(BeTrue(), "%q: %v", prefix, err)
	}
	h := &fasthttp.ResponseHeader{}
	err := strict.ReadResponseHeader(bufio.NewReaderSize(io.MultiReader(strings.NewReader("HTTP/1.1 200 x\r\n"), endlessReader("X: 1\r\n")), testBuffer), h)
	g.Expect(trace.IsLimitExceeded(err)).To(BeTrue(), "%v", err)
	for _, prefix := range []string{"", "1;", "0\r\nX: "} {
		_, err := io.ReadAll(strict.NewChunkedReader(bufio.NewReaderSize(io.MultiReader(strings.NewReader(prefix), endlessReader("1")), testBuffer)))
		g.Expect(err).To(HaveOccurred(), "%q", prefix)
	}
	_, err = io.ReadAll(strict.NewChunkedReader(bufio.NewReaderSize(io.MultiReader(strings.NewReader("0\r\n"), endlessReader("X: 1\r\n")), testBuffer)))
	g.Expect(trace.IsLimitExceeded(err)).To(BeTrue(), "%v", err)
}

// Guards against a message that ends early and is reported as no message at all, or as
// complete.
func TestCutOff(t *testing.T) {
	g := NewWithT(t)
	const message = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX: 1\r\n\r\n"
	for n := range len(message) {
		_, br, err := readResponse([]byte(message[:n]))
		if err == nil {
			_, err = io.ReadAll(strict.NewChunkedReader(br))
		}
		if n == 0 {
			g.Expect(err).To(Equal(io.EOF))
			continue
		}
		g.Expect(errors.Is(err, io.ErrUnexpectedEOF)).To(BeTrue(), "%q: %v", message[:n], err)
	}
}

// Guards against a client of another parser that gets a response with status 000 through a
// Conn.
func TestConn(t *testing.T) {
	g := NewWithT(t)
	for response, wantBody := range map[string]string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody":                                     "body",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody":        "body",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n": "body",
		"HTTP/1.1 000 \r\nContent-Length: 4\r\n\r\nbody":                                       "",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 x\r\nContent-Length: 4\r\n\r\nbody":         "",
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		go func() {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			// Each of two requests on one connection gets the response.
			br := bufio.NewReader(c)
			for range 2 {
				var req fasthttp.Request
				if req.Read(br) != nil {
					return
				}
				for _, b := range []byte(response) {
					if _, err := c.Write([]byte{b}); err != nil {
						return
					}
				}
			}
		}()
		client := &fasthttp.HostClient{Addr: ln.Addr().String(), MaxIdemponentCallAttempts: 1, Dial: func(addr string) (net.Conn, error) {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				return nil, err
			}
			return strict.NewConn(c), nil
		}}
		for range 2 {
			status, body, err := client.Get(nil, "http://"+ln.Addr().String()+"/")
			if wantBody == "" {
				g.Expect(err).To(HaveOccurred(), "%q: status %d", response, status)
				break
			}
			g.Expect(err).NotTo(HaveOccurred(), "%q", response)
			g.Expect(string(body)).To(Equal(wantBody))
		}
		_ = ln.Close()
	}
}
