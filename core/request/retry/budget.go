package retry

import (
	"math"
	"sync/atomic"
)

const (
	// DefaultRatio is the part of a retry that each first attempt earns.
	DefaultRatio = 0.1
	// MaxSaved is the greatest number of retries that are saved up.
	MaxSaved = 10
	// InitialSaved is the number of retries that a new budget has. A new entry picks
	// blindly once from each of its 16 upstreams, because it has no load
	// report yet; if one zone of three is lost, five of these picks fail.
	InitialSaved = 5

	unit = 1000
)

// Budget is the retry budget of one service.
type Budget struct {
	// saved and ratio are in thousandths of a retry.
	saved atomic.Int64
	ratio atomic.Int64
}

// NewBudget returns a budget that holds Start retries. ratio 0 selects
// DefaultRatio.
func NewBudget(ratio float64) *Budget {
	b := &Budget{}
	b.saved.Store(InitialSaved * unit)
	b.SetRatio(ratio)
	return b
}

// SetRatio changes the ratio and keeps what is saved.
func (b *Budget) SetRatio(ratio float64) {
	if ratio == 0 {
		ratio = DefaultRatio
	}
	b.ratio.Store(int64(math.Round(ratio * unit)))
}

// RecordFirstAttempt counts a first attempt.
func (b *Budget) RecordFirstAttempt() {
	for {
		old := b.saved.Load()
		if b.saved.CompareAndSwap(old, min(old+b.ratio.Load(), MaxSaved*unit)) {
			return
		}
	}
}

// TakeRetry pays for one retry or hedge, and reports whether the budget allows it.
func (b *Budget) TakeRetry() bool {
	for {
		old := b.saved.Load()
		if old < unit {
			return false
		}
		if b.saved.CompareAndSwap(old, old-unit) {
			return true
		}
	}
}

// ReturnRetry gives back what TakeRetry took, for a retry that was not made.
func (b *Budget) ReturnRetry() {
	for {
		old := b.saved.Load()
		if b.saved.CompareAndSwap(old, min(old+unit, MaxSaved*unit)) {
			return
		}
	}
}
