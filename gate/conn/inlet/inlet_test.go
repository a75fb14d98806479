package inlet_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/gate/conn/inlet"
)

// slowHandler responds to each request after a delay.
type slowHandler struct{ delay time.Duration }

func (h slowHandler) Serve(x *inlet.Exchange) {
	time.Sleep(h.delay)
	_ = x.Respond(200, nil, []byte("ok"))
}

func (slowHandler) Reject(x *inlet.Exchange, status int, _ core.Reason) {
	_ = x.Respond(status, nil, nil)
}

func (slowHandler) Panicked(*inlet.Exchange, any) {}

func startServer(t *testing.T, h inlet.Handler) *inlet.Server {
	t.Helper()
	s := &inlet.Server{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Handler: h, Limits: func() core.CallerLimits { return core.CallerLimits{} }}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	return s
}

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// TestCloseRespondsToReceivedRequests guards against requests on keep-alive
// connections that arrive while the server closes and get no response, so that
// they are lost.
func TestCloseRespondsToReceivedRequests(t *testing.T) {
	for range 40 {
		g := NewWithT(t)
		s := startServer(t, slowHandler{20 * time.Millisecond})
		const n = 8
		conns := make([]net.Conn, n)
		for i := range conns {
			c, err := net.Dial("tcp", s.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			conns[i] = c
		}
		time.Sleep(5 * time.Millisecond)
		for _, c := range conns {
			_, err := io.WriteString(c, request)
			g.Expect(err).NotTo(HaveOccurred())
		}
		// The kernel has received the requests, but the process may not have
		// read them yet.
		time.Sleep(500 * time.Microsecond)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		closed := make(chan error, 1)
		go func() { closed <- s.Close(ctx) }()
		for _, c := range conns {
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(r.StatusCode).To(Equal(200))
			g.Expect(r.Close).To(BeTrue(), "the response has no Connection: close")
			_ = c.Close()
		}
		g.Expect(<-closed).To(Succeed())
		cancel()
	}
}

// TestCloseClosesOnlyIdleConnections guards against a shutdown that waits for
// idle connections, and against one that aborts requests in flight.
func TestCloseClosesOnlyIdleConnections(t *testing.T) {
	g := NewWithT(t)
	s := startServer(t, slowHandler{300 * time.Millisecond})
	idle, err := net.Dial("tcp", s.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	busy, err := net.Dial("tcp", s.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.WriteString(busy, request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(s.Active, "1s", "5ms").Should(Equal(1))
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	g.Expect(s.Close(ctx)).To(Succeed())
	g.Expect(time.Since(start)).To(BeNumerically("<", time.Second))
	r, err := http.ReadResponse(bufio.NewReader(busy), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.StatusCode).To(Equal(200))
	_, err = idle.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(io.EOF))
}

// largeHandler responds to each request with a body that exceeds the write buffer.
type largeHandler struct{ slowHandler }

func (largeHandler) Serve(x *inlet.Exchange) {
	_ = x.Respond(200, nil, make([]byte, 64<<10))
}

// TestLargeResponseOnIdleConnection guards against a response that is cut off
// because its first part is written with the deadline of the previous response on
// the connection, which was idle for longer than that.
func TestLargeResponseOnIdleConnection(t *testing.T) {
	g := NewWithT(t)
	s := startServer(t, largeHandler{})
	c, err := net.Dial("tcp", s.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	br := bufio.NewReader(c)
	for i := range 2 {
		if i > 0 {
			// Longer than inlet's writeTimeout of 5 s.
			time.Sleep(5200 * time.Millisecond)
		}
		_, err := io.WriteString(c, request)
		g.Expect(err).NotTo(HaveOccurred())
		r, err := http.ReadResponse(br, nil)
		g.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(r.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(HaveLen(64 << 10))
	}
	_ = c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	g.Expect(s.Close(ctx)).To(Succeed())
}

// panicHandler panics while it serves requests for /panic.
type panicHandler struct {
	slowHandler
	panics atomic.Int32
}

func (h *panicHandler) Serve(x *inlet.Exchange) {
	if string(x.Header.RequestURI()) == "/panic" {
		var list []int
		_ = list[x.Body.Len()]
	}
	h.slowHandler.Serve(x)
}

func (h *panicHandler) Panicked(*inlet.Exchange, any) { h.panics.Add(1) }

// TestPanicEndsOneRequest guards against one request that takes the whole process
// down, with all other requests, and against an empty response that looks complete.
func TestPanicEndsOneRequest(t *testing.T) {
	g := NewWithT(t)
	h := &panicHandler{slowHandler: slowHandler{50 * time.Millisecond}}
	s := startServer(t, h)
	other, err := net.Dial("tcp", s.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.WriteString(other, request)
	g.Expect(err).NotTo(HaveOccurred())
	c, err := net.Dial("tcp", s.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.WriteString(c, "GET /panic HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(syscall.ECONNRESET))
	r, err := http.ReadResponse(bufio.NewReader(other), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.StatusCode).To(Equal(200))
	g.Expect(h.panics.Load()).To(BeEquivalentTo(1))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	g.Expect(s.Close(ctx)).To(Succeed())
}

// TestCloseServesEstablishedConnections guards against a planned stop that resets
// connections which the kernel has accepted and the process has not yet, together
// with the requests on them.
func TestCloseServesEstablishedConnections(t *testing.T) {
	for range 20 {
		g := NewWithT(t)
		s := startServer(t, slowHandler{time.Millisecond})
		conns := make([]net.Conn, 32)
		for i := range conns {
			c, err := net.Dial("tcp", s.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			_, err = io.WriteString(c, request)
			g.Expect(err).NotTo(HaveOccurred())
			conns[i] = c
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		g.Expect(s.Close(ctx)).To(Succeed())
		cancel()
		for _, c := range conns {
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(r.StatusCode).To(Equal(200))
			_ = c.Close()
		}
	}
}
