package rules

import (
	"slices"
	"strings"

	"parsleyroute.example/core"
)

// actionPrecedence lists the actions in descending order of precedence.
var actionPrecedence = []core.Action{
	core.ActionOut, core.ActionAdmit, core.ActionRoute, core.ActionLimit, core.ActionPriority,
}

// Compare orders rules by precedence. A negative result means that a takes
// precedence over b.
func Compare(a, b core.Rule) int {
	if x, y := slices.Index(actionPrecedence, a.Action), slices.Index(actionPrecedence, b.Action); x != y {
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
