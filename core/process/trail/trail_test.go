package trail_test

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/core/process/trail"
)

// TestStoppedReader guards against a process that stands still because nobody
// reads its log.
func TestStoppedReader(t *testing.T) {
	g := NewWithT(t)
	r, w := io.Pipe()
	tr := trail.New(w, "gate", "g1")
	began := time.Now()
	for range 20000 {
		tr.Log("sent", "request", "a")
	}
	g.Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
	closed := time.Now()
	tr.Close(100 * time.Millisecond)
	g.Expect(time.Since(closed)).To(BeNumerically("<", time.Second))
	_ = r.Close()
}

// TestVolume guards against a log that grows with the load, and against lines
// that are left out without being counted.
func TestVolume(t *testing.T) {
	g := NewWithT(t)
	var b bytes.Buffer
	tr := trail.New(&b, "gate", "g1")
	for range 5000 {
		tr.Log("sent", "request", "a", "took", 1500*time.Microsecond)
	}
	tr.Log("refused", "reason", "queue_full")
	tr.Close(2 * time.Second)
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	g.Expect(len(lines)).To(BeNumerically("<", 400))
	written, counted := 0, 0.0
	for _, l := range lines {
		var m map[string]any
		g.Expect(json.Unmarshal([]byte(l), &m)).To(Succeed())
		switch m["event"] {
		case "sent":
			written++
			g.Expect(m["took"]).To(Equal(1.5))
		case "log_dropped":
			counted += m["lines"].(float64)
		}
	}
	g.Expect(float64(written) + counted).To(Equal(5000.0))
	g.Expect(b.String()).To(ContainSubstring("queue_full"), "a kind without many events is kept")
}
