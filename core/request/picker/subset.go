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

// Subset returns the upstreams of a service that the entry self uses, leaving
// out those that are out. Those of its own zone come first; a quarter of the
// subset is left to other zones, so that spill-over finds connections, as far
// as both sides have that many. size 0 selects DefaultSubset. The result is in
// the order of upstreams.
//
// entries names the live entries of the own zone. They take turns in the order
// of their names: each takes the upstreams that the fewest before it have
// taken, and among these the first by rendezvous hashing (Thaler and
// Ravishankar, 1998). So the numbers of entries of two upstreams of a zone
// differ by at most one. The own zone's part grows beyond size where that makes
// the numbers equal or gives each upstream two entries. Without entries plain
// rendezvous hashing decides, which spreads unevenly (docs/balance.md).
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
		peers := peersOf(self, entries)
		others := min(len(remote), max(size/4, size-len(local)))
		part := min(len(local), size-others)
		if len(entries) > 0 && len(local) > 0 {
			part = evenPart(len(peers), len(local), part)
		}
		local = turns(service, self, peers, upstreams, local, part)
		remote = turns(service, self, peers, upstreams, remote, others)
	}
	taken := slices.Concat(local, remote)
	slices.Sort(taken)
	chosen := make([]*core.UpstreamState, len(taken))
	for i, k := range taken {
		chosen[i] = upstreams[k]
	}
	return chosen
}

// peersOf returns the entries, self included, in the order of their turns.
func peersOf(self string, entries []string) []string {
	peers := append(slices.Clone(entries), self)
	slices.Sort(peers)
	return slices.Compact(peers)
}

// evenPart returns the number of n upstreams that each of the entries takes, at
// least part, so that all upstreams get nearly the same number of entries, and
// at least two.
func evenPart(entries, n, part int) int {
	each := max(2, (entries*part+n-1)/n)
	return min(n, (each*n+entries-1)/entries)
}

// turns lets the peers take part of the members in turn and returns what self
// takes.
func turns(service, self string, peers []string, upstreams []*core.UpstreamState, members []int, part int) []int {
	if part >= len(members) {
		return members
	}
	type member struct {
		index, taken int
		hash         uint64
	}
	ms := make([]member, len(members))
	for i, k := range members {
		ms[i].index = k
	}
	for _, peer := range peers {
		for i := range ms {
			ms[i].hash = rendezvous(service, peer, upstreams[ms[i].index].Name)
		}
		slices.SortFunc(ms, func(a, b member) int {
			return cmp.Or(cmp.Compare(a.taken, b.taken), cmp.Compare(b.hash, a.hash), cmp.Compare(a.index, b.index))
		})
		if peer == self {
			break
		}
		for i := range part {
			ms[i].taken++
		}
	}
	mine := make([]int, part)
	for i := range mine {
		mine[i] = ms[i].index
	}
	return mine
}

func rendezvous(service, self, upstream string) uint64 {
	d := xxhash.New()
	for _, s := range []string{service, self, upstream} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
