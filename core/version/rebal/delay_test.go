package rebal

import (
	"testing"
	"time"
)

// Guards against placements of large groups that take more CPU time than a
// node may use for the control plane, and against rounds that are too rare to
// react to a shift of the load.
func TestSlowPlacementsDelayTheNextRound(t *testing.T) {
	for placing, want := range map[time.Duration]time.Duration{
		0:                      time.Second,
		10 * time.Millisecond:  time.Second,
		50 * time.Millisecond:  3300 * time.Millisecond,
		840 * time.Millisecond: 10 * time.Second,
	} {
		if got := (&Controller{placementTime: placing}).nextRoundDelay(); got != want {
			t.Errorf("placement of %s: next round after %s, want %s", placing, got, want)
		}
	}
}
