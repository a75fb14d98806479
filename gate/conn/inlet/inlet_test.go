package inlet_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/gate/conn/inlet"
)

// slow answers each request after a while.
type slow struct{ wait time.Duration }

func (h slow) Serve(x *inlet.Exchange) {
	time.Sleep(h.wait)
	_ = x.Respond(200, nil, []byte("ok"))
}

func (slow) Reject(x *inlet.Exchange, status int, _ core.Reason) { _ = x.Respond(status, nil, nil) }

func start(t *testing.T, h inlet.Handler) *inlet.Server {
	t.Helper()
	s := &inlet.Server{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Handler: h, Limits: func() core.CallerLimits { return core.CallerLimits{} }}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	return s
}

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// TestCloseAnswersWhatHasArrived guards against requests on kept connections
// that arrive as the server ends them and get no answer (hunted day
// hunt-5bdb-7, LOST).
func TestCloseAnswersWhatHasArrived(t *testing.T) {
	for range 40 {
		g := NewWithT(t)
		s := start(t, slow{20 * time.Millisecond})
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
		// The requests have arrived at the machine, though perhaps not at the
		// process.
		time.Sleep(500 * time.Microsecond)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		closed := make(chan error, 1)
		go func() { closed <- s.Close(ctx) }()
		for _, c := range conns {
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(r.StatusCode).To(Equal(200))
			g.Expect(r.Close).To(BeTrue(), "the answer ends the connection")
			_ = c.Close()
		}
		g.Expect(<-closed).To(Succeed())
		cancel()
	}
}

// TestCloseEndsIdle guards against a shutdown that waits for idle connections,
// and against requests that are cut off by it.
func TestCloseEndsIdle(t *testing.T) {
	g := NewWithT(t)
	s := start(t, slow{300 * time.Millisecond})
	idle, err := net.Dial("tcp", s.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	busy, err := net.Dial("tcp", s.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.WriteString(busy, request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(s.Active, "1s", "5ms").Should(Equal(1))
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	g.Expect(s.Close(ctx)).To(Succeed())
	g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	r, err := http.ReadResponse(bufio.NewReader(busy), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.StatusCode).To(Equal(200))
	_, err = idle.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(io.EOF))
}
