package lease_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/lease"
	"parsleyroute.example/core/suite/memory"
)

// runContender starts a contender and returns a function that stops it.
func runContender(t *testing.T, l *lease.Lease) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = l.Run(ctx) }()
	return func() { cancel(); <-done }
}

// TestEndedHolder guards against a contender that waits for the TTL although the
// holder is known to have ended, one that acquires the lease from a running
// holder, and one that does not know the current token.
func TestEndedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var storeDown atomic.Bool
		store := &memory.Store{Before: func(context.Context, memory.Op, core.Key) error {
			if storeDown.Load() {
				return trace.ConnectionProblem(nil, "down")
			}
			return nil
		}}
		first := &lease.Lease{Store: store, Name: "ranks", Holder: "a/1", TTL: ttl, RenewInterval: time.Second}
		stop := runContender(t, first)
		time.Sleep(2 * time.Second)
		token, ok := first.Held()
		if !ok {
			t.Fatal("the first contender did not acquire the lease")
		}
		// The process is restarted without having released the lease.
		var holderEnded atomic.Bool
		second := &lease.Lease{
			Store: store, Name: "ranks", Holder: "a/2", TTL: ttl, RenewInterval: time.Second,
			Ended: func(holder string) bool { return holderEnded.Load() && holder == "a/1" },
		}
		// The contenders are offset in time, so that neither always writes between
		// the other's read and write.
		time.Sleep(300 * time.Millisecond)
		stop2 := runContender(t, second)
		time.Sleep(5 * time.Second)
		if _, ok := second.Held(); ok {
			t.Fatal("both contenders hold the lease")
		}
		if second.HighestToken() != token {
			t.Fatalf("the contender has seen token %d, want %d", second.HighestToken(), token)
		}
		holderEnded.Store(true)
		// The contender checks within one renewal interval, and the former holder
		// notices the new term within another.
		time.Sleep(2500 * time.Millisecond)
		if last, ok := first.LastToken(); ok {
			t.Fatalf("the former holder still uses token %d", last)
		}
		if next, ok := second.Held(); !ok || next <= token {
			t.Fatalf("the lease was not acquired: token %d after %d", next, token)
		}
		// In an outage no process holds the lease, and LastToken still returns the
		// token of the last holder.
		storeDown.Store(true)
		time.Sleep(2 * ttl)
		next, ok := second.LastToken()
		if _, held := second.Held(); held || !ok || next <= token {
			t.Fatalf("in an outage: held %t, last token %d %t", held, next, ok)
		}
		stop()
		stop2()
	})
}

// TestAliveHolder guards against a contender that reads the lease in each renewal
// interval although it knows that the holder is running, and against one that
// then detects the end of the holder too late.
func TestAliveHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reads atomic.Int64
		store := &memory.Store{Before: func(_ context.Context, op memory.Op, _ core.Key) error {
			if op == memory.OpGet {
				reads.Add(1)
			}
			return nil
		}}
		first := &lease.Lease{Store: store, Name: "ranks", Holder: "a/1", TTL: ttl, RenewInterval: time.Second}
		stop := runContender(t, first)
		time.Sleep(500 * time.Millisecond)
		var holderEnded atomic.Bool
		second := &lease.Lease{
			Store: store, Name: "ranks", Holder: "b/1", TTL: ttl, RenewInterval: time.Second,
			Ended: func(string) bool { return holderEnded.Load() },
			Alive: func(string) bool { return !holderEnded.Load() },
		}
		stop2 := runContender(t, second)
		time.Sleep(time.Second)
		before := reads.Load()
		time.Sleep(30 * time.Second)
		if n := reads.Load() - before; n > 11 {
			t.Errorf("%d reads in 30 renewal intervals of a holder that is known to be running", n)
		}
		holderEnded.Store(true)
		time.Sleep(600 * time.Millisecond)
		if _, ok := second.Held(); !ok {
			t.Error("the contender did not detect the end of the holder within half a renewal interval")
		}
		stop()
		stop2()
	})
}
