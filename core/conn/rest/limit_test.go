package rest_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	. "github.com/onsi/gomega"

	"parsleyroute.example/core/conn/rest"
)

// endlessServer sends a body without end.
func endlessServer(t *testing.T) *httptest.Server {
	t.Helper()
	part := []byte(strings.Repeat("[", 1<<16))
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	}))
	t.Cleanup(s.Close)
	return s
}

// TestEndlessBody guards against a peer, a rank or a store that sends a body without
// end and takes all memory of its caller, for both kinds of clients.
func TestEndlessBody(t *testing.T) {
	g := NewWithT(t)
	s := endlessServer(t)
	var c rest.Client
	addr := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	start := time.Now()
	err := c.Call(t.Context(), addr, 20*time.Second, http.MethodGet, "/", nil, nil, nil)
	g.Expect(trace.IsConnectionProblem(err)).To(BeTrue(), "%v", err)
	g.Expect(time.Since(start)).To(BeNumerically("<", 10*time.Second), "ended by the limit, not by the time-out")

	h := http.Client{Transport: &rest.LimitedTransport{Transport: &http.Transport{}, MaxBody: 1 << 20}}
	resp, err := h.Get(s.URL)
	g.Expect(err).NotTo(HaveOccurred())
	data, err := io.ReadAll(resp.Body)
	g.Expect(trace.IsLimitExceeded(err)).To(BeTrue(), "%v", err)
	g.Expect(len(data)).To(BeNumerically("<=", 1<<20))
	_ = resp.Body.Close()
}
