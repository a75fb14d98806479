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
	// ended receives when the target sees the end of a connection.
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
		s = &proxy.Server{Pairs: []proxy.Pair{{Name: "a", Target: netip.MustParseAddrPort(target.Addr().String())}}}
		Expect(s.Start()).To(Succeed())
		DeferCleanup(s.Close)
	})
	set := func(f proxy.Fault) {
		GinkgoHelper()
		Expect(s.Set("*", func(old *proxy.Fault) error { *old = f; return nil })).To(Succeed())
	}
	dial := func() net.Conn {
		GinkgoHelper()
		c, err := net.Dial("tcp", s.Links()["a"].Listen.String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		return c
	}
	// echo sends a line and waits up to d for it to come back.
	echo := func(c net.Conn, d time.Duration) error {
		_, err := fmt.Fprintln(c, "hello")
		if err != nil {
			return err
		}
		_ = c.SetReadDeadline(time.Now().Add(d))
		_, err = bufio.NewReader(c).ReadString('\n')
		return err
	}

	// Guards against a cut that leaves connections open or accepts new ones.
	It("cuts and restores", func() {
		c := dial()
		Expect(echo(c, 2*time.Second)).To(Succeed())
		set(proxy.Fault{Cut: true})
		Expect(echo(c, 2*time.Second)).NotTo(Succeed())
		Eventually(ended, "2s").Should(Receive())
		_, err := net.Dial("tcp", s.Links()["a"].Listen.String())
		Expect(err).To(MatchError(ContainSubstring("refused")))
		set(proxy.Fault{})
		Expect(echo(dial(), 2*time.Second)).To(Succeed())
	})

	// Guards against a freeze that loses data or affects the other direction.
	DescribeTable("freezes and thaws", func(f proxy.Freeze) {
		c := dial()
		set(proxy.Fault{Freeze: f})
		Expect(echo(c, 50*time.Millisecond)).NotTo(Succeed())
		late := dial()
		Expect(echo(late, 50*time.Millisecond)).NotTo(Succeed())
		set(proxy.Fault{})
		for _, c := range []net.Conn{c, late} {
			_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
			line, err := bufio.NewReader(c).ReadString('\n')
			Expect(err).NotTo(HaveOccurred())
			Expect(line).To(Equal("hello\n"))
		}
	}, Entry(nil, proxy.FreezeToTarget), Entry(nil, proxy.FreezeToClient), Entry(nil, proxy.FreezeBoth))

	// Guards against a delay that is left out or counted for each chunk in turn.
	It("delays without limiting the rate", func() {
		set(proxy.Fault{DelayMs: 50})
		c := dial()
		begin := time.Now()
		for range 20 {
			_, err := fmt.Fprintln(c, "hello")
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(time.Millisecond)
		}
		_, err := io.ReadFull(c, make([]byte, 20*len("hello\n")))
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(begin)).To(And(BeNumerically(">=", 100*time.Millisecond), BeNumerically("<", 900*time.Millisecond)))
	})

	// Guards against a half-open connection whose client learns of its end.
	It("leaves clients with half-open connections", func() {
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

	// Guards against tests of crossed answers that cross none, and against
	// crossings that lose one.
	It("crosses the answers of pairs of connections", func() {
		set(proxy.Fault{Cross: true})
		read := func(c net.Conn) string {
			_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
			line, err := bufio.NewReader(c).ReadString('\n')
			Expect(err).NotTo(HaveOccurred())
			return line
		}
		a, b, single := dial(), dial(), dial()
		Eventually(func() int { return s.Links()["a"].Open }, "2s").Should(Equal(3))
		names := map[net.Conn]string{a: "a\n", b: "b\n", single: "single\n"}
		for c, line := range names {
			_, err := io.WriteString(c, line)
			Expect(err).NotTo(HaveOccurred())
		}
		got := map[string]string{}
		for c, line := range names {
			got[line] = read(c)
		}
		// The proxy may have accepted the connections in any order.
		own := 0
		for sent, received := range got {
			Expect(got[received]).To(Equal(sent))
			if sent == received {
				own++
			}
		}
		Expect(own).To(Equal(1))
		set(proxy.Fault{})
		Expect(echo(dial(), 2*time.Second)).To(Succeed())
	})

	// Guards against typing errors that pass unnoticed and against targets
	// beyond this machine.
	It("refuses bad settings", func() {
		Expect(s.Set("b", func(*proxy.Fault) error { return nil })).To(Satisfy(trace.IsNotFound))
		Expect(s.Set("a", func(f *proxy.Fault) error { f.Freeze = "up"; return nil })).To(Satisfy(trace.IsBadParameter))
		_, err := s.Add(proxy.Pair{Name: "a"})
		Expect(err).To(Satisfy(trace.IsAlreadyExists))
		_, err = s.Add(proxy.Pair{Name: "c", Target: netip.MustParseAddrPort("192.0.2.1:1")})
		Expect(err).To(Satisfy(trace.IsBadParameter))
	})
})
