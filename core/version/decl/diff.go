package decl

import (
	"reflect"
	"sort"

	"github.com/pelletier/go-toml/v2"
)

// Diff returns the names of the fields in which two declarations of one kind
// differ, in alphabetical order; a label is named as "labels.<key>". A nil
// declaration has no fields.
func Diff(a, b Declaration) []string {
	x, y := fields(a), fields(b)
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

func fields(d Declaration) map[string]any {
	flat := map[string]any{}
	if d == nil {
		return flat
	}
	doc, _ := render(d)
	text, err := toml.Marshal(doc)
	if err != nil {
		return flat
	}
	var tables map[string][]map[string]any
	if err := toml.Unmarshal(text, &tables); err != nil || len(tables[string(d.Key().Kind)]) != 1 {
		return flat
	}
	for k, v := range tables[string(d.Key().Kind)][0] {
		labels, ok := v.(map[string]any)
		if !ok {
			flat[k] = v
			continue
		}
		for l, w := range labels {
			flat[k+"."+l] = w
		}
	}
	return flat
}
