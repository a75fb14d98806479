package decl

import (
	"bytes"

	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/conf"
)

// MaxFileSize is the maximum size of a file in bytes. MaxValueSize is the
// maximum size of the value of one store object in bytes; the platform's store
// holds values of up to 1 MB.
const (
	MaxFileSize  = 16 << 20
	MaxValueSize = 256 << 10
)

// Parse parses a file of declarations. It returns them in the order of kinds in
// core.DeclarationKinds, and within a kind in the order of the file. file is the
// file name for errors.
func Parse(file string, data []byte) ([]Declaration, error) {
	ds, _, err := ParseWithVersions(file, data)
	return ds, err
}

// ParseWithVersions is like Parse and also returns the versions of those
// declarations that have the key version: the version of the store object that
// the declaration was edited from. Such a declaration may replace the object
// only at that version.
func ParseWithVersions(file string, data []byte) ([]Declaration, map[core.Key]uint64, error) {
	if len(data) > MaxFileSize {
		return nil, nil, trace.BadParameter("%s: file has more than %d bytes", file, MaxFileSize)
	}
	var doc document
	if err := conf.Decode(file, data, &doc); err != nil {
		return nil, nil, err
	}
	return buildDeclarations(file, data, &doc)
}

// Marshal returns the value of the store object for d, which is its TOML text.
// Equal declarations have equal values.
func Marshal(d Declaration) ([]byte, error) {
	if err := Check(d); err != nil {
		return nil, err
	}
	doc, _ := newDocument(d)
	value, err := toml.Marshal(doc)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(value) > MaxValueSize {
		return nil, trace.BadParameter("%s %q: value has more than %d bytes", d.Key().Kind, d.Key().Name, MaxValueSize)
	}
	return value, nil
}

// Unmarshal parses the value of the store object with the given key.
func Unmarshal(key core.Key, value []byte) (Declaration, error) {
	name := string(key.Kind) + "/" + key.Name
	if len(value) > MaxValueSize {
		return nil, trace.BadParameter("%s: value has more than %d bytes", name, MaxValueSize)
	}
	ds, versions, err := ParseWithVersions(name, value)
	if err != nil {
		return nil, err
	}
	if len(ds) != 1 || len(versions) != 0 || ds[0].Key() != key {
		return nil, trace.BadParameter("%s: value must have exactly one declaration, with this kind and name and without a version", name)
	}
	return ds[0], nil
}

// declarationTable is the TOML table of one declaration.
type declarationTable interface {
	// toDeclaration returns the declaration and records the first error.
	toDeclaration(*checker) Declaration
}

// buildDeclarations checks the tables of doc, and returns their declarations and
// the versions of those that have one. data is the text of the file, from which
// it finds the line of an error, or nil for declarations created in memory.
func buildDeclarations(file string, data []byte, doc *document) ([]Declaration, map[core.Key]uint64, error) {
	var ds []Declaration
	versions := map[core.Key]uint64{}
	seen := map[core.Key]int{}
	add := func(kind core.Kind, i int, t declarationTable) error {
		var c checker
		d := t.toDeclaration(&c)
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
		return trace.BadParameter("%s:%d: key %q: %s", file, keyLine(data, kind, i, c.key), string(kind)+"."+c.key, c.message)
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

// keyLine returns the line of a key in the i-th table of a kind. It is the line
// of the table's header if the key is missing, and 1 if the tables are not
// written as [[kind]].
func keyLine(data []byte, kind core.Kind, i int, key string) int {
	var p unstable.Parser
	p.Reset(data)
	tableIndex, headerOffset := -1, 0
	for p.NextExpression() {
		e := p.Expression()
		if e.Kind != unstable.ArrayTable && e.Kind != unstable.Table && e.Kind != unstable.KeyValue {
			continue
		}
		var path []string
		keyOffset := 0
		for it := e.Key(); it.Next(); {
			if len(path) == 0 {
				keyOffset = int(it.Node().Raw.Offset)
			}
			path = append(path, string(it.Node().Data))
		}
		switch {
		case e.Kind == unstable.ArrayTable && len(path) == 1 && path[0] == string(kind):
			tableIndex++
			if tableIndex == i {
				headerOffset = keyOffset
			}
		case tableIndex == i && e.Kind == unstable.KeyValue && path[0] == key,
			tableIndex == i && e.Kind != unstable.KeyValue && len(path) > 1 && path[0] == string(kind) && path[1] == key:
			return lineAt(data, keyOffset)
		case e.Kind != unstable.KeyValue && path[0] != string(kind) && tableIndex == i:
			return lineAt(data, headerOffset)
		}
	}
	return lineAt(data, headerOffset)
}

// lineAt returns the line of a byte offset, counted from 1.
func lineAt(data []byte, offset int) int {
	return 1 + bytes.Count(data[:min(offset, len(data))], []byte("\n"))
}
