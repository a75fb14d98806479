package picker

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"parsleyroute.example/core"
)

// DefaultSubset is the number of upstreams of a service to which an entry
// keeps connections.
const DefaultSubset = 16

// Subset returns the upstreams of a service that the entry self uses: those of
// its own zone first, then others, each by rendezvous hashing (Thaler and
// Ravishankar, 1998). A quarter of the subset is left to other zones, so that
// spill-over finds connections, as far as both sides have that many. size 0
// selects DefaultSubset. The result is in the order of upstreams.
func Subset(service, self, zone string, upstreams []*core.UpstreamState, size int) []*core.UpstreamState {
	if size <= 0 {
		size = DefaultSubset
	}
	if len(upstreams) <= size {
		return slices.Clone(upstreams)
	}
	var local, remote []int
	for i, u := range upstreams {
		if u.Zone == zone {
			local = append(local, i)
		} else {
			remote = append(remote, i)
		}
	}
	byHash := func(a, b int) int {
		x, y := rendezvous(service, self, upstreams[a].Name), rendezvous(service, self, upstreams[b].Name)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	}
	slices.SortFunc(local, byHash)
	slices.SortFunc(remote, byHash)
	others := min(len(remote), max(size/4, size-len(local)))
	taken := append(local[:size-others:size-others], remote[:others]...)
	slices.Sort(taken)
	chosen := make([]*core.UpstreamState, len(taken))
	for i, k := range taken {
		chosen[i] = upstreams[k]
	}
	return chosen
}

func rendezvous(service, self, upstream string) uint64 {
	d := xxhash.New()
	for _, s := range []string{service, self, upstream} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
