package retry

import (
	"math"
	"sync/atomic"
)

const (
	// DefaultRatio is the number of retries added to the budget for each first
	// attempt.
	DefaultRatio = 0.1
	// MaxSaved is the maximum number of unspent retries in a budget.
	MaxSaved = 10
	// InitialSaved is the number of retries in a new budget. A new entry sends
	// one request to each of its 16 upstreams before it has load reports. If one
	// of three zones is lost, five of these requests fail.
	InitialSaved = 5

	// unitsPerRetry is the resolution of a budget: amounts are stored in
	// thousandths of a retry.
	unitsPerRetry = 1000
)

// Budget is the retry budget of one service. Its zero value allows no retries.
type Budget struct {
	// saved is the number of unspent retries, and ratio the number of retries
	// added for each first attempt. Both are in thousandths of a retry.
	saved atomic.Int64
	ratio atomic.Int64
}

// NewBudget returns a budget with InitialSaved retries. A ratio of 0 selects
// DefaultRatio.
func NewBudget(ratio float64) *Budget {
	b := &Budget{}
	b.saved.Store(InitialSaved * unitsPerRetry)
	b.SetRatio(ratio)
	return b
}

// SetRatio changes the ratio. The unspent retries are kept.
func (b *Budget) SetRatio(ratio float64) {
	if ratio == 0 {
		ratio = DefaultRatio
	}
	b.ratio.Store(int64(math.Round(ratio * unitsPerRetry)))
}

// RecordFirstAttempt adds the ratio of a first attempt to the budget.
func (b *Budget) RecordFirstAttempt() {
	for {
		old := b.saved.Load()
		if b.saved.CompareAndSwap(old, min(old+b.ratio.Load(), MaxSaved*unitsPerRetry)) {
			return
		}
	}
}

// TakeRetry takes one retry or hedged request from the budget and reports whether
// the budget allows it.
func (b *Budget) TakeRetry() bool {
	for {
		old := b.saved.Load()
		if old < unitsPerRetry {
			return false
		}
		if b.saved.CompareAndSwap(old, old-unitsPerRetry) {
			return true
		}
	}
}

// ReturnRetry returns a retry that was taken with TakeRetry but not made.
func (b *Budget) ReturnRetry() {
	for {
		old := b.saved.Load()
		if b.saved.CompareAndSwap(old, min(old+unitsPerRetry, MaxSaved*unitsPerRetry)) {
			return
		}
	}
}
