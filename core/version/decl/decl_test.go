package decl_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/gravitational/trace"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/core/suite/seed"
	"parsleyroute.example/core/version/decl"
)

func TestDecl(t *testing.T) {
	seed.RunSpecs(t, "decl")
}

const exampleFile = `
[[rule]]
name = "medina-out"
kind = "zone"
selector = "name = dakar-medina"
out = true

[[upstream]]
name = "desk-1"
service = "order-desk"
zone = "dakar-medina"
agent = "127.0.0.1:7101"
limit = 8
cold = 2
step = 4
labels = { tier = "gold" }

[[service]]
name = "order-desk"
timeout = "5s"
queue = 100
retry = 0.1
routes = [
  { prefix = "/orders", method = "POST", repeatable = false },
  { prefix = "/lookups", repeatable = true },
]

[[zone]]
name = "dakar-medina"
region = "dakar"

[[team]]
name = "signs"
rate = 5
weight = 2.5
`

var _ = Describe("Parse", func() {
	// Guards against declarations that are applied in the order of the file
	// rather than in that of their references.
	It("returns the declarations in the order of their kinds", func() {
		ds, err := decl.Parse("a.toml", []byte(exampleFile))
		Expect(err).NotTo(HaveOccurred())
		var kinds []core.Kind
		for _, d := range ds {
			kinds = append(kinds, d.Key().Kind)
		}
		Expect(kinds).To(Equal(core.DeclarationKinds))
		Expect(decl.CheckSet(ds)).To(BeEmpty())
	})

	// Guards against declarations that change when they are written and read
	// again.
	It("unmarshals what Marshal returns", func() {
		ds, err := decl.Parse("a.toml", []byte(exampleFile))
		Expect(err).NotTo(HaveOccurred())
		for _, d := range ds {
			value, err := decl.Marshal(d)
			Expect(err).NotTo(HaveOccurred())
			got, err := decl.Unmarshal(d.Key(), value)
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(d))
			Expect(decl.Diff(got, d)).To(BeEmpty())
			_, err = decl.Unmarshal(core.Key{Kind: d.Key().Kind, Name: "other"}, value)
			Expect(trace.IsBadParameter(err)).To(BeTrue())
		}
	})

	// Guards against errors that an operator cannot locate in a long file.
	DescribeTable("returns errors with file, line and key",
		func(text, wantPrefix string) {
			_, err := decl.Parse("a.toml", []byte(text))
			Expect(trace.IsBadParameter(err)).To(BeTrue(), "%v", err)
			Expect(err.Error()).To(HavePrefix(wantPrefix))
		},
		Entry("unknown key", "[[zone]]\nname=\"a\"\nregoin=\"b\"", `a.toml:3: unknown key "zone.regoin"`),
		Entry("unknown kind", "[[zones]]\nname=\"a\"", `a.toml:1: unknown key "zones`),
		Entry("wrong type", "[[team]]\nname=\"a\"\nrate=\"5\"", `a.toml:3: key "team.rate"`),
		Entry("wrong unit", "[[service]]\nname=\"a\"\ntimeout=\"5 apples\"", `a.toml:3: key "service.timeout"`),
		Entry("timeout without unit", "[[service]]\nname=\"a\"\n\ntimeout=5", `a.toml:4: key "service.timeout"`),
		Entry("not a number", "[[team]]\nname=\"a\"\nrate=nan", `a.toml:3: key "team.rate"`),
		Entry("missing name", "[[zone]]\nname=\"a\"\n[[zone]]\nregion=\"b\"", `a.toml:3: key "zone.name"`),
		Entry("invalid name", "[[zone]]\nname=\"a b\"", `a.toml:2: key "zone.name"`),
		Entry("name too long", "[[rule]]\nname=\""+strings.Repeat("a", 129)+"\"", `a.toml:2: key "rule.name"`),
		Entry("duplicate name", "[[zone]]\nname=\"a\"\n[[zone]]\nname=\"a\"", `a.toml:4: key "zone.name"`),
		Entry("implied label", "[[zone]]\nname=\"a\"\n[zone.labels]\nname=\"b\"", `a.toml:3: key "zone.labels"`),
		Entry("second action", "[[rule]]\nname=\"a\"\nkind=\"zone\"\nselector=\"name=b\"\nout=true\nadmit=0.5",
			`a.toml:2: key "rule.name"`),
		Entry("missing selector", "[[rule]]\nname=\"a\"\nkind=\"zone\"\nout=true", `a.toml:1: key "rule.selector"`),
		Entry("invalid selector", "[[rule]]\nname=\"a\"\nkind=\"zone\"\nselector=\"a in (\"\nout=true",
			`a.toml:4: key "rule.selector"`),
		Entry("wrong kind", "[[rule]]\nname=\"a\"\nkind=\"team\"\nselector=\"name\"\nout=true", `a.toml:3: key "rule.kind"`),
		Entry("route without repeatable", "[[service]]\nname=\"a\"\n[[service.routes]]\nprefix=\"/\"",
			`a.toml:3: key "service.routes"`),
	)

	// Guards against an edited copy that overwrites a newer object, and against
	// store values that contain a version.
	It("accepts the key version in files, but not in store values", func() {
		text := []byte("[[zone]]\nname=\"a\"\nversion=7")
		ds, versions, err := decl.ParseWithVersions("a.toml", text)
		Expect(err).NotTo(HaveOccurred())
		Expect(versions).To(Equal(map[core.Key]uint64{ds[0].Key(): 7}))
		_, err = decl.Unmarshal(ds[0].Key(), text)
		Expect(trace.IsBadParameter(err)).To(BeTrue())
	})

	// Guards against declarations that are valid alone but not together.
	It("finds missing references and duplicate agents", func() {
		ds, err := decl.Parse("a.toml", []byte(`
[[upstream]]
name = "a"
service = "s"
zone = "z"
agent = "127.0.0.1:7101"
limit = 1
[[upstream]]
name = "b"
service = "s"
zone = "z"
agent = "127.0.0.1:7101"
limit = 1
[[zone]]
name = "z"
`))
		Expect(err).NotTo(HaveOccurred())
		Expect(decl.CheckSet(ds)).To(HaveLen(3))
	})

	// Guards against conflict messages that list too many or too few fields.
	It("returns the names of the fields that differ", func() {
		a := decl.Zone{Zone: core.Zone{Name: "a", Region: "r", Labels: core.Labels{"x": "1", "y": "1"}}}
		b := decl.Zone{Zone: core.Zone{Name: "a", Labels: core.Labels{"x": "2", "y": "1"}}}
		Expect(decl.Diff(a, b)).To(Equal([]string{"labels.x", "region"}))
		Expect(decl.Diff(nil, b)).To(Equal([]string{"labels.x", "labels.y", "name"}))
	})
})

// Guards against examples that do not parse, that are inconsistent, or that
// declare non-repeatable requests as repeatable.
var _ = DescribeTable("examples",
	func(dir, serviceName string) {
		files, err := filepath.Glob(filepath.Join("../../../examples", dir, "*.toml"))
		Expect(err).NotTo(HaveOccurred())
		var all []decl.Declaration
		for _, f := range files {
			data, err := os.ReadFile(f)
			Expect(err).NotTo(HaveOccurred())
			ds, err := decl.Parse(f, data)
			Expect(err).NotTo(HaveOccurred())
			all = append(all, ds...)
		}
		Expect(decl.CheckSet(all)).To(BeEmpty())
		counts := map[core.Kind]int{}
		for _, d := range all {
			counts[d.Key().Kind]++
			if s, ok := d.(decl.Service); ok && s.Name == serviceName {
				Expect(s.Routes).To(ContainElement(core.Route{Prefix: "/orders", Method: "POST"}))
				Expect(s.Routes).To(ContainElement(core.Route{Prefix: "/lookups", Repeatable: true}))
			}
		}
		Expect(counts).To(Equal(map[core.Kind]int{"zone": 3, "service": 2, "upstream": 15, "team": 10, "rule": 3}))
	},
	Entry("ndiaye", "ndiaye", "order-desk"),
	Entry("chinook", "chinook", "keeper-desk"),
)

// FuzzParse guards against panics, and against valid declarations that change
// when they are marshaled and unmarshaled.
func FuzzParse(f *testing.F) {
	f.Add([]byte(exampleFile))
	f.Add([]byte("zone = [{name = \"a\"}]"))
	f.Add([]byte("[[team]]\nname=\"a\"\nrate=inf"))
	f.Fuzz(func(t *testing.T, data []byte) {
		ds, err := decl.Parse("f", data)
		if err != nil {
			if !trace.IsBadParameter(err) {
				t.Fatalf("error %v is not a BadParameter", err)
			}
			return
		}
		for _, d := range ds {
			value, err := decl.Marshal(d)
			if err != nil {
				t.Fatalf("%v: %v", d.Key(), err)
			}
			got, err := decl.Unmarshal(d.Key(), value)
			if err != nil {
				t.Fatalf("%v: %v in %s", d.Key(), err, value)
			}
			if n := decl.Diff(d, got); len(n) != 0 {
				t.Fatalf("%v: %v differ in %s", d.Key(), n, value)
			}
		}
	})
}
