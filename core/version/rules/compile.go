package rules

import (
	"bytes"
	"cmp"
	"encoding/hex"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/apimachinery/pkg/labels"

	"parsleyroute.example/core"
	"parsleyroute.example/core/version/decl"
)

// Defaults of declared fields that are zero or not set.
const (
	DefaultTimeout    = 30 * time.Second
	DefaultMaxQueued  = 256
	DefaultRetryRatio = 0.1
	DefaultColdLimit  = 1
	DefaultLimitStep  = 8
	DefaultWeight     = 1
)

// Compiler compiles successive states of the configuration. It caches the
// decoded declarations, so that only changed objects are decoded again. Its
// zero value is ready to use. It is not safe for concurrent use.
type Compiler struct {
	cache map[core.Key]decodedObject
}

// decodedObject is an object with its declaration and labels, or with the error
// of decoding it.
type decodedObject struct {
	object      core.Object
	declaration decl.Declaration
	set         labels.Set
	err         error
}

// Compile returns the effective configuration of the objects, and an error for
// each object that was left out and for each credential that was ignored, for
// example because it belongs to another team.
func Compile(objects []core.Object) (*core.Table, []error) {
	return new(Compiler).Compile(objects)
}

// Compile is like the function Compile, but decodes only the objects that have
// changed since the previous call.
func (c *Compiler) Compile(objects []core.Object) (*core.Table, []error) {
	b := builder{limits: map[*core.UpstreamState]int{}, table: &core.Table{
		Services:  map[string]*core.ServiceState{},
		Upstreams: map[string]*core.UpstreamState{},
		Zones:     map[string]*core.ZoneState{},
		Teams:     map[string]*core.TeamState{},
		Keys:      map[[32]byte]*core.TeamState{},
	}}
	cache := make(map[core.Key]decodedObject, len(objects))
	for _, o := range newestObjects(objects) {
		b.table.Version = max(b.table.Version, o.Version)
		if o.Deleted {
			continue
		}
		entry, ok := c.cache[o.Key]
		if !ok || entry.object.Version != o.Version || !bytes.Equal(entry.object.Value, o.Value) {
			entry = decodedObject{object: o}
			if entry.declaration, entry.err = decl.Unmarshal(o.Key, o.Value); entry.err == nil {
				entry.set = decl.LabelSet(entry.declaration)
			}
		}
		cache[o.Key] = entry
		if entry.err != nil {
			b.errs = append(b.errs, entry.err)
			continue
		}
		b.addDeclaration(entry.declaration, entry.set)
	}
	c.cache = cache
	b.linkUpstreams()
	b.applyRules()
	b.finalize()
	return b.table, b.errs
}

// newestObjects returns the newest object of each declaration, in the order of
// core.DeclarationKinds and of names.
func newestObjects(objects []core.Object) []core.Object {
	latest := make(map[core.Key]core.Object, len(objects))
	for _, o := range objects {
		if !slices.Contains(core.DeclarationKinds, o.Kind) {
			continue
		}
		if previous, ok := latest[o.Key]; !ok || compareVersions(previous, o) < 0 {
			latest[o.Key] = o
		}
	}
	sorted := make([]core.Object, 0, len(latest))
	for _, o := range latest {
		sorted = append(sorted, o)
	}
	slices.SortFunc(sorted, func(a, b core.Object) int {
		return cmp.Or(
			cmp.Compare(slices.Index(core.DeclarationKinds, a.Kind), slices.Index(core.DeclarationKinds, b.Kind)),
			strings.Compare(a.Name, b.Name),
		)
	})
	return sorted
}

// compareVersions orders the versions of one object. The store never assigns a
// version twice. If two objects have the same version nevertheless, comparing
// their contents makes every node choose the same one.
func compareVersions(a, b core.Object) int {
	deleted := func(o core.Object) int {
		if o.Deleted {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(deleted(a), deleted(b)),
		bytes.Compare(a.Value, b.Value),
	)
}

// parsedRule is a rule with its parsed selectors. toSelector is nil unless the
// action is core.ActionRoute.
type parsedRule struct {
	core.Rule
	selector   labels.Selector
	toSelector labels.Selector
}

// labeledState is a state with the labels that selectors match against.
type labeledState[T any] struct {
	state T
	set   labels.Set
}

// builder holds the state of one compilation. Its slices of states are sorted by
// name.
type builder struct {
	table     *core.Table
	errs      []error
	rules     []parsedRule
	zones     []labeledState[*core.ZoneState]
	services  []labeledState[*core.ServiceState]
	upstreams []labeledState[*core.UpstreamState]
	teams     []labeledState[*core.TeamState]
	// limits holds the limit that a rule sets, for upstreams with such a rule.
	limits map[*core.UpstreamState]int
}

// addDeclaration adds the state of a declaration with the labels set. Fields that
// are zero get their defaults.
func (b *builder) addDeclaration(d decl.Declaration, set labels.Set) {
	switch d := d.(type) {
	case decl.Zone:
		z := &core.ZoneState{Zone: d.Zone}
		b.table.Zones[d.Name] = z
		b.zones = append(b.zones, labeledState[*core.ZoneState]{z, set})
	case decl.Service:
		s := &core.ServiceState{Service: d.Service}
		s.Timeout = cmp.Or(s.Timeout, DefaultTimeout)
		s.MaxQueued = cmp.Or(s.MaxQueued, DefaultMaxQueued)
		s.RetryRatio = cmp.Or(s.RetryRatio, DefaultRetryRatio)
		b.table.Services[d.Name] = s
		b.services = append(b.services, labeledState[*core.ServiceState]{s, set})
	case decl.Upstream:
		u := &core.UpstreamState{Upstream: d.Upstream, Share: 1}
		u.ColdLimit = cmp.Or(u.ColdLimit, min(DefaultColdLimit, u.Limit))
		u.LimitStep = cmp.Or(u.LimitStep, DefaultLimitStep)
		b.upstreams = append(b.upstreams, labeledState[*core.UpstreamState]{u, set})
	case decl.Team:
		t := &core.TeamState{Team: d.Team}
		t.Weight = cmp.Or(t.Weight, DefaultWeight)
		b.table.Teams[d.Name] = t
		b.teams = append(b.teams, labeledState[*core.TeamState]{t, set})
	case decl.Rule:
		r := parsedRule{Rule: d.Rule}
		var err error
		if r.selector, err = labels.Parse(d.Selector); err == nil && d.To != "" {
			r.toSelector, err = labels.Parse(d.To)
		}
		if err != nil {
			b.errs = append(b.errs, trace.BadParameter("rule %q: %s", d.Name, err))
			return
		}
		b.rules = append(b.rules, r)
	}
}

// linkUpstreams adds the upstreams to the table and to their services.
// Upstreams of undeclared services or zones are left out; no rule could take an
// undeclared zone out of service.
func (b *builder) linkUpstreams() {
	linked := b.upstreams[:0]
	for _, l := range b.upstreams {
		u := l.state
		s, ok := b.table.Services[u.Service]
		if !ok {
			b.errs = append(b.errs, trace.NotFound("upstream %q: service %q is not declared", u.Name, u.Service))
			continue
		}
		if _, ok := b.table.Zones[u.Zone]; !ok {
			b.errs = append(b.errs, trace.NotFound("upstream %q: zone %q is not declared", u.Name, u.Zone))
			continue
		}
		b.table.Upstreams[u.Name] = u
		s.Upstreams = append(s.Upstreams, u)
		linked = append(linked, l)
	}
	b.upstreams = linked
}

// applyRules applies the rules in reverse order of precedence, so that a rule
// overwrites those with the same action and lower precedence.
func (b *builder) applyRules() {
	slices.SortFunc(b.rules, func(x, y parsedRule) int { return Compare(x.Rule, y.Rule) })
	for _, r := range slices.Backward(b.rules) {
		switch r.Kind {
		case core.KindZone, core.KindUpstream:
			b.applyToUpstreams(r)
		case core.KindService:
			for _, s := range b.services {
				if r.selector.Matches(s.set) {
					s.state.RoutedUpstreams = b.routedUpstreams(r, s.state.Name)
				}
			}
		case core.KindTeam:
			b.applyToTeams(r)
		}
	}
}

// applyToUpstreams applies a rule for zones or upstreams to the matching upstreams
// and, if its action is core.ActionOut, to the matching zones.
func (b *builder) applyToUpstreams(r parsedRule) {
	zones := map[string]bool{}
	for _, z := range b.zones {
		if r.Kind == core.KindZone && r.selector.Matches(z.set) {
			zones[z.state.Name] = true
			if r.Action == core.ActionOut {
				z.state.Out, z.state.OutRule = true, r.Name
			}
		}
	}
	for _, l := range b.upstreams {
		u := l.state
		if !zones[u.Zone] && (r.Kind != core.KindUpstream || !r.selector.Matches(l.set)) {
			continue
		}
		switch r.Action {
		case core.ActionOut:
			u.Out, u.OutRule = true, r.Name
		case core.ActionAdmit:
			u.Share = r.Share
		case core.ActionLimit:
			b.limits[u] = int(r.Limit)
		}
	}
}

// applyToTeams applies a rule for teams to the matching teams.
func (b *builder) applyToTeams(r parsedRule) {
	var routed map[string]bool
	for _, l := range b.teams {
		t := l.state
		if !r.selector.Matches(l.set) {
			continue
		}
		switch r.Action {
		case core.ActionRoute:
			if routed == nil {
				routed = b.routedUpstreams(r, "")
			}
			t.RoutedUpstreams = routed
		case core.ActionLimit:
			t.Rate = r.Limit
		case core.ActionPriority:
			t.Priority = r.Priority
		}
	}
}

// routedUpstreams returns the upstreams that the objects matched by a route rule
// may use; if service is not empty, only those of that service. If the rule's
// second selector has requirements on the label service, the rule restricts only
// the services that meet them, so that a team can be routed in one service and
// stay unrestricted in the others.
func (b *builder) routedUpstreams(r parsedRule, service string) map[string]bool {
	requirements, _ := r.toSelector.Requirements()
	routed := map[string]bool{}
	for _, u := range b.upstreams {
		if service != "" && u.state.Service != service {
			continue
		}
		restricted := true
		for _, requirement := range requirements {
			restricted = restricted && (requirement.Key() != "service" || requirement.Matches(u.set))
		}
		if !restricted || r.toSelector.Matches(u.set) {
			routed[u.state.Name] = true
		}
	}
	return routed
}

// finalize sets the properties that depend on the results of several rules.
func (b *builder) finalize() {
	// The declared limit is the most that the upstream can handle, so a rule can
	// only lower it.
	for u, limit := range b.limits {
		u.Limit = min(u.Limit, limit)
		u.ColdLimit = min(u.ColdLimit, u.Limit)
	}
	// A credential that two teams declare belongs to the team whose name sorts
	// first, so that all nodes agree whichever declaration came first.
	for _, l := range b.teams {
		t := l.state
		if t.Burst == 0 {
			t.Burst = max(1, int(math.Ceil(t.Rate)))
		}
		for _, k := range t.Keys {
			var hash [32]byte
			if _, err := hex.Decode(hash[:], []byte(k)); err != nil {
				b.errs = append(b.errs, trace.BadParameter("team %q: key %q: %s", t.Name, k, err))
				continue
			}
			if owner, ok := b.table.Keys[hash]; ok {
				b.errs = append(b.errs, trace.AlreadyExists("team %q: key %q belongs to team %q", t.Name, k, owner.Name))
				continue
			}
			b.table.Keys[hash] = t
		}
	}
}
