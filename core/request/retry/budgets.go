package retry

import (
	"sync/atomic"

	"parsleyroute.example/core"
)

// Budgets holds the budget of each service of the configuration. Its zero
// value has none.
type Budgets struct {
	services atomic.Pointer[map[string]*Budget]
}

// Update takes over the services and ratios of a table. Services that remain
// keep what they have saved. Calls of Update must not overlap.
func (b *Budgets) Update(table *core.Table) {
	old := b.services.Load()
	next := make(map[string]*Budget, len(table.Services))
	for name, s := range table.Services {
		if old != nil && (*old)[name] != nil {
			next[name] = (*old)[name]
			next[name].SetRatio(s.RetryRatio)
			continue
		}
		next[name] = NewBudget(s.RetryRatio)
	}
	b.services.Store(&next)
}

// Get returns the service's budget. A service without one gets a budget that
// allows nothing.
func (b *Budgets) Get(service string) *Budget {
	if m := b.services.Load(); m != nil {
		if budget := (*m)[service]; budget != nil {
			return budget
		}
	}
	return &Budget{}
}
