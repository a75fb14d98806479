// Package pool holds one long-lived value for each key, such as the
// connections to one agent, and drops those that are no longer wanted.
package pool

import (
	"io"
	"sync"
)

// Keyed is a pool of values by key. It is safe for concurrent use. New is set
// before use.
type Keyed[K comparable, V io.Closer] struct {
	// New makes the value of a key.
	New func(K) V

	mu     sync.RWMutex
	values map[K]V
}

// Get returns the value of the key and makes it if there is none.
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

// Retain closes and drops the values whose keys are not wanted.
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

// Close closes all values.
func (p *Keyed[K, V]) Close() error {
	p.Retain(func(K) bool { return false })
	return nil
}
