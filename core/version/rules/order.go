package rules

import (
	"slices"
	"strings"

	"parsleyroute.example/core"
)

var precedence = []core.Action{
	core.ActionOut, core.ActionAdmit, core.ActionRoute, core.ActionLimit, core.ActionPriority,
}

// Compare orders rules: a negative result means that a wins over b.
func Compare(a, b core.Rule) int {
	if x, y := slices.Index(precedence, a.Action), slices.Index(precedence, b.Action); x != y {
		return x - y
	}
	if a.Order != b.Order {
		if a.Order > b.Order {
			return -1
		}
		return 1
	}
	return strings.Compare(a.Name, b.Name)
}
