package cmds

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2"
)

var formats = []string{"table", "json", "toml"}

// print writes v in the chosen format. rows are the lines of the table, the
// header first.
func (p *program) print(v any, rows [][]string) error {
	switch p.output {
	case "json":
		enc := json.NewEncoder(p.out)
		enc.SetIndent("", "  ")
		return fail(Failed, enc.Encode(v))
	case "toml":
		return p.printTOML(v)
	}
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return fail(Failed, w.Flush())
}

// printTOML writes the JSON form of v as TOML, so that both have the same keys.
func (p *program) printTOML(v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return fail(Failed, trace.Wrap(err))
	}
	var generic any
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.UseNumber()
	if err := dec.Decode(&generic); err != nil {
		return fail(Failed, trace.Wrap(err))
	}
	generic = plain(generic)
	if _, ok := generic.(map[string]any); !ok {
		generic = map[string]any{"items": generic}
	}
	text, err = toml.Marshal(generic)
	if err != nil {
		return fail(Failed, trace.Wrap(err))
	}
	_, err = p.out.Write(text)
	return fail(Failed, err)
}

// plain replaces what TOML does not have: numbers of unknown type, and nulls.
func plain(v any) any {
	switch v := v.(type) {
	case json.Number:
		if n, err := v.Int64(); err == nil {
			return n
		}
		if f, err := v.Float64(); err == nil && strings.ContainsAny(v.String(), ".eE") {
			return f
		}
		// Digests above the range of TOML's integers.
		return v.String()
	case map[string]any:
		for k, e := range v {
			if e == nil {
				delete(v, k)
				continue
			}
			v[k] = plain(e)
		}
	case []any:
		for i, e := range v {
			v[i] = plain(e)
		}
	}
	return v
}
