package spread

import (
	"testing"
	"time"
)

// Guards against relists of a large configuration that take more than the
// bandwidth that a node may spend on control.
func TestLargeListsAreReadLessOften(t *testing.T) {
	n := &Node{MinRelistInterval: time.Minute}
	for size, want := range map[int64]time.Duration{
		0:         time.Minute,
		300_000:   time.Minute,
		3_300_000: 11 * time.Minute,
	} {
		n.listed.Store(size)
		if got := n.relistPeriod(); got != want {
			t.Errorf("list of %d bytes: next one after %s, want %s", size, got, want)
		}
	}
}
