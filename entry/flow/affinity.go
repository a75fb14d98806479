package flow

import (
	"sync"

	"github.com/samber/lo"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/engine"
	"parsleyroute.example/core/request/picker"
	"parsleyroute.example/core/wire"
)

// Affinity estimates which engines have the prefix of a prompt in their caches.
// Its zero value is ready for use.
type Affinity struct {
	// Disabled makes PrefixShare return 0; it is meant for experiments.
	Disabled bool

	prefixes picker.PrefixIndex
	mu       sync.RWMutex
	epochs   map[string]uint64 // cache epoch by agent
}

// ApplyEvents applies the cache events of an agent's engine. A new epoch means
// that the engine has restarted with an empty cache.
func (a *Affinity) ApplyEvents(agent string, epoch uint64, events []*wire.CacheEvent) {
	a.mu.RLock()
	current := a.epochs[agent] == epoch
	a.mu.RUnlock()
	if !current {
		a.setEpoch(agent, epoch)
	}
	if len(events) == 0 {
		return
	}
	a.prefixes.Apply(agent, lo.Map(events, func(e *wire.CacheEvent, _ int) core.CacheEvent {
		return core.CacheEvent{Sequence: e.GetSequence(), PrefixHash: e.GetPrefix(), Evicted: e.GetEvicted()}
	}))
}

// setEpoch drops the prefixes of an agent whose epoch has changed.
func (a *Affinity) setEpoch(agent string, epoch uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.epochs == nil {
		a.epochs = map[string]uint64{}
	}
	if a.epochs[agent] != epoch {
		a.epochs[agent] = epoch
		a.prefixes.Drop(agent)
	}
}

// PrefixShare returns the estimated share of the request's prompt that is in the
// cache of the agent's engine, in [0, 1].
func (a *Affinity) PrefixShare(agent string, t *transaction) float64 {
	if a.Disabled {
		return 0
	}
	if !t.prefixesHashed {
		t.prefixHashes, t.prefixesHashed = engine.PrefixHashes(t.req.Body), true
	}
	return a.prefixes.Affinity(agent, t.prefixHashes)
}
