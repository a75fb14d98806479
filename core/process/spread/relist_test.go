package spread

import (
	"testing"
	"time"
)

// Guards against full lists of a large configuration that use more than the
// bandwidth that a node may use for control traffic.
func TestLargeListsAreReadLessOften(t *testing.T) {
	n := &Node{MinRelistInterval: time.Minute}
	for size, want := range map[int64]time.Duration{
		0:         time.Minute,
		300_000:   time.Minute,
		3_300_000: 11 * time.Minute,
	} {
		n.lastListBytes.Store(size)
		if got := n.relistInterval(); got != want {
			t.Errorf("list of %d bytes: next list after %s, want %s", size, got, want)
		}
	}
}
