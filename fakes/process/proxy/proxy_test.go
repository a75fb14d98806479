package proxy_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/gravitational/trace"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"parsleyroute.example/core/suite/seed"
	"parsleyroute.example/fakes/process/proxy"
)

func TestProxy(t *testing.T) {
	seed.RunSpecs(t, "proxy")
}

var _ = Describe("Proxy", func() {
	var s *proxy.Server
	// ended receives when the target detects the end of a connection.
	var ended chan struct{}

	BeforeEach(func() {
		target, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(target.Close)
		done := make(chan struct{}, 16)
		ended = done
		go func() {
			for {
				c, err := target.Accept()
				if err != nil {
					return
				}
				go func() {
					_, _ = io.Copy(c, c)
					_ = c.Close()
					done <- struct{}{}
				}()
			}
		}()
		s = &proxy.Server{LinkConfigs: []proxy.LinkConfig{{Name: "a", Target: netip.MustParseAddrPort(target.Addr().String())}}}
		Expect(s.Start()).To(Succeed())
		DeferCleanup(s.Close)
	})
	set := func(f proxy.Fault) {
		GinkgoHelper()
		Expect(s.SetFault("*", func(old *proxy.Fault) error { *old = f; return nil })).To(Succeed())
	}
	dial := func() net.Conn {
		GinkgoHelper()
		c, err := net.Dial("tcp", s.Links()["a"].Listen.String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		return c
	}
	// echo sends a line and waits up to d until the target returns it.
	echo := func(c net.Conn, d time.Duration) error {
		_, err := fmt.Fprintln(c, "hello")
		if err != nil {
			return err
		}
		_ = c.SetReadDeadline(time.Now().Add(d))
		_, err = bufio.NewReader(c).ReadString('\n')
		return err
	}

	// Guards against a link that is down but leaves connections open or accepts
	// new ones.
	It("goes down and up", func() {
		c := dial()
		Expect(echo(c, 2*time.Second)).To(Succeed())
		set(proxy.Fault{Down: true})
		Expect(echo(c, 2*time.Second)).NotTo(Succeed())
		Eventually(ended, "2s").Should(Receive())
		_, err := net.Dial("tcp", s.Links()["a"].Listen.String())
		Expect(err).To(MatchError(ContainSubstring("refused")))
		set(proxy.Fault{})
		Expect(echo(dial(), 2*time.Second)).To(Succeed())
	})

	// Guards against a freeze that loses data or affects the other direction.
	DescribeTable("freezes and resumes", func(f proxy.Freeze) {
		c := dial()
		set(proxy.Fault{Freeze: f})
		Expect(echo(c, 50*time.Millisecond)).NotTo(Succeed())
		frozen := dial()
		Expect(echo(frozen, 50*time.Millisecond)).NotTo(Succeed())
		set(proxy.Fault{})
		for _, c := range []net.Conn{c, frozen} {
			_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
			line, err := bufio.NewReader(c).ReadString('\n')
			Expect(err).NotTo(HaveOccurred())
			Expect(line).To(Equal("hello\n"))
		}
	}, Entry(nil, proxy.FreezeToTarget), Entry(nil, proxy.FreezeToClient), Entry(nil, proxy.FreezeBoth))

	// Guards against a delay that is not applied, or that adds up over the chunks.
	It("delays without limiting the rate", func() {
		set(proxy.Fault{DelayMs: 50})
		c := dial()
		start := time.Now()
		for range 20 {
			_, err := fmt.Fprintln(c, "hello")
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(time.Millisecond)
		}
		_, err := io.ReadFull(c, make([]byte, 20*len("hello\n")))
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(start)).To(And(BeNumerically(">=", 100*time.Millisecond), BeNumerically("<", 900*time.Millisecond)))
	})

	// Guards against a half-open connection whose client is notified of the end.
	It("leaves half-open connections to clients", func() {
		c := dial()
		Expect(echo(c, 2*time.Second)).To(Succeed())
		set(proxy.Fault{HalfOpen: true})
		Eventually(ended, "2s").Should(Receive())
		for _, c := range []net.Conn{c, dial()} {
			Expect(errors.Is(echo(c, 50*time.Millisecond), os.ErrDeadlineExceeded)).To(BeTrue())
		}
		set(proxy.Fault{})
		Expect(echo(c, 2*time.Second)).NotTo(Succeed())
		Expect(echo(dial(), 2*time.Second)).To(Succeed())
	})

	// Guards against tests of swapped responses in which none is swapped, and
	// against swaps that lose a response.
	It("swaps the responses of pairs of connections", func() {
		set(proxy.Fault{SwapResponses: true})
		read := func(c net.Conn) string {
			_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
			line, err := bufio.NewReader(c).ReadString('\n')
			Expect(err).NotTo(HaveOccurred())
			return line
		}
		a, b, unpaired := dial(), dial(), dial()
		Eventually(func() int { return s.Links()["a"].Open }, "2s").Should(Equal(3))
		lines := map[net.Conn]string{a: "a\n", b: "b\n", unpaired: "single\n"}
		for c, line := range lines {
			_, err := io.WriteString(c, line)
			Expect(err).NotTo(HaveOccurred())
		}
		got := map[string]string{}
		for c, line := range lines {
			got[line] = read(c)
		}
		// The proxy may have accepted the connections in any order.
		unswapped := 0
		for sent, received := range got {
			Expect(got[received]).To(Equal(sent))
			if sent == received {
				unswapped++
			}
		}
		Expect(unswapped).To(Equal(1))
		set(proxy.Fault{})
		Expect(echo(dial(), 2*time.Second)).To(Succeed())
	})

	// Guards against misspelt settings that are accepted and against targets that
	// are not on this machine.
	It("refuses invalid settings", func() {
		Expect(s.SetFault("b", func(*proxy.Fault) error { return nil })).To(Satisfy(trace.IsNotFound))
		Expect(s.SetFault("a", func(f *proxy.Fault) error { f.Freeze = "up"; return nil })).To(Satisfy(trace.IsBadParameter))
		_, err := s.Add(proxy.LinkConfig{Name: "a"})
		Expect(err).To(Satisfy(trace.IsAlreadyExists))
		_, err = s.Add(proxy.LinkConfig{Name: "c", Target: netip.MustParseAddrPort("192.0.2.1:1")})
		Expect(err).To(Satisfy(trace.IsBadParameter))
	})
})
