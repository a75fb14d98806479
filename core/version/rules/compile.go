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

// The values of declared fields that are zero.
const (
	DefaultTimeout    = 30 * time.Second
	DefaultQueue      = 256
	DefaultRetryRatio = 0.1
	DefaultCold       = 1
	DefaultStep       = 8
	DefaultWeight     = 1
)

// Compiler compiles successive states of the configuration. It keeps the
// decoded declarations, so that a change costs the decoding of what changed.
// Its zero value is ready; it is not safe for concurrent use.
type Compiler struct {
	decoded map[core.Key]decoded
}

type decoded struct {
	object core.Object
	d      decl.Declaration
	set    labels.Set
	err    error
}

// Compile returns the effective configuration of the objects, and an error for
// each object that was left out and for each credential of a second team.
func Compile(objects []core.Object) (*core.Table, []error) {
	return new(Compiler).Compile(objects)
}

// Compile is like the function Compile.
func (c *Compiler) Compile(objects []core.Object) (*core.Table, []error) {
	b := builder{limits: map[*core.UpstreamState]int{}, table: &core.Table{
		Services:  map[string]*core.ServiceState{},
		Upstreams: map[string]*core.UpstreamState{},
		Zones:     map[string]*core.ZoneState{},
		Teams:     map[string]*core.TeamState{},
		Keys:      map[[32]byte]*core.TeamState{},
	}}
	next := make(map[core.Key]decoded, len(objects))
	for _, o := range newest(objects) {
		b.table.Version = max(b.table.Version, o.Version)
		if o.Deleted {
			continue
		}
		e, ok := c.decoded[o.Key]
		if !ok || e.object.Version != o.Version || !bytes.Equal(e.object.Value, o.Value) {
			e = decoded{object: o}
			if e.d, e.err = decl.Unmarshal(o.Key, o.Value); e.err == nil {
				e.set = decl.LabelSet(e.d)
			}
		}
		next[o.Key] = e
		if e.err != nil {
			b.errs = append(b.errs, e.err)
			continue
		}
		b.add(e.d, e.set)
	}
	c.decoded = next
	b.link()
	b.apply()
	b.finish()
	return b.table, b.errs
}

// newest returns the newest object of each declaration, in the order of
// core.DeclarationKinds and of names.
func newest(objects []core.Object) []core.Object {
	last := make(map[core.Key]core.Object, len(objects))
	for _, o := range objects {
		if !slices.Contains(core.DeclarationKinds, o.Kind) {
			continue
		}
		if p, ok := last[o.Key]; !ok || compareObjects(p, o) < 0 {
			last[o.Key] = o
		}
	}
	sorted := make([]core.Object, 0, len(last))
	for _, o := range last {
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

// compareObjects orders the versions of one object. The store gives no version
// twice; if two objects claim one nevertheless, the outcome is at least the
// same on every node.
func compareObjects(a, b core.Object) int {
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

// rule is a rule with its parsed selectors.
type rule struct {
	core.Rule
	selector labels.Selector
	to       labels.Selector
}

// labelled is a state with the labels that selectors match.
type labelled[T any] struct {
	state T
	set   labels.Set
}

// builder holds one compilation. Its states are in the order of their names.
type builder struct {
	table     *core.Table
	errs      []error
	rules     []rule
	zones     []labelled[*core.ZoneState]
	services  []labelled[*core.ServiceState]
	upstreams []labelled[*core.UpstreamState]
	teams     []labelled[*core.TeamState]
	// limits has the limit rule in force for each upstream with one.
	limits map[*core.UpstreamState]int
}

func (b *builder) add(d decl.Declaration, set labels.Set) {
	switch d := d.(type) {
	case decl.Zone:
		z := &core.ZoneState{Zone: d.Zone}
		b.table.Zones[d.Name] = z
		b.zones = append(b.zones, labelled[*core.ZoneState]{z, set})
	case decl.Service:
		s := &core.ServiceState{Service: d.Service}
		s.Timeout = cmp.Or(s.Timeout, DefaultTimeout)
		s.MaxQueued = cmp.Or(s.MaxQueued, DefaultQueue)
		s.RetryRatio = cmp.Or(s.RetryRatio, DefaultRetryRatio)
		b.table.Services[d.Name] = s
		b.services = append(b.services, labelled[*core.ServiceState]{s, set})
	case decl.Upstream:
		u := &core.UpstreamState{Upstream: d.Upstream, Share: 1}
		u.ColdLimit = cmp.Or(u.ColdLimit, min(DefaultCold, u.Limit))
		u.LimitStep = cmp.Or(u.LimitStep, DefaultStep)
		b.upstreams = append(b.upstreams, labelled[*core.UpstreamState]{u, set})
	case decl.Team:
		t := &core.TeamState{Team: d.Team}
		t.Weight = cmp.Or(t.Weight, DefaultWeight)
		b.table.Teams[d.Name] = t
		b.teams = append(b.teams, labelled[*core.TeamState]{t, set})
	case decl.Rule:
		r := rule{Rule: d.Rule}
		var err error
		if r.selector, err = labels.Parse(d.Selector); err == nil && d.To != "" {
			r.to, err = labels.Parse(d.To)
		}
		if err != nil {
			b.errs = append(b.errs, trace.BadParameter("rule %q: %s", d.Name, err))
			return
		}
		b.rules = append(b.rules, r)
	}
}

// link adds the upstreams to the table and to their services. An upstream of an
// undeclared zone is left out, because no rule could take that zone out.
func (b *builder) link() {
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

// apply puts the rules in force, the first one last, so that it overwrites the
// others of its action.
func (b *builder) apply() {
	slices.SortFunc(b.rules, func(x, y rule) int { return Compare(x.Rule, y.Rule) })
	for _, r := range slices.Backward(b.rules) {
		switch r.Kind {
		case core.KindZone, core.KindUpstream:
			b.applyUpstreams(r)
		case core.KindService:
			for _, s := range b.services {
				if r.selector.Matches(s.set) {
					s.state.RoutedUpstreams = b.routed(r, s.state.Name)
				}
			}
		case core.KindTeam:
			b.applyTeams(r)
		}
	}
}

func (b *builder) applyUpstreams(r rule) {
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

func (b *builder) applyTeams(r rule) {
	var routed map[string]bool
	for _, l := range b.teams {
		t := l.state
		if !r.selector.Matches(l.set) {
			continue
		}
		switch r.Action {
		case core.ActionRoute:
			if routed == nil {
				routed = b.routed(r, "")
			}
			t.RoutedUpstreams = routed
		case core.ActionLimit:
			t.Rate = r.Limit
		case core.ActionPriority:
			t.Priority = r.Priority
		}
	}
}

// routed returns the upstreams to which a route rule restricts its objects.
// Where the rule's second selector has requirements on the label service, it
// restricts only the services that meet them, so that a team can be routed in
// one service and left alone in the others.
func (b *builder) routed(r rule, service string) map[string]bool {
	all, _ := r.to.Requirements()
	routed := map[string]bool{}
	for _, u := range b.upstreams {
		if service != "" && u.state.Service != service {
			continue
		}
		concerned := true
		for _, q := range all {
			concerned = concerned && (q.Key() != "service" || q.Matches(u.set))
		}
		if !concerned || r.to.Matches(u.set) {
			routed[u.state.Name] = true
		}
	}
	return routed
}

// finish sets what depends on the outcome of several rules.
func (b *builder) finish() {
	// The declared limit is what the upstream can bear; a rule only lowers it.
	for u, limit := range b.limits {
		u.Limit = min(u.Limit, limit)
		u.ColdLimit = min(u.ColdLimit, u.Limit)
	}
	// A credential of two teams belongs to the one with the smaller name, on
	// every node and whatever was declared first.
	for _, l := range b.teams {
		t := l.state
		if t.Burst == 0 {
			t.Burst = max(1, int(math.Ceil(t.Rate)))
		}
		for _, k := range t.Keys {
			var sum [32]byte
			if _, err := hex.Decode(sum[:], []byte(k)); err != nil {
				b.errs = append(b.errs, trace.BadParameter("team %q: key %q: %s", t.Name, k, err))
				continue
			}
			if owner, ok := b.table.Keys[sum]; ok {
				b.errs = append(b.errs, trace.AlreadyExists("team %q: key %q belongs to team %q", t.Name, k, owner.Name))
				continue
			}
			b.table.Keys[sum] = t
		}
	}
}
