package picker

import (
	"container/list"
	"sync"

	"parsleyroute.example/core"
)

// DefaultMaxPrefixes is the default of PrefixIndex.MaxPrefixes. At about 150
// bytes each, the index takes about 20 MB of the 128 MB of memory that a node
// may use for the control plane.
const DefaultMaxPrefixes = 1 << 17

// PrefixIndex records which prompt prefixes the cache of each engine holds,
// according to the engine's cache events. When it is full, it drops the prefixes
// that were announced first.
type PrefixIndex struct {
	// MaxPrefixes is the maximum number of prefixes over all engines; default
	// DefaultMaxPrefixes.
	MaxPrefixes int

	mu        sync.RWMutex
	engines   map[string]*engineCache
	insertion list.List // of prefixEntry, oldest first
}

type engineCache struct {
	lastSequence uint64
	entries      map[uint64]*list.Element
}

type prefixEntry struct {
	engine string
	prefix uint64
}

// Apply applies an engine's cache events. Events that were already applied are
// ignored. A gap in the sequence numbers drops the engine's entries, because the
// missing events may include evictions.
func (p *PrefixIndex) Apply(engine string, events []core.CacheEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.engines == nil {
		p.engines = map[string]*engineCache{}
	}
	e := p.engines[engine]
	if e == nil {
		e = &engineCache{entries: map[uint64]*list.Element{}}
		p.engines[engine] = e
	}
	for _, ev := range events {
		if ev.Sequence <= e.lastSequence {
			continue
		}
		if ev.Sequence != e.lastSequence+1 {
			p.clear(e)
		}
		e.lastSequence = ev.Sequence
		p.set(engine, e, ev)
	}
}

func (p *PrefixIndex) set(engine string, e *engineCache, ev core.CacheEvent) {
	if el := e.entries[ev.PrefixHash]; el != nil {
		p.insertion.Remove(el)
		delete(e.entries, ev.PrefixHash)
	}
	if ev.Evicted {
		return
	}
	e.entries[ev.PrefixHash] = p.insertion.PushBack(prefixEntry{engine, ev.PrefixHash})
	maxPrefixes := p.MaxPrefixes
	if maxPrefixes <= 0 {
		maxPrefixes = DefaultMaxPrefixes
	}
	for p.insertion.Len() > maxPrefixes {
		oldest := p.insertion.Remove(p.insertion.Front()).(prefixEntry)
		delete(p.engines[oldest.engine].entries, oldest.prefix)
	}
}

func (p *PrefixIndex) clear(e *engineCache) {
	for _, el := range e.entries {
		p.insertion.Remove(el)
	}
	clear(e.entries)
}

// LastSequence returns the sequence number of the last event applied for the
// engine, or 0.
func (p *PrefixIndex) LastSequence(engine string) uint64 {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if e := p.engines[engine]; e != nil {
		return e.lastSequence
	}
	return 0
}

// Drop removes an engine. It is called when the engine has a new incarnation,
// which starts with an empty cache, or is no longer used.
func (p *PrefixIndex) Drop(engine string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.engines[engine]; e != nil {
		p.clear(e)
		delete(p.engines, engine)
	}
}

// Affinity returns the share of a prompt that the engine's cache should hold,
// in [0, 1]. hashes are those of the prompt's prefixes, shortest first. A
// cache serves a prefix only if it holds all shorter ones too.
func (p *PrefixIndex) Affinity(engine string, hashes []uint64) float64 {
	if len(hashes) == 0 {
		return 0
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	e := p.engines[engine]
	if e == nil {
		return 0
	}
	cached := 0
	for cached < len(hashes) && e.entries[hashes[cached]] != nil {
		cached++
	}
	return float64(cached) / float64(len(hashes))
}
