package rules_test

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"runtime"
	"testing"

	"github.com/gravitational/trace"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"parsleyroute.example/core"
	"parsleyroute.example/core/suite/seed"
	"parsleyroute.example/core/version/decl"
	"parsleyroute.example/core/version/rules"
)

func TestRules(t *testing.T) {
	seed.RunSpecs(t, "rules")
}

// objects returns the declarations as store objects with versions 1, 2, 3 and
// so on.
func objects(ds ...decl.Declaration) []core.Object {
	var list []core.Object
	for i, d := range ds {
		value, err := decl.Marshal(d)
		if err != nil {
			panic(err)
		}
		list = append(list, core.Object{Key: d.Key(), Version: uint64(i + 1), Value: value})
	}
	return list
}

func zone(name string) decl.Zone { return decl.Zone{Zone: core.Zone{Name: name}} }

func service(name string) decl.Service { return decl.Service{Service: core.Service{Name: name}} }

func upstream(name, service, zone, tier string) decl.Upstream {
	return decl.Upstream{Upstream: core.Upstream{
		Name: name, Service: service, Zone: zone, Limit: 8, Labels: core.Labels{"tier": tier},
		Agent: netip.MustParseAddrPort("127.0.0.1:7101"),
	}}
}

func team(name string, keys ...string) decl.Team {
	return decl.Team{Team: core.Team{Name: name, Keys: keys, Rate: 2.5}}
}

var zones = []string{"za", "zb", "zc"}

// drawRule draws a rule whose selector often overlaps with those of other rules.
func drawRule(t *rapid.T, name string) decl.Rule {
	r := core.Rule{Name: name, Order: rapid.IntRange(-1, 1).Draw(t, "order")}
	r.Action = rapid.SampledFrom([]core.Action{
		core.ActionOut, core.ActionAdmit, core.ActionRoute, core.ActionLimit, core.ActionPriority,
	}).Draw(t, "action")
	tier := "tier = " + rapid.SampledFrom([]string{"gold", "iron"}).Draw(t, "tier")
	switch r.Action {
	case core.ActionOut, core.ActionAdmit:
		r.Share = 0.25 * float64(rapid.IntRange(1, 4).Draw(t, "share"))
		r.Kind, r.Selector = core.KindUpstream, tier
		if rapid.Bool().Draw(t, "zone") {
			r.Kind, r.Selector = core.KindZone, "name = "+rapid.SampledFrom(zones).Draw(t, "name")
		}
		if r.Action == core.ActionOut {
			r.Share = 0
		}
	case core.ActionRoute:
		r.Kind, r.Selector, r.To = core.KindTeam, "name", tier
	case core.ActionLimit:
		r.Kind, r.Selector, r.Limit = core.KindUpstream, tier, float64(rapid.IntRange(1, 12).Draw(t, "limit"))
	case core.ActionPriority:
		r.Kind, r.Selector, r.Priority = core.KindTeam, "name", rapid.IntRange(0, 9).Draw(t, "priority")
	}
	return decl.Rule{Rule: r}
}

// drawConfiguration draws declarations with overlapping rules, and returns the
// rules also separately.
func drawConfiguration(t *rapid.T) ([]decl.Declaration, []core.Rule) {
	ds := []decl.Declaration{service("s"), team("ta"), team("tb")}
	for _, z := range zones {
		ds = append(ds, zone(z))
	}
	for i := range rapid.IntRange(0, 6).Draw(t, "upstreams") {
		ds = append(ds, upstream(fmt.Sprint("u", i), "s", rapid.SampledFrom(zones).Draw(t, "zone"),
			rapid.SampledFrom([]string{"gold", "iron"}).Draw(t, "tier")))
	}
	var rs []core.Rule
	for i := range rapid.IntRange(0, 8).Draw(t, "rules") {
		r := drawRule(t, fmt.Sprint("r", i))
		ds, rs = append(ds, r), append(rs, r.Rule)
	}
	return ds, rs
}

// Guards against nodes with different configurations because the same objects
// arrived in different orders, twice, or together with older versions.
func TestCompileIgnoresArrivalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ds, _ := drawConfiguration(t)
		list := objects(ds...)
		want, wantErrs := rules.Compile(list)
		arrived := append([]core.Object(nil), list...)
		for _, o := range list {
			if rapid.Bool().Draw(t, "older") {
				old := o
				old.Version, old.Deleted = 0, rapid.Bool().Draw(t, "deleted")
				arrived = append(arrived, old)
			}
		}
		arrived = rapid.Permutation(arrived).Draw(t, "arrived")
		var c rules.Compiler
		c.Compile(arrived[:len(arrived)/2])
		got, errs := c.Compile(arrived)
		if !reflect.DeepEqual(got, want) || len(errs) != len(wantErrs) {
			t.Fatalf("arrival order changed the result: got %+v, want %+v", got, want)
		}
	})
}

// Guards against a rule that is overridden by one of lower precedence, and
// against an upstream that stays in service although its zone is out. The
// expected rule of each action is found by a linear scan.
func TestRulePrecedence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ds, rs := drawConfiguration(t)
		table, errs := rules.Compile(objects(ds...))
		if len(errs) != 0 {
			t.Fatalf("Compile returned errors: %v", errs)
		}
		winner := func(a core.Action, applies func(core.Rule) bool) *core.Rule {
			var best *core.Rule
			for _, r := range rs {
				if r.Action == a && applies(r) && (best == nil || r.Order > best.Order ||
					r.Order == best.Order && r.Name < best.Name) {
					best = &r
				}
			}
			return best
		}
		for _, u := range table.Upstreams {
			applies := func(r core.Rule) bool {
				return r.Kind == core.KindUpstream && r.Selector == "tier = "+u.Labels["tier"] ||
					r.Kind == core.KindZone && r.Selector == "name = "+u.Zone
			}
			if table.Zones[u.Zone].Out && !u.Out {
				t.Fatalf("%s is in service although its zone %s is out", u.Name, u.Zone)
			}
			if r := winner(core.ActionOut, applies); (r != nil) != u.Out || r != nil && r.Name != u.OutRule {
				t.Fatalf("%s is out because of rule %q, want rule %v", u.Name, u.OutRule, r)
			}
			share, limit := 1.0, 8
			if r := winner(core.ActionAdmit, applies); r != nil {
				share = r.Share
			}
			if r := winner(core.ActionLimit, applies); r != nil {
				limit = min(8, int(r.Limit))
			}
			if u.Share != share || u.Limit != limit {
				t.Fatalf("%s has share %v and limit %d, want %v and %d", u.Name, u.Share, u.Limit, share, limit)
			}
		}
		for _, team := range table.Teams {
			applies := func(r core.Rule) bool { return r.Kind == core.KindTeam }
			if r := winner(core.ActionPriority, applies); r != nil && r.Priority != team.Priority {
				t.Fatalf("%s has priority %d, want that of rule %v", team.Name, team.Priority, r)
			}
			r := winner(core.ActionRoute, applies)
			for _, u := range table.Upstreams {
				if want := r == nil || r.To == "tier = "+u.Labels["tier"]; want != (team.RoutedUpstreams == nil || team.RoutedUpstreams[u.Name]) {
					t.Fatalf("%s may use %s: got %v, want %v", team.Name, u.Name, !want, want)
				}
			}
		}
	})
}

// Guards against ties and cycles in the order of rules.
func TestCompareIsTotalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rs []core.Rule
		for i := range 3 {
			rs = append(rs, drawRule(t, fmt.Sprint("r", i)).Rule)
		}
		for _, p := range [][3]int{{0, 1, 2}, {1, 2, 0}, {2, 0, 1}, {0, 2, 1}, {1, 0, 2}, {2, 1, 0}} {
			a, b, c := rs[p[0]], rs[p[1]], rs[p[2]]
			if rules.Compare(a, b) == 0 || (rules.Compare(a, b) < 0) == (rules.Compare(b, a) < 0) {
				t.Fatalf("%v and %v have no definite order", a, b)
			}
			if rules.Compare(a, b) < 0 && rules.Compare(b, c) < 0 && rules.Compare(a, c) >= 0 {
				t.Fatalf("%v, %v and %v form a cycle", a, b, c)
			}
		}
	})
}

var _ = Describe("Compile", func() {
	// Guards against one invalid object that makes the whole compilation fail.
	It("leaves out invalid objects and reports them", func() {
		list := objects(zone("za"), service("s"), upstream("u0", "s", "za", "gold"),
			upstream("u1", "gone", "za", "gold"), upstream("u2", "s", "gone", "gold"))
		list = append(list,
			core.Object{Key: core.Key{Kind: core.KindTeam, Name: "t"}, Version: 40, Value: []byte("nonsense")},
			core.Object{Key: core.Key{Kind: core.KindClaim, Name: "c"}, Version: 50, Value: []byte("claim")},
			core.Object{Key: core.Key{Kind: core.KindZone, Name: "old"}, Version: 41, Deleted: true})
		table, errs := rules.Compile(list)
		Expect(errs).To(HaveLen(3))
		Expect(table.Version).To(BeEquivalentTo(41))
		Expect(table.Zones).To(HaveLen(1))
		Expect(table.Upstreams).To(HaveLen(1))
		Expect(table.Services["s"].Upstreams).To(ConsistOf(table.Upstreams["u0"]))
	})

	// Guards against nodes that assign the same credential to different teams.
	It("assigns a credential of two teams to the team whose name sorts first", func() {
		key := fmt.Sprintf("%064x", 7)
		table, errs := rules.Compile(objects(team("tb", key), team("ta", key)))
		Expect(errs).To(HaveLen(1))
		Expect(trace.IsAlreadyExists(errs[0])).To(BeTrue())
		Expect(table.Keys).To(HaveLen(1))
		for _, owner := range table.Keys {
			Expect(owner).To(BeIdenticalTo(table.Teams["ta"]))
		}
		Expect(table.Teams["ta"].Burst).To(Equal(3))
	})

	// Guards against a route for one service that also denies a team the other
	// services.
	It("applies a route only to the services that its selector names", func() {
		table, errs := rules.Compile(objects(zone("za"), service("s"), service("desk"), team("ta"),
			upstream("u0", "s", "za", "gold"), upstream("u1", "s", "za", "iron"), upstream("d", "desk", "za", "iron"),
			decl.Rule{Rule: core.Rule{
				Name: "r", Kind: core.KindTeam, Selector: "name = ta", Action: core.ActionRoute, To: "service = s, tier = gold",
			}}))
		Expect(errs).To(BeEmpty())
		Expect(table.Teams["ta"].RoutedUpstreams).To(Equal(map[string]bool{"u0": true, "d": true}))
	})

	// Guards against a selector that matches different objects on the command
	// line and in a rule.
	It("matches declared and implied labels", func() {
		table, _ := rules.Compile(objects(zone("za"), zone("zb"), service("s"),
			upstream("u1", "s", "zb", "gold"), upstream("u0", "s", "za", "gold"), upstream("u2", "s", "za", "iron")))
		Expect(rules.Match(table, core.KindUpstream, "tier = gold, zone in (za, zb)")).To(Equal([]string{"u0", "u1"}))
		Expect(rules.Match(table, core.KindZone, "name != za")).To(Equal([]string{"zb"}))
		_, err := rules.Match(table, core.KindUpstream, "tier in (")
		Expect(trace.IsBadParameter(err)).To(BeTrue())
		_, err = rules.Match(table, core.KindRule, "name")
		Expect(trace.IsBadParameter(err)).To(BeTrue())
	})

	// Guards against example rules that differ from their comments, and against
	// an out rule for a zone of the examples that misses some of its upstreams.
	It("compiles the examples", func() {
		var ds []decl.Declaration
		for _, dir := range []string{"ndiaye", "chinook"} {
			files, err := filepath.Glob(filepath.Join("../../../examples", dir, "*.toml"))
			Expect(err).NotTo(HaveOccurred())
			for _, f := range files {
				data, err := os.ReadFile(f)
				Expect(err).NotTo(HaveOccurred())
				list, err := decl.Parse(f, data)
				Expect(err).NotTo(HaveOccurred())
				ds = append(ds, list...)
			}
		}
		ds = append(ds, decl.Rule{Rule: core.Rule{
			Name: "out", Kind: core.KindZone, Selector: "name = dakar-medina", Action: core.ActionOut,
		}})
		table, errs := rules.Compile(objects(ds...))
		Expect(errs).To(BeEmpty())
		Expect(table.Keys).To(HaveLen(20))
		for _, u := range table.Upstreams {
			Expect(u.Out).To(Equal(u.Zone == "dakar-medina"), u.Name)
		}
		Expect(table.Teams["festival"].Priority).To(Equal(9))
		Expect(table.Teams["archive"].Rate).To(Equal(1.0))
		Expect(table.Teams["archive"].RoutedUpstreams).To(And(
			HaveKey("lettering-model-yoff-0"), HaveKey("order-desk-plateau"), Not(HaveKey("lettering-model-medina-0"))))
		Expect(table.Teams["clinic"].Rate).To(Equal(4.0))
		Expect(table.Teams["geckos"].Rate).To(Equal(80.0))
		Expect(table.Teams["skinks"].Rate).To(Equal(5.0))
	})
})

// BenchmarkCompile measures one compilation of the largest configuration that
// the design must support: 8,700 teams, 600 upstreams in 6 zones, 34 services
// and 60 rules. "first" starts with an empty cache; "next" compiles again with
// all objects cached.
func BenchmarkCompile(b *testing.B) {
	var ds []decl.Declaration
	for i := range 6 {
		ds = append(ds, zone(fmt.Sprint("z", i)))
	}
	for i := range 34 {
		ds = append(ds, service(fmt.Sprint("s", i)))
	}
	for i := range 600 {
		ds = append(ds, upstream(fmt.Sprint("u", i), fmt.Sprint("s", i%34), fmt.Sprint("z", i%6), "gold"))
	}
	for i := range 8700 {
		ds = append(ds, team(fmt.Sprint("t", i), fmt.Sprintf("%064x", i)))
	}
	for i := range 60 {
		ds = append(ds, decl.Rule{Rule: core.Rule{
			Name: fmt.Sprint("r", i), Kind: core.KindTeam, Selector: fmt.Sprintf("name in (t%d, t%d)", i, 2*i),
			Action: core.ActionPriority, Priority: i % 10,
		}})
	}
	list := objects(ds...)
	for name, newCompiler := range map[string]func() *rules.Compiler{
		"first": func() *rules.Compiler { return new(rules.Compiler) },
		"next":  func() func() *rules.Compiler { c := new(rules.Compiler); return func() *rules.Compiler { return c } }(),
	} {
		b.Run(name, func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			compiler := newCompiler()
			table, _ := compiler.Compile(list)
			runtime.GC()
			runtime.ReadMemStats(&after)
			defer b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB-held")
			runtime.KeepAlive(table)
			runtime.KeepAlive(compiler)
			for b.Loop() {
				if _, errs := newCompiler().Compile(list); len(errs) != 0 {
					b.Fatal(errs)
				}
			}
		})
	}
}
