package policy

import (
	"fmt"
	"io"
	"slices"

	"github.com/gravitational/trace"
	"github.com/samber/lo"

	"parsleyroute.example/core/request/picker"
)

// Spread describes how evenly subsets cover the upstreams of one zone.
type Spread struct {
	// MinShare and MaxShare are the smallest and largest share of the zone's
	// requests that an upstream gets if each entry distributes its requests
	// evenly, divided by the mean share.
	MinShare, MaxShare float64
	// OwnZoneUpstreams is the mean number of upstreams in its own zone that an
	// entry uses, and ChangedShare the fraction of them that is new after
	// another entry has left.
	OwnZoneUpstreams, ChangedShare float64
}

// MeasureSpread selects subsets of the default size for the entries of one zone.
// If withPeers is set, each entry takes the choices of the others into account;
// otherwise it chooses by rendezvous hashing alone.
func MeasureSpread(entries, upstreams int, withPeers bool) Spread {
	s := Scenario{Entries: entries, Upstreams: upstreams, Zones: 1}
	ups := s.upstreams()
	// The upstreams of a second zone fill the part of each subset that is
	// reserved for other zones.
	for _, u := range s.upstreams() {
		u.Name, u.Zone = "far-"+u.Name, "far"
		ups = append(ups, u)
	}
	names := lo.Times(entries, func(i int) string { return fmt.Sprint("entry-", i) })
	assign := func(names []string) map[string][]string {
		subsets := map[string][]string{}
		for _, n := range names {
			var peers []string
			if withPeers {
				peers = names
			}
			for _, u := range picker.Subset("service", n, zone(0), ups, 0, peers...) {
				if u.Zone == zone(0) {
					subsets[n] = append(subsets[n], u.Name)
				}
			}
		}
		return subsets
	}
	before := assign(names)
	share := map[string]float64{}
	used := 0
	for _, chosen := range before {
		used += len(chosen)
		for _, u := range chosen {
			share[u] += 1 / float64(len(chosen))
		}
	}
	shares := lo.Times(upstreams, func(i int) float64 {
		return share[ups[i].Name] * float64(upstreams) / float64(entries)
	})
	changed, compared := 0, 0
	for i := range names {
		for n, chosen := range assign(slices.Delete(slices.Clone(names), i, i+1)) {
			compared += len(chosen)
			changed += len(lo.Without(chosen, before[n]...))
		}
	}
	return Spread{slices.Min(shares), slices.Max(shares), float64(used) / float64(entries), float64(changed) / float64(max(compared, 1))}
}

// SpreadTable writes the spread with and without known peers as a Markdown table.
// In the column rule, "turns" means with known peers and "hash only" without.
func SpreadTable(w io.Writer) error {
	_, err := fmt.Fprint(w, "| entries of the zone | upstreams of the zone | rule | used | min share | max share | changed |\n|---:|---:|---|---:|---:|---:|---:|\n")
	for _, e := range []int{2, 6, 12, 24, 64} {
		for _, n := range []int{12, 33, 60, 100} {
			for _, withPeers := range []bool{false, true} {
				s := MeasureSpread(e, n, withPeers)
				if err == nil {
					_, err = fmt.Fprintf(w, "| %d | %d | %s | %.0f | %.2f | %.2f | %.0f%% |\n", e, n,
						lo.Ternary(withPeers, "turns", "hash only"), s.OwnZoneUpstreams, s.MinShare, s.MaxShare, 100*s.ChangedShare)
				}
			}
		}
	}
	return trace.Wrap(err)
}
