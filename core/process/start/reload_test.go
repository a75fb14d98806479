package start

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/gravitational/trace"
	. "github.com/onsi/gomega"

	"parsleyroute.example/core/process/evlog"
)

type testSettings struct {
	Instance string `toml:"instance"`
	Seeds    []string
}

func (s *testSettings) Check() error {
	if s.Instance == "" {
		return trace.BadParameter("instance is missing")
	}
	return nil
}

// TestReload guards against a SIGHUP that ends the process, which is its default
// action and has happened, against invalid settings that take effect, and against a
// changed file that is not reloaded.
func TestReload(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "node.toml")
	write := func(text string) {
		g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	}
	write("instance = \"a\"\n")
	settings := make(chan testSettings, 10)
	p := &SmallProgram[testSettings, *testSettings]{
		Name:     "test",
		Identity: func(s testSettings) (string, int) { return s.Instance, 64 },
		Run: func(ctx context.Context, s testSettings, reloads <-chan testSettings, _ *evlog.Logger) error {
			settings <- s
			for {
				select {
				case <-ctx.Done():
					return nil
				case s := <-reloads:
					settings <- s
				}
			}
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- p.run(ctx, path, testSettings{Instance: "a"}) }()
	g.Eventually(settings, "2s").Should(Receive(Equal(testSettings{Instance: "a"})))
	hup := func() { g.Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed()) }

	hup()
	g.Consistently(settings, "200ms").ShouldNot(Receive(), "the file has not changed")
	write("instance = \"a\"\nSeeds = [\"10.0.0.1:80\"]\n")
	hup()
	g.Eventually(settings, "2s").Should(Receive(Equal(testSettings{Instance: "a", Seeds: []string{"10.0.0.1:80"}})))
	write("instance = \"\"\n")
	hup()
	g.Consistently(settings, "200ms").ShouldNot(Receive(), "the settings fail their check")
	write("instance = \"b\"\n")
	g.Eventually(settings, reloadInterval+3*time.Second).Should(Receive(Equal(testSettings{Instance: "b"})), "a change without a signal")
	cancel()
	g.Eventually(done, "2s").Should(Receive(BeNil()))
}
