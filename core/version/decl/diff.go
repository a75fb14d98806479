package decl

import (
	"reflect"
	"sort"

	"github.com/pelletier/go-toml/v2"
)

// Diff returns the names of the fields in which two declarations of one kind
// differ, in alphabetical order. The name of a label is "labels.<key>". A nil
// declaration has no fields.
func Diff(a, b Declaration) []string {
	x, y := fieldValues(a), fieldValues(b)
	var names []string
	for k, v := range x {
		if w, ok := y[k]; !ok || !reflect.DeepEqual(v, w) {
			names = append(names, k)
		}
	}
	for k := range y {
		if _, ok := x[k]; !ok {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	return names
}

// fieldValues returns the TOML values of the fields of d under the names that
// Diff returns.
func fieldValues(d Declaration) map[string]any {
	values := map[string]any{}
	if d == nil {
		return values
	}
	doc, _ := newDocument(d)
	text, err := toml.Marshal(doc)
	if err != nil {
		return values
	}
	var tables map[string][]map[string]any
	if err := toml.Unmarshal(text, &tables); err != nil || len(tables[string(d.Key().Kind)]) != 1 {
		return values
	}
	for k, v := range tables[string(d.Key().Kind)][0] {
		labels, ok := v.(map[string]any)
		if !ok {
			values[k] = v
			continue
		}
		for l, w := range labels {
			values[k+"."+l] = w
		}
	}
	return values
}
