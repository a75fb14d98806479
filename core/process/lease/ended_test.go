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

// contend runs a contender and returns its end.
func contend(t *testing.T, l *lease.Lease) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = l.Run(ctx) }()
	return func() { cancel(); <-done }
}

// TestEndedHolder guards against a term that is waited for although its holder
// is known to have ended, against one that is taken from a living holder, and
// against a contender that does not know the token in force.
func TestEndedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var down atomic.Bool
		store := &memory.Store{Before: func(context.Context, memory.Op, core.Key) error {
			if down.Load() {
				return trace.ConnectionProblem(nil, "down")
			}
			return nil
		}}
		first := &lease.Lease{Store: store, Name: "ranks", Holder: "a/1", TTL: ttl, RenewInterval: time.Second}
		stop := contend(t, first)
		time.Sleep(2 * time.Second)
		token, ok := first.Held()
		if !ok {
			t.Fatal("the first contender did not get the lease")
		}
		// The machine starts again without its former process having released
		// the lease.
		var ended atomic.Bool
		second := &lease.Lease{
			Store: store, Name: "ranks", Holder: "a/2", TTL: ttl, RenewInterval: time.Second,
			Ended: func(holder string) bool { return ended.Load() && holder == "a/1" },
		}
		// The contenders look at different times, so that neither always writes
		// between the other's read and write.
		time.Sleep(300 * time.Millisecond)
		stop2 := contend(t, second)
		time.Sleep(5 * time.Second)
		if _, ok := second.Held(); ok {
			t.Fatal("two hold the lease")
		}
		if second.HighestToken() != token {
			t.Fatalf("the contender has seen token %d, want %d", second.HighestToken(), token)
		}
		ended.Store(true)
		// The contender looks within a renewal period, and the former holder
		// learns of it within another.
		time.Sleep(2500 * time.Millisecond)
		if last, ok := first.LastToken(); ok {
			t.Fatalf("a former holder goes on under token %d", last)
		}
		if next, ok := second.Held(); !ok || next <= token {
			t.Fatalf("the lease was not taken over: token %d after %d", next, token)
		}
		// In an outage nobody holds the lease, and the last holder can tell that
		// it is the last.
		down.Store(true)
		time.Sleep(2 * ttl)
		next, ok := second.LastToken()
		if _, held := second.Held(); held || !ok || next <= token {
			t.Fatalf("in an outage: held %t, last token %d %t", held, next, ok)
		}
		stop()
		stop2()
	})
}

// TestAliveHolder guards against a contender that reads the lease in each
// renewal although it knows the holder to run, and against one that then notices
// the holder's end late.
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
		stop := contend(t, first)
		time.Sleep(500 * time.Millisecond)
		var ended atomic.Bool
		second := &lease.Lease{
			Store: store, Name: "ranks", Holder: "b/1", TTL: ttl, RenewInterval: time.Second,
			Ended: func(string) bool { return ended.Load() },
			Alive: func(string) bool { return !ended.Load() },
		}
		stop2 := contend(t, second)
		time.Sleep(time.Second)
		before := reads.Load()
		time.Sleep(30 * time.Second)
		if n := reads.Load() - before; n > 11 {
			t.Errorf("%d reads in 30 renewals of a holder that is known to run", n)
		}
		ended.Store(true)
		time.Sleep(600 * time.Millisecond)
		if _, ok := second.Held(); !ok {
			t.Error("the contender noticed the holder's end later than in half a renewal")
		}
		stop()
		stop2()
	})
}
