package rules

import (
	"slices"

	"github.com/gravitational/trace"
	"k8s.io/apimachinery/pkg/labels"

	"parsleyroute.example/core"
	"parsleyroute.example/core/version/decl"
)

// Match returns the names of the objects of a kind that the selector matches,
// in alphabetical order. A rule with this kind and selector applies to exactly
// these objects, so rules themselves cannot be matched.
func Match(t *core.Table, kind core.Kind, selector string) ([]string, error) {
	s, err := labels.Parse(selector)
	if err != nil {
		return nil, trace.BadParameter("%q is not a label selector: %s", selector, err)
	}
	var names []string
	match := func(d decl.Declaration) {
		if s.Matches(decl.LabelSet(d)) {
			names = append(names, d.Key().Name)
		}
	}
	switch kind {
	case core.KindZone:
		for _, z := range t.Zones {
			match(decl.Zone{Zone: z.Zone})
		}
	case core.KindService:
		for _, s := range t.Services {
			match(decl.Service{Service: s.Service})
		}
	case core.KindUpstream:
		for _, u := range t.Upstreams {
			match(decl.Upstream{Upstream: u.Upstream})
		}
	case core.KindTeam:
		for _, t := range t.Teams {
			match(decl.Team{Team: t.Team})
		}
	default:
		return nil, trace.BadParameter("kind %q has no selectable objects", kind)
	}
	slices.Sort(names)
	return names, nil
}
