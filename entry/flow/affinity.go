package flow

import (
	"sync"

	"github.com/samber/lo"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/engine"
	"parsleyroute.example/core/request/picker"
	"parsleyroute.example/core/wire"
)

// Affinity tells which agents' engines are believed to hold the prefix of a
// prompt. Its zero value is ready for use.
type Affinity struct {
	// Off turns the affinity off, for experiments.
	Off bool

	prefixes picker.Prefixes
	mu       sync.RWMutex
	epochs   map[string]uint64
}

// Take accepts the cache events of an agent. A new epoch means that the engine
// has restarted with an empty cache.
func (a *Affinity) Take(agent string, epoch uint64, events []*wire.CacheEvent) {
	a.mu.RLock()
	same := a.epochs[agent] == epoch
	a.mu.RUnlock()
	if !same {
		a.restart(agent, epoch)
	}
	if len(events) == 0 {
		return
	}
	a.prefixes.Apply(agent, lo.Map(events, func(e *wire.CacheEvent, _ int) core.CacheEvent {
		return core.CacheEvent{Sequence: e.GetSequence(), Prefix: e.GetPrefix(), Evicted: e.GetEvicted()}
	}))
}

func (a *Affinity) restart(agent string, epoch uint64) {
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

// Of returns the share of the request's prompt that the agent's engine is
// believed to hold, in [0, 1].
func (a *Affinity) Of(agent string, t *trip) float64 {
	if a.Off {
		return 0
	}
	if !t.hashed {
		t.chain, t.hashed = engine.PrefixHashes(t.req.Body), true
	}
	return a.prefixes.Affinity(agent, t.chain)
}
