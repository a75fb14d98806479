package decl

import (
	"bytes"

	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/conf"
)

// MaxFileSize is the greatest length of a file in bytes, and MaxValueSize that of the
// value of one store object. The platform's store holds values of up to 1 MB.
const (
	MaxFileSize  = 16 << 20
	MaxValueSize = 256 << 10
)

// Parse reads a file of declarations. Its order is by kind, as in
// core.DeclarationKinds, then as in the file. file is the name in errors.
func Parse(file string, data []byte) ([]Declaration, error) {
	ds, _, err := ParseWithVersions(file, data)
	return ds, err
}

// ParseWithVersions is like Parse, and also returns the versions of the objects
// from which the declarations were made, for those that have the key version.
// A declaration may only replace the object at that version.
func ParseWithVersions(file string, data []byte) ([]Declaration, map[core.Key]uint64, error) {
	if len(data) > MaxFileSize {
		return nil, nil, trace.BadParameter("%s: more than %d bytes", file, MaxFileSize)
	}
	var doc document
	if err := conf.Decode(file, data, &doc); err != nil {
		return nil, nil, err
	}
	return build(file, data, &doc)
}

// Marshal returns the value of the store object: the TOML text of d. Equal
// declarations have equal texts.
func Marshal(d Declaration) ([]byte, error) {
	if err := Check(d); err != nil {
		return nil, err
	}
	doc, _ := render(d)
	value, err := toml.Marshal(doc)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(value) > MaxValueSize {
		return nil, trace.BadParameter("%s %q: more than %d bytes", d.Key().Kind, d.Key().Name, MaxValueSize)
	}
	return value, nil
}

// Unmarshal reads the value of the store object with the given key.
func Unmarshal(key core.Key, value []byte) (Declaration, error) {
	name := string(key.Kind) + "/" + key.Name
	if len(value) > MaxValueSize {
		return nil, trace.BadParameter("%s: more than %d bytes", name, MaxValueSize)
	}
	ds, versions, err := ParseWithVersions(name, value)
	if err != nil {
		return nil, err
	}
	if len(ds) != 1 || len(versions) != 0 || ds[0].Key() != key {
		return nil, trace.BadParameter("%s: the value is not the single declaration of this key without a version", name)
	}
	return ds[0], nil
}

// table is one declaration's table.
type table interface {
	build(*checker) Declaration
}

// build checks the tables of doc. data is the text of the file, or nil for
// declarations made in memory; it serves to find the line of a fault.
func build(file string, data []byte, doc *document) ([]Declaration, map[core.Key]uint64, error) {
	var ds []Declaration
	versions := map[core.Key]uint64{}
	seen := map[core.Key]int{}
	add := func(kind core.Kind, i int, t table) error {
		var c checker
		d := t.build(&c)
		if _, ok := seen[d.Key()]; ok {
			c.fail("name", "%s %q is declared twice", kind, d.Key().Name)
		}
		seen[d.Key()] = i
		if c.version != 0 {
			versions[d.Key()] = c.version
		}
		if c.message == "" {
			ds = append(ds, d)
			return nil
		}
		if data == nil {
			return trace.BadParameter("%s %q: key %q: %s", kind, d.Key().Name, c.key, c.message)
		}
		return trace.BadParameter("%s:%d: key %q: %s", file, line(data, kind, i, c.key), string(kind)+"."+c.key, c.message)
	}
	for i := range doc.Zone {
		if err := add(core.KindZone, i, &doc.Zone[i]); err != nil {
			return nil, nil, err
		}
	}
	for i := range doc.Service {
		if err := add(core.KindService, i, &doc.Service[i]); err != nil {
			return nil, nil, err
		}
	}
	for i := range doc.Upstream {
		if err := add(core.KindUpstream, i, &doc.Upstream[i]); err != nil {
			return nil, nil, err
		}
	}
	for i := range doc.Team {
		if err := add(core.KindTeam, i, &doc.Team[i]); err != nil {
			return nil, nil, err
		}
	}
	for i := range doc.Rule {
		if err := add(core.KindRule, i, &doc.Rule[i]); err != nil {
			return nil, nil, err
		}
	}
	return ds, versions, nil
}

// line returns the line of a key in the i-th table of a kind. It is the line of
// the table's header if the key is missing, and 1 if the tables are not written
// as [[kind]].
func line(data []byte, kind core.Kind, i int, key string) int {
	var p unstable.Parser
	p.Reset(data)
	table, offset := -1, 0
	for p.NextExpression() {
		e := p.Expression()
		if e.Kind != unstable.ArrayTable && e.Kind != unstable.Table && e.Kind != unstable.KeyValue {
			continue
		}
		var path []string
		at := 0
		for it := e.Key(); it.Next(); {
			if len(path) == 0 {
				at = int(it.Node().Raw.Offset)
			}
			path = append(path, string(it.Node().Data))
		}
		switch {
		case e.Kind == unstable.ArrayTable && len(path) == 1 && path[0] == string(kind):
			table++
			if table == i {
				offset = at
			}
		case table == i && e.Kind == unstable.KeyValue && path[0] == key,
			table == i && e.Kind != unstable.KeyValue && len(path) > 1 && path[0] == string(kind) && path[1] == key:
			return row(data, at)
		case e.Kind != unstable.KeyValue && path[0] != string(kind) && table == i:
			return row(data, offset)
		}
	}
	return row(data, offset)
}

func row(data []byte, offset int) int {
	return 1 + bytes.Count(data[:min(offset, len(data))], []byte("\n"))
}
