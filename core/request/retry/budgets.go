package retry

import (
	"sync/atomic"

	"parsleyroute.example/core"
)

// Budgets holds the retry budget of each configured service. Its zero value has no
// services.
type Budgets struct {
	services atomic.Pointer[map[string]*Budget]
}

// Update sets the services and their ratios. Services that are also in the
// previous table keep their unspent retries. Update must not be called
// concurrently with itself.
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

// Get returns the budget of the service. For an unknown service it returns a
// budget that allows no retries.
func (b *Budgets) Get(service string) *Budget {
	if m := b.services.Load(); m != nil {
		if budget := (*m)[service]; budget != nil {
			return budget
		}
	}
	return &Budget{}
}
