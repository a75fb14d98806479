// Package pool keeps one long-lived value for each key, such as the connections
// to one agent, and closes those that are no longer needed.
package pool

import (
	"io"
	"sync"
)

// Keyed is a pool of values by key. It is safe for concurrent use. New must be
// set before use.
type Keyed[K comparable, V io.Closer] struct {
	// New creates the value for a key.
	New func(K) V

	mu     sync.RWMutex
	values map[K]V
}

// Get returns the value for the key and creates it if there is none.
func (p *Keyed[K, V]) Get(key K) V {
	p.mu.RLock()
	v, ok := p.values[key]
	p.mu.RUnlock()
	if ok {
		return v
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if v, ok := p.values[key]; ok {
		return v
	}
	if p.values == nil {
		p.values = map[K]V{}
	}
	v = p.New(key)
	p.values[key] = v
	return v
}

// Retain closes and removes the values for whose keys wanted returns false.
func (p *Keyed[K, V]) Retain(wanted func(K) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, v := range p.values {
		if !wanted(k) {
			_ = v.Close()
			delete(p.values, k)
		}
	}
}

// Close closes and removes all values.
func (p *Keyed[K, V]) Close() error {
	p.Retain(func(K) bool { return false })
	return nil
}
