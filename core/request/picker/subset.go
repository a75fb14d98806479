package picker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"parsleyroute.example/core"
)

// DefaultSubsetSize is the number of upstreams of a service to which an entry
// keeps connections.
const DefaultSubsetSize = 16

// Subset returns the upstreams of a service that the entry self uses, in the
// order of upstreams. Upstreams taken out by a rule are skipped. Three quarters
// of the subset are in the entry's own zone and a quarter in other zones, so that
// requests can spill over to existing connections; where one side has too few
// upstreams, the other one gets more. size 0 selects DefaultSubsetSize.
//
// entries lists the live entries of the own zone. They choose in the order of
// their names: each entry chooses the upstreams with the fewest entries so far,
// and among these by rendezvous hashing (Thaler and Ravishankar, 1998). The
// numbers of entries of any two upstreams of a zone therefore differ by at most
// one. The subset may exceed size where its own-zone part must grow to make
// these numbers equal or to give each upstream two entries. If entries is empty,
// the choice is by rendezvous hashing alone, which is less even
// (docs/balance.md).
func Subset(service, self, zone string, upstreams []*core.UpstreamState, size int, entries ...string) []*core.UpstreamState {
	if size <= 0 {
		size = DefaultSubsetSize
	}
	var local, remote []int
	for i, u := range upstreams {
		switch {
		case u.Out:
		case u.Zone == zone:
			local = append(local, i)
		default:
			remote = append(remote, i)
		}
	}
	if len(local)+len(remote) > size {
		entryOrder := orderEntries(self, entries)
		remoteCount := min(len(remote), max(size/4, size-len(local)))
		localCount := min(len(local), size-remoteCount)
		if len(entries) > 0 && len(local) > 0 {
			localCount = evenCount(len(entryOrder), len(local), localCount)
		}
		local = takeTurns(service, self, entryOrder, upstreams, local, localCount)
		remote = takeTurns(service, self, entryOrder, upstreams, remote, remoteCount)
	}
	indices := slices.Concat(local, remote)
	slices.Sort(indices)
	chosen := make([]*core.UpstreamState, len(indices))
	for i, k := range indices {
		chosen[i] = upstreams[k]
	}
	return chosen
}

// orderEntries returns the entries, self included, in the order in which they
// choose.
func orderEntries(self string, entries []string) []string {
	order := append(slices.Clone(entries), self)
	slices.Sort(order)
	return slices.Compact(order)
}

// evenCount returns how many of the upstreams each entry chooses so that all
// upstreams get nearly the same number of entries, and at least two. The result
// is at least atLeast.
func evenCount(entries, upstreams, atLeast int) int {
	perUpstream := max(2, (entries*atLeast+upstreams-1)/upstreams)
	return min(upstreams, (perUpstream*upstreams+entries-1)/entries)
}

// takeTurns lets each of the entries choose count of the candidates, which are
// indices of upstreams, and returns the choice of self.
func takeTurns(service, self string, entries []string, upstreams []*core.UpstreamState, candidates []int, count int) []int {
	if count >= len(candidates) {
		return candidates
	}
	type candidate struct {
		// entries is the number of entries that have chosen the candidate.
		index, entries int
		hash           uint64
	}
	cs := make([]candidate, len(candidates))
	for i, k := range candidates {
		cs[i].index = k
	}
	for _, entry := range entries {
		for i := range cs {
			cs[i].hash = rendezvous(service, entry, upstreams[cs[i].index].Name)
		}
		slices.SortFunc(cs, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(a.entries, b.entries), cmp.Compare(b.hash, a.hash), cmp.Compare(a.index, b.index))
		})
		if entry == self {
			break
		}
		for i := range count {
			cs[i].entries++
		}
	}
	selected := make([]int, count)
	for i := range selected {
		selected[i] = cs[i].index
	}
	return selected
}

// rendezvous returns the weight of the upstream for the entry in rendezvous
// hashing.
func rendezvous(service, entry, upstream string) uint64 {
	d := xxhash.New()
	for _, s := range []string{service, entry, upstream} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
