package picker

import (
	"container/list"
	"sync"

	"parsleyroute.example/core"
)

// DefaultPrefixes is the default of Prefixes.Max. At about 150 bytes each the
// table stays near 20 MB of the 128 MB that a node may spend on control.
const DefaultPrefixes = 1 << 17

// Prefixes records which engine's cache is believed to hold which prompt
// prefixes. It is bounded: the prefix announced first is dropped first.
type Prefixes struct {
	// Max is the greatest number of prefixes over all engines; default
	// DefaultPrefixes.
	Max int

	mu      sync.RWMutex
	engines map[string]*engineCache
	order   list.List
}

type engineCache struct {
	last uint64
	held map[uint64]*list.Element
}

type prefixEntry struct {
	engine string
	prefix uint64
}

// Apply takes an engine's events. Events that were taken before are ignored. A
// gap in the sequence drops the engine's entries, because an eviction may be
// among the lost events.
func (p *Prefixes) Apply(engine string, events []core.CacheEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.engines == nil {
		p.engines = map[string]*engineCache{}
	}
	e := p.engines[engine]
	if e == nil {
		e = &engineCache{held: map[uint64]*list.Element{}}
		p.engines[engine] = e
	}
	for _, ev := range events {
		if ev.Sequence <= e.last {
			continue
		}
		if ev.Sequence != e.last+1 {
			p.clear(e)
		}
		e.last = ev.Sequence
		p.set(engine, e, ev)
	}
}

func (p *Prefixes) set(engine string, e *engineCache, ev core.CacheEvent) {
	if el := e.held[ev.PrefixHash]; el != nil {
		p.order.Remove(el)
		delete(e.held, ev.PrefixHash)
	}
	if ev.Evicted {
		return
	}
	e.held[ev.PrefixHash] = p.order.PushBack(prefixEntry{engine, ev.PrefixHash})
	limit := p.Max
	if limit <= 0 {
		limit = DefaultPrefixes
	}
	for p.order.Len() > limit {
		oldest := p.order.Remove(p.order.Front()).(prefixEntry)
		delete(p.engines[oldest.engine].held, oldest.prefix)
	}
}

func (p *Prefixes) clear(e *engineCache) {
	for _, el := range e.held {
		p.order.Remove(el)
	}
	clear(e.held)
}

// Last returns the sequence number of the engine's last event taken.
func (p *Prefixes) Last(engine string) uint64 {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if e := p.engines[engine]; e != nil {
		return e.last
	}
	return 0
}

// Drop forgets an engine. It is called when the engine has a new incarnation,
// which starts with an empty cache, or is no longer used.
func (p *Prefixes) Drop(engine string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.engines[engine]; e != nil {
		p.clear(e)
		delete(p.engines, engine)
	}
}

// Affinity returns the share of a prompt that the engine is believed to hold,
// in [0, 1]. chain has the hashes of the prompt's prefixes, shortest first. A
// cache serves a prefix only if it holds all shorter ones too.
func (p *Prefixes) Affinity(engine string, chain []uint64) float64 {
	if len(chain) == 0 {
		return 0
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	e := p.engines[engine]
	if e == nil {
		return 0
	}
	n := 0
	for n < len(chain) && e.held[chain[n]] != nil {
		n++
	}
	return float64(n) / float64(len(chain))
}
