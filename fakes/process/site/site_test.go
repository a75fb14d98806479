package site_test

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/fakes/process/site"
)

func get(g *WithT, method, url string) (int, string) {
	r, err := http.NewRequest(method, url, nil)
	g.Expect(err).NotTo(HaveOccurred())
	r.Header.Set("X-Parsleyroute-Attempt-Id", "a1")
	res, err := http.DefaultClient.Do(r)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return res.StatusCode, string(data)
}

// TestSite guards against workers that are not listed in the store, do not
// respond, or interrupt their streams.
func TestSite(t *testing.T) {
	g := NewWithT(t)
	s := &site.Site{WorkersPerPool: 1, RequestDuration: time.Millisecond, EventGap: time.Millisecond, EventsPerStream: 5}
	g.Expect(s.Start()).To(Succeed())
	t.Cleanup(func() { _ = s.Close() })
	dir := t.TempDir()
	g.Expect(s.WriteGateSettings(dir, 2, 18300)).To(Succeed())
	for _, name := range []string{"gate-0.toml", "gate-1.toml"} {
		data, err := os.ReadFile(filepath.Join(dir, name))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(data)).To(ContainSubstring(s.Addr().String()))
	}
	type list struct {
		Entries []struct {
			Spec struct{ Backend, Address string }
		}
	}
	listed := func() map[string]string {
		_, body := get(g, http.MethodGet, "http://"+s.Addr().String()+"/-/objects/servers")
		var l list
		g.Expect(json.Unmarshal([]byte(body), &l)).To(Succeed())
		m := map[string]string{}
		for _, e := range l.Entries {
			m[e.Spec.Backend] = e.Spec.Address
		}
		return m
	}
	g.Eventually(listed, "2s").Should(HaveLen(2))
	m := listed()
	status, body := get(g, http.MethodGet, "http://"+m["desk"]+"/lookup/")
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(body).To(Equal("done"))
	status, body = get(g, http.MethodPost, "http://"+m["model"]+"/draft/")
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(strings.Count(body, "id: ")).To(Equal(5))
}
