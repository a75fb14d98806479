package evlog_test

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/core/process/evlog"
)

// TestStoppedReader guards against a process that blocks because nobody reads its
// log.
func TestStoppedReader(t *testing.T) {
	g := NewWithT(t)
	r, w := io.Pipe()
	logger := evlog.New(w, "gate", "g1")
	start := time.Now()
	for range 20000 {
		logger.Log("sent", "request", "a")
	}
	g.Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
	closeStart := time.Now()
	logger.Close(100 * time.Millisecond)
	g.Expect(time.Since(closeStart)).To(BeNumerically("<", time.Second))
	_ = r.Close()
}

// TestVolume guards against a log whose volume grows with the load, and against
// lines that are dropped without being counted.
func TestVolume(t *testing.T) {
	g := NewWithT(t)
	var b bytes.Buffer
	logger := evlog.New(&b, "gate", "g1")
	for range 5000 {
		logger.Log("sent", "request", "a", "took", 1500*time.Microsecond)
	}
	logger.Log("refused", "reason", "queue_full")
	logger.Close(2 * time.Second)
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	g.Expect(len(lines)).To(BeNumerically("<", 400))
	written, dropped := 0, 0.0
	for _, l := range lines {
		var m map[string]any
		g.Expect(json.Unmarshal([]byte(l), &m)).To(Succeed())
		switch m["event"] {
		case "sent":
			written++
			g.Expect(m["took"]).To(Equal(1.5))
		case "log_dropped":
			dropped += m["lines"].(float64)
		}
	}
	g.Expect(float64(written) + dropped).To(Equal(5000.0))
	g.Expect(b.String()).To(ContainSubstring("queue_full"), "an event below its rate limit is not dropped")
}
