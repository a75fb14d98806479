package crash_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gravitational/trace"
	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/core/suite/memory"
	"parsleyroute.example/gate/process/crash"
	"parsleyroute.example/gate/process/policy"
)

const popular, crashing = 7, 8

// gate is a gate with nothing but the crashes that it knows.
type gate struct {
	policy.Containment
	stop func()
}

func startGate(t *testing.T, store core.Store, writer bool) *gate {
	ctx, cancel := context.WithCancel(t.Context())
	g, done := &gate{}, make(chan struct{})
	s := &crash.Saver{Store: store, Containment: &g.Containment, IsWriter: func() bool { return writer }}
	go func() { defer close(done); s.Run(ctx) }()
	g.stop = func() { cancel(); <-done }
	t.Cleanup(g.stop)
	return g
}

func (g *gate) contains(parts ...uint64) func() bool {
	return func() bool {
		return g.Check(time.Now(), policy.Request{Parts: parts}, policy.Position{Gates: 1}).Contained
	}
}

// record returns the version of the record in the store, zero if there is none.
func record(store core.Store) func() uint64 {
	return func() uint64 {
		o, _ := store.Get(context.Background(), core.Key{Kind: core.KindCrash, Name: "main"})
		return o.Version
	}
}

// Guards against a further crash after all gates have ended, and against parts that
// stay contained for later gates although upstreams have responded to them.
func TestCrashesOutliveGates(t *testing.T) {
	g := NewWithT(t)
	store := &memory.Store{}
	first := startGate(t, store, true)
	first.Success(time.Now(), popular)
	first.Observe(policy.Crash{ID: 1, Upstream: 1, Parts: []uint64{popular, crashing}, At: time.Now()})
	g.Eventually(record(store), "3s").ShouldNot(BeZero())
	first.stop()

	second := startGate(t, store, true)
	g.Eventually(second.contains(popular, crashing), "3s").Should(BeTrue())
	g.Expect(second.contains(popular)()).To(BeFalse())
	version := record(store)()
	second.Success(time.Now().Add(time.Millisecond), crashing)
	g.Eventually(record(store), "3s").ShouldNot(Equal(version))
	second.stop()

	third := startGate(t, store, false)
	g.Consistently(third.contains(popular, crashing), "500ms").Should(BeFalse())
}

// Guards against a record that is lost because two gates save at the same time or the
// store is down, and against a write for each request.
func TestSaversOfOneRecord(t *testing.T) {
	g := NewWithT(t)
	var writes atomic.Int32
	var down atomic.Bool
	down.Store(true)
	store := &memory.Store{Before: func(_ context.Context, op memory.Op, _ core.Key) error {
		if down.Load() {
			return trace.ConnectionProblem(nil, "down")
		}
		if op.IsWrite() {
			writes.Add(1)
		}
		return nil
	}}
	a, b := startGate(t, store, true), startGate(t, store, true)
	a.Observe(policy.Crash{ID: 1, Upstream: 1, Parts: []uint64{crashing}, At: time.Now()})
	b.Observe(policy.Crash{ID: 2, Upstream: 2, Parts: []uint64{crashing + 1}, At: time.Now()})
	time.Sleep(300 * time.Millisecond)
	down.Store(false)
	g.Eventually(func() bool {
		later := startGate(t, store, false)
		time.Sleep(100 * time.Millisecond)
		return later.contains(crashing)() && later.contains(crashing+1)()
	}, "5s").Should(BeTrue())
	settled := writes.Load()
	for range 100 {
		a.Success(time.Now(), popular)
		time.Sleep(5 * time.Millisecond)
	}
	g.Expect(writes.Load()).To(BeNumerically("<=", settled+2))
}
