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

// print writes v in the selected output format. rows are the rows of the table
// format, starting with the header.
func (p *program) print(v any, rows [][]string) error {
	switch p.format {
	case "json":
		enc := json.NewEncoder(p.stdout)
		enc.SetIndent("", "  ")
		return withCode(Failed, enc.Encode(v))
	case "toml":
		return p.printTOML(v)
	}
	w := tabwriter.NewWriter(p.stdout, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return withCode(Failed, w.Flush())
}

// printTOML writes the JSON form of v as TOML, so that both have the same keys.
func (p *program) printTOML(v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return withCode(Failed, trace.Wrap(err))
	}
	var generic any
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.UseNumber()
	if err := dec.Decode(&generic); err != nil {
		return withCode(Failed, trace.Wrap(err))
	}
	generic = toTOMLValue(generic)
	if _, ok := generic.(map[string]any); !ok {
		generic = map[string]any{"items": generic}
	}
	text, err = toml.Marshal(generic)
	if err != nil {
		return withCode(Failed, trace.Wrap(err))
	}
	_, err = p.stdout.Write(text)
	return withCode(Failed, err)
}

// toTOMLValue replaces what TOML cannot represent: it converts json.Number to
// an integer, float or string, and removes null values from objects.
func toTOMLValue(v any) any {
	switch v := v.(type) {
	case json.Number:
		if n, err := v.Int64(); err == nil {
			return n
		}
		if f, err := v.Float64(); err == nil && strings.ContainsAny(v.String(), ".eE") {
			return f
		}
		// The number, such as a digest, exceeds the range of TOML integers.
		return v.String()
	case map[string]any:
		for k, e := range v {
			if e == nil {
				delete(v, k)
				continue
			}
			v[k] = toTOMLValue(e)
		}
	case []any:
		for i, e := range v {
			v[i] = toTOMLValue(e)
		}
	}
	return v
}
