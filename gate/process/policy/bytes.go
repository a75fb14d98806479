package policy

import "sync/atomic"

// ByteBudget bounds the bytes that many users keep in memory. Its zero value, and a nil
// one, have no limit. Limit must be set before use.
type ByteBudget struct {
	// Limit is the maximum number of bytes; zero means no limit.
	Limit int64

	used atomic.Int64
}

// Take reserves n bytes and reports whether there is room for them.
func (b *ByteBudget) Take(n int) bool {
	if b == nil {
		return true
	}
	if used := b.used.Add(int64(n)); b.Limit > 0 && used > b.Limit {
		b.used.Add(int64(-n))
		return false
	}
	return true
}

// Return returns n reserved bytes.
func (b *ByteBudget) Return(n int) {
	if b != nil {
		b.used.Add(int64(-n))
	}
}

// Used returns the number of reserved bytes.
func (b *ByteBudget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}
