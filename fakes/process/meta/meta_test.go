package meta_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/fakes/process/meta"
)

// Guards against a stand-in that keeps what the store loses when it comes back from a copy,
// or does not give out the same revisions again.
func TestRestore(t *testing.T) {
	g := NewWithT(t)
	s := &meta.Server{}
	g.Expect(s.Start()).To(Succeed())
	defer s.Close()
	get := func(path string) (int, string) {
		resp, err := http.Get("http://" + s.Addr().String() + "/-/objects/" + path)
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		want := ""
		if era := s.Era(); era > 0 {
			want = fmt.Sprint(era)
		}
		g.Expect(resp.Header.Get("Store-Era")).To(Equal(want), "also with status %d", resp.StatusCode)
		return resp.StatusCode, string(body)
	}
	kept := s.Put("servers", "kept", 1)
	s.Copy()
	lost := s.Put("servers", "lost", 1)
	s.Remove("servers", "kept")
	cut := make(chan error, 1)
	go func() {
		resp, err := http.Get(fmt.Sprintf("http://%s/-/objects/servers?watch=%d&wait_ms=5000", s.Addr(), lost+1))
		if err == nil {
			_ = resp.Body.Close()
		}
		cut <- err
	}()
	time.Sleep(50 * time.Millisecond)
	s.Restore()
	g.Eventually(cut, "2s").Should(Receive(HaveOccurred()), "a watch that waits is cut off")
	status, _ := get("servers/lost")
	g.Expect(status).To(Equal(http.StatusNotFound))
	status, body := get("servers/kept")
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(body).To(ContainSubstring(fmt.Sprintf(`"revision":%d`, kept)))
	status, _ = get(fmt.Sprintf("servers?watch=%d&wait_ms=10", lost))
	g.Expect(status).To(Equal(http.StatusGone), "a watch from a revision that the store does not have")
	g.Expect(s.Put("servers", "other", 1)).To(Equal(lost))
	s.Restore()
	g.Expect(s.Era()).To(BeEquivalentTo(2))
	status, _ = get("servers/other")
	g.Expect(status).To(Equal(http.StatusNotFound))
}
