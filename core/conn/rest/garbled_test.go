package rest_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/gravitational/trace"
	. "github.com/onsi/gomega"

	"parsleyroute.example/core/conn/rest"
	"parsleyroute.example/core/suite/raw"
)

// expectNoResponse checks that neither kind of client takes the bytes for a response.
func expectNoResponse(t *testing.T, headers []string) {
	t.Helper()
	g := NewWithT(t)
	for _, header := range headers {
		addr := raw.Start(t, raw.Write(header+"Content-Length: 2\r\n\r\n{}"))
		var c rest.Client
		var out map[string]any
		err := c.Call(t.Context(), addr, 2*time.Second, http.MethodGet, "/", nil, nil, &out)
		g.Expect(trace.IsConnectionProblem(err)).To(BeTrue(), "%q: %v, %v", header, err, out)
		h := http.Client{Transport: &rest.LimitedTransport{Transport: &http.Transport{}}, Timeout: 2 * time.Second}
		if resp, err := h.Get("http://" + addr.String()); err == nil {
			_ = resp.Body.Close()
			t.Errorf("%q: net/http reads status %d, header %v", header, resp.StatusCode, resp.Header)
		}
	}
}

// Guards against a store, a rank or a peer whose bytes with status 000 count as success.
func TestStatusOutOfRange(t *testing.T) { expectNoResponse(t, raw.BadStatus) }

// Guards against a response in whose header a field name has blanks or control bytes.
func TestFieldNames(t *testing.T) { expectNoResponse(t, raw.BadFields) }

// Guards against bytes after a response that are taken for the response to the next call.
func TestSecondResponse(t *testing.T) {
	g := NewWithT(t)
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{\"a\":1}"
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = ln.Close() }()
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				continue
			}
			if n > 0 {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{\"a\":2}")
				continue
			}
			_, _ = io.WriteString(c, response)
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(c, response)
		}
	}()
	var c rest.Client
	defer func() { _ = c.Close() }()
	addr := netip.MustParseAddrPort(ln.Addr().String())
	for i := 1; i <= 2; i++ {
		var out struct{ A int }
		g.Expect(c.Call(t.Context(), addr, 2*time.Second, http.MethodGet, "/", nil, nil, &out)).To(Succeed())
		g.Expect(out.A).To(Equal(i))
		time.Sleep(60 * time.Millisecond)
	}
}

// Guards against a call that goes on after its context has ended, and keeps what it reads.
func TestCancellationClosesConnection(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = ln.Close() }()
	closed := make(chan struct{})
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	}()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	time.AfterFunc(50*time.Millisecond, cancel)
	var c rest.Client
	start := time.Now()
	err = c.Call(ctx, netip.MustParseAddrPort(ln.Addr().String()), 10*time.Second, http.MethodGet, "/", nil, nil, nil)
	g.Expect(trace.IsConnectionProblem(err)).To(BeTrue(), "%v", err)
	g.Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
	g.Eventually(closed, "2s").Should(BeClosed())
}

// Guards against unused connections that stay open, and against calls that share one.
func TestConnectionsAreReused(t *testing.T) {
	g := NewWithT(t)
	addr := raw.Start(t, raw.Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
	var c rest.Client
	done := make(chan error, 20)
	for range 20 {
		go func() {
			var err error
			for range 20 {
				if err == nil {
					err = c.Call(t.Context(), addr, 2*time.Second, http.MethodPost, "/", nil, map[string]int{"a": 1}, &map[string]any{})
				}
			}
			done <- err
		}()
	}
	for range 20 {
		g.Expect(<-done).To(Succeed())
	}
	g.Expect(c.Close()).To(Succeed())
	g.Expect(c.Call(t.Context(), addr, 2*time.Second, http.MethodGet, "/", nil, nil, &map[string]any{})).To(Succeed(), "after Close")
}
