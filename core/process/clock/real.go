package clock

import (
	"context"
	"time"
)

// Real is the system clock. Its times include a monotonic clock reading.
type Real struct{}

// Now implements core.Clock.
func (Real) Now() time.Time { return time.Now() }

// After implements core.Clock.
func (Real) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Sleep implements core.Clock.
func (Real) Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
