package picker_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"parsleyroute.example/core"
	"parsleyroute.example/core/request/picker"
)

// Guards against upstreams that get no entries or many more than others of their
// zone, and against subsets with more upstreams of other zones than necessary.
func TestSubsetSpreadsEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 3).Draw(t, "zones")
		n := rapid.IntRange(12, 100).Draw(t, "upstreams")
		size := rapid.SampledFrom([]int{0, 4, 16}).Draw(t, "size")
		var ups []*core.UpstreamState
		local := 0
		for i := range n {
			u := core.Upstream{Name: fmt.Sprint("u", i), Zone: fmt.Sprint("z", i%zones)}
			out := rapid.IntRange(0, 9).Draw(t, "out") == 0
			ups = append(ups, &core.UpstreamState{Upstream: u, Out: out})
			if !out && u.Zone == "z0" {
				local++
			}
		}
		entries := make([]string, rapid.IntRange(2, 64).Draw(t, "entries"))
		for i := range entries {
			entries[i] = fmt.Sprint("e", i)
		}
		entriesByUpstream := map[string]int{}
		for _, e := range entries {
			chosen := picker.Subset("s", e, "z0", ups, size, entries...)
			remoteChosen := 0
			for _, u := range chosen {
				if u.Out {
					t.Fatalf("upstream %s chosen although it is out", u.Name)
				}
				if u.Zone != "z0" {
					remoteChosen++
					continue
				}
				entriesByUpstream[u.Name]++
			}
			maxSize := size
			if maxSize == 0 {
				maxSize = picker.DefaultSubsetSize
			}
			if remoteChosen > max(maxSize/4, maxSize-local) {
				t.Fatalf("%d upstreams of other zones chosen although %d are local", remoteChosen, local)
			}
		}
		lo, hi := len(entries), 0
		for _, u := range ups {
			if u.Zone == "z0" && !u.Out {
				lo, hi = min(lo, entriesByUpstream[u.Name]), max(hi, entriesByUpstream[u.Name])
			}
		}
		if local > 0 && (hi-lo > 1 || lo < 2) {
			t.Fatalf("upstreams of the same zone have %d to %d entries", lo, hi)
		}
	})
}
