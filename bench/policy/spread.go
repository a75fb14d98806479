package policy

import (
	"fmt"
	"io"
	"slices"

	"github.com/gravitational/trace"
	"github.com/samber/lo"

	"parsleyroute.example/core/request/picker"
)

// Spread is how evenly subsets cover the upstreams of one zone.
type Spread struct {
	// Least and Most are the shares of the zone's requests that an upstream
	// gets if each entry spreads its own evenly, divided by the mean share.
	Least, Most float64
	// Kept is the mean number of upstreams of an entry's own zone that it uses,
	// and Moved the share of them that change when one other entry leaves.
	Kept, Moved float64
}

// MeasureSpread covers one zone's upstreams with subsets of the default size.
// turns tells whether the entries know each other.
func MeasureSpread(entries, upstreams int, turns bool) Spread {
	s := Scenario{Entries: entries, Upstreams: upstreams, Zones: 1}
	ups := s.upstreams()
	// A second zone takes the part of the subset that is left to others.
	for _, u := range s.upstreams() {
		u.Name, u.Zone = "far-"+u.Name, "far"
		ups = append(ups, u)
	}
	names := lo.Times(entries, func(i int) string { return fmt.Sprint("entry-", i) })
	assign := func(names []string) map[string][]string {
		all := map[string][]string{}
		for _, n := range names {
			var peers []string
			if turns {
				peers = names
			}
			for _, u := range picker.Subset("service", n, zone(0), ups, 0, peers...) {
				if u.Zone == zone(0) {
					all[n] = append(all[n], u.Name)
				}
			}
		}
		return all
	}
	full := assign(names)
	share := map[string]float64{}
	kept := 0
	for _, chosen := range full {
		kept += len(chosen)
		for _, u := range chosen {
			share[u] += 1 / float64(len(chosen))
		}
	}
	shares := lo.Times(upstreams, func(i int) float64 {
		return share[ups[i].Name] * float64(upstreams) / float64(entries)
	})
	moved, of := 0, 0
	for i := range names {
		for n, chosen := range assign(slices.Delete(slices.Clone(names), i, i+1)) {
			of += len(chosen)
			moved += len(lo.Without(chosen, full[n]...))
		}
	}
	return Spread{slices.Min(shares), slices.Max(shares), float64(kept) / float64(entries), float64(moved) / float64(max(of, 1))}
}

// SpreadTable writes the spread with and without turns as Markdown.
func SpreadTable(w io.Writer) error {
	_, err := fmt.Fprint(w, "| entries of the zone | upstreams of the zone | rule | used | least | most | changed |\n|---:|---:|---|---:|---:|---:|---:|\n")
	for _, e := range []int{2, 6, 12, 24, 64} {
		for _, n := range []int{12, 33, 60, 100} {
			for _, turns := range []bool{false, true} {
				s := MeasureSpread(e, n, turns)
				if err == nil {
					_, err = fmt.Fprintf(w, "| %d | %d | %s | %.0f | %.2f | %.2f | %.0f%% |\n", e, n,
						lo.Ternary(turns, "turns", "hash only"), s.Kept, s.Least, s.Most, 100*s.Moved)
				}
			}
		}
	}
	return trace.Wrap(err)
}
