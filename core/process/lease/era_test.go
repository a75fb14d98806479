package lease_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/lease"
)

// newEraStore returns a store without faults.
func newEraStore() *store { return &store{rng: rand.New(rand.NewPCG(1, 1))} }

// newEraLease returns a contender for the lease of the store.
func newEraLease(s *store, holder string) *lease.Lease {
	c := &client{store: s}
	return &lease.Lease{Store: c, Era: c.Era, Name: "group", Holder: holder, TTL: ttl, RenewInterval: time.Second}
}

// Guards against a holder that is without the lease for long, or keeps its old token, after
// the store has lost its lease: with it gone, or with that of a former holder in its place.
func TestHolderKeepsLeaseInNewEra(t *testing.T) {
	for _, former := range []bool{false, true} {
		t.Run(fmt.Sprintf("former holder %t", former), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newEraStore()
				if former {
					s.put(core.Object{Writer: "gone/1"})
				}
				s.takeCopy()
				holder, other := newEraLease(s, "a/1"), newEraLease(s, "b/1")
				other.Ended = func(holder string) bool { return strings.HasPrefix(holder, "gone/") }
				holder.Ended = other.Ended
				stop := startContender(holder)
				defer stop()
				time.Sleep(2 * time.Second)
				defer startContender(other)()
				time.Sleep(3 * ttl)
				before, ok := holder.Held()
				if !ok {
					t.Fatal("the contender does not hold the lease")
				}
				s.restore()
				for range 300 {
					time.Sleep(100 * time.Millisecond)
					if _, ok := holder.Held(); !ok {
						t.Fatal("the holder has lost the lease")
					}
					if _, ok := other.Held(); ok {
						t.Fatal("both hold the lease")
					}
				}
				after, _ := holder.Held()
				if core.Era(after) != 1 || after <= before {
					t.Fatalf("token %d of era %d after %d", after, core.Era(after), before)
				}
				if other.HighestToken() != after {
					t.Errorf("the other contender has seen token %d, want %d", other.HighestToken(), after)
				}
				// A release is still prompt, although a missing lease may be a lost one.
				stop()
				time.Sleep(2 * time.Second)
				if _, ok := other.Held(); !ok {
					t.Error("the released lease was not acquired")
				}
			})
		})
	}
}

// Guards against a second holder beside one that the store has lost, which goes on until
// its term ends since it does not reach the store: one that finds no lease, one whose holder
// has ended, and one that has just started.
func TestNoHolderBesideLostOne(t *testing.T) {
	for _, fresh := range []bool{false, true} {
		for _, former := range []bool{false, true} {
			t.Run(fmt.Sprintf("fresh %t, former holder %t", fresh, former), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newEraStore()
					if former {
						s.put(core.Object{Writer: "gone/1"})
					}
					s.takeCopy()
					holder := newEraLease(s, "a/1")
					holder.Ended = func(holder string) bool { return strings.HasPrefix(holder, "gone/") }
					cut := &cutStore{Store: holder.Store}
					holder.Store = cut
					defer startContender(holder)()
					time.Sleep(2 * time.Second)
					other := newEraLease(s, "b/1")
					other.Ended = holder.Ended
					if !fresh {
						defer startContender(other)()
						time.Sleep(2 * ttl)
					}
					cut.cut.Store(true)
					s.restore()
					if fresh {
						defer startContender(other)()
					}
					for range 300 {
						time.Sleep(100 * time.Millisecond)
						_, lost := holder.Held()
						if _, ok := other.Held(); ok && lost {
							t.Fatal("both hold the lease")
						}
					}
					token, ok := other.Held()
					last, _ := holder.LastToken()
					if !ok || token <= last {
						t.Fatalf("held %t with token %d after %d", ok, token, last)
					}
				})
			})
		}
	}
}

// cutStore is a store that one contender does not reach while it is cut off.
type cutStore struct {
	core.Store
	cut atomic.Bool
}

func (c *cutStore) Get(ctx context.Context, key core.Key) (core.Object, error) {
	if c.cut.Load() {
		return core.Object{}, errResponseLost
	}
	return c.Store.Get(ctx, key)
}

func (c *cutStore) Create(ctx context.Context, obj core.Object) (core.Object, error) {
	if c.cut.Load() {
		return core.Object{}, errResponseLost
	}
	return c.Store.Create(ctx, obj)
}

func (c *cutStore) Update(ctx context.Context, obj core.Object) (core.Object, error) {
	if c.cut.Load() {
		return core.Object{}, errResponseLost
	}
	return c.Store.Update(ctx, obj)
}

// Guards against a contender that waits for the TTL in each later era, since it takes the
// first era that it sees for a new one: at its start, and for a holder that has ended.
func TestStartInLaterEra(t *testing.T) {
	for _, former := range []bool{false, true} {
		t.Run(fmt.Sprintf("former holder %t", former), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newEraStore()
				s.restore()
				if former {
					s.put(core.Object{Writer: "gone/1"})
				}
				l := newEraLease(s, "a/1")
				l.Fenced = true
				l.Ended = func(holder string) bool { return strings.HasPrefix(holder, "gone/") }
				defer startContender(l)()
				time.Sleep(2 * time.Second)
				if _, ok := l.Held(); ok != former {
					t.Errorf("held %t after 2 s", ok)
				}
				// Without a lease, one that the store has lost may still be held.
				time.Sleep(ttl)
				if _, ok := l.Held(); !ok {
					t.Error("not held after the TTL")
				}
			})
		})
	}
}
