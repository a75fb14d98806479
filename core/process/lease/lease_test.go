package lease_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gravitational/trace"
	"pgregory.net/rapid"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/clock"
	"parsleyroute.example/core/process/lease"
	_ "parsleyroute.example/core/suite/seed"
)

const ttl = 10 * time.Second

// store stands in for the object API. It delays calls, loses answers, applies
// some lost writes later, and has outages.
type store struct {
	core.Store
	mu     sync.Mutex
	rng    *rand.Rand
	faults float64
	down   bool
	obj    core.Object // deleted or without a version if there is none
	late   sync.WaitGroup
}

var errLost = trace.ConnectionProblem(nil, "answer lost")

// call runs f as the store would, with faults around it.
func (s *store) call(ctx context.Context, f func() (core.Object, error)) (core.Object, error) {
	s.mu.Lock()
	before, after := s.delay(), s.delay()
	lost, late := s.rng.Float64() < s.faults, s.rng.Float64() < s.faults
	s.mu.Unlock()
	locked := func() (core.Object, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.down {
			return core.Object{}, trace.ConnectionProblem(nil, "store is down")
		}
		return f()
	}
	if late {
		s.late.Go(func() {
			time.Sleep(before + after)
			_, _ = locked()
		})
		return core.Object{}, errLost
	}
	time.Sleep(before)
	obj, err := locked()
	time.Sleep(after)
	if lost || ctx.Err() != nil {
		return core.Object{}, errLost
	}
	return obj, err
}

// delay is mostly short and at times longer than the TTL: the process may be
// paused before it sends a call, before it sees the answer, or in between.
func (s *store) delay() time.Duration {
	d := time.Duration(s.rng.IntN(20_000)) * time.Microsecond
	if s.rng.Float64() < s.faults/3 {
		d += time.Duration(s.rng.IntN(15_000)) * time.Millisecond
	}
	return d
}

func (s *store) live() bool { return s.obj.Version != 0 && !s.obj.Deleted }

func (s *store) put(obj core.Object) core.Object {
	obj.Version = s.obj.Version + 1
	s.obj = obj
	return obj
}

func (s *store) Get(ctx context.Context, _ core.Key) (core.Object, error) {
	return s.call(ctx, func() (core.Object, error) {
		if !s.live() {
			return core.Object{}, trace.NotFound("no lease")
		}
		return s.obj, nil
	})
}

func (s *store) Create(ctx context.Context, obj core.Object) (core.Object, error) {
	return s.call(ctx, func() (core.Object, error) {
		if s.live() {
			return core.Object{}, trace.AlreadyExists("lease exists")
		}
		return s.put(obj), nil
	})
}

func (s *store) Update(ctx context.Context, obj core.Object) (core.Object, error) {
	return s.call(ctx, func() (core.Object, error) {
		if !s.live() || s.obj.Version != obj.Version {
			return core.Object{}, trace.CompareFailed("version differs")
		}
		return s.put(obj), nil
	})
}

func (s *store) Delete(ctx context.Context, obj core.Object) (core.Object, error) {
	obj.Deleted = true
	return s.Update(ctx, obj)
}

// drifting is a clock with its own origin and rate that pauses its process now
// and then.
type drifting struct {
	clock.Real
	origin time.Time
	rate   float64
	store  *store
}

func (c *drifting) Now() time.Time {
	return c.origin.Add(time.Duration(float64(time.Since(c.origin)) * c.rate))
}

func (c *drifting) Sleep(ctx context.Context, d time.Duration) error {
	d = time.Duration(float64(d) / c.rate)
	c.store.mu.Lock()
	d += 2 * c.store.delay()
	c.store.mu.Unlock()
	return c.Real.Sleep(ctx, d)
}

// run starts a contender and returns what stops it and waits.
func run(l *lease.Lease) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = l.Run(ctx) }()
	return func() { cancel(); <-done }
}

type contender struct {
	*lease.Lease
	stop func()
}

// race runs contenders through faults and checks every 10 ms that at most one
// holds the lease, and that tokens grow from holder to holder.
func race(seed uint64, n int, faults float64, steps int) error {
	rng := rand.New(rand.NewPCG(seed, 0))
	s := &store{rng: rand.New(rand.NewPCG(seed, 1)), faults: faults}
	contenders := make([]contender, n)
	start := func(i int) {
		l := &lease.Lease{
			Store: s, Name: "group", Holder: fmt.Sprint("entry-", i), TTL: ttl,
			Clock: &drifting{origin: time.Now(), rate: 0.96 + 0.08*rng.Float64(), store: s},
		}
		contenders[i] = contender{l, run(l)}
	}
	for i := range contenders {
		start(i)
	}
	var top uint64
	var holder *lease.Lease
	watch := func(d time.Duration) error {
		for range d / (10 * time.Millisecond) {
			time.Sleep(10 * time.Millisecond)
			held := 0
			for _, c := range contenders {
				token, ok := c.Held()
				if !ok {
					continue
				}
				held++
				if token < top || token == top && c.Lease != holder {
					return fmt.Errorf("%s holds token %d after %d", c.Holder, token, top)
				}
				top, holder = token, c.Lease
			}
			if held > 1 {
				return fmt.Errorf("%d holders at once", held)
			}
		}
		return nil
	}
	set := func(down bool, faults float64) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.down, s.faults = down, faults
	}
	err := func() error {
		for range steps {
			set(rng.Float64() < faults, faults)
			if i := rng.IntN(n); rng.Float64() < faults {
				contenders[i].stop()
				start(i)
			}
			if err := watch(time.Duration(rng.IntN(20_000)) * time.Millisecond); err != nil {
				return err
			}
		}
		set(false, 0)
		if err := watch(2 * time.Minute); err != nil {
			return err
		}
		if holder == nil || !holds(holder) {
			return fmt.Errorf("nobody holds the lease after the faults")
		}
		return nil
	}()
	for _, c := range contenders {
		c.stop()
	}
	s.late.Wait()
	return err
}

func holds(l *lease.Lease) bool {
	_, ok := l.Held()
	return ok
}

// Guards against two holders at once and against tokens that do not grow,
// under pauses, lost and late answers, outages, restarts and drifting clocks.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		n := rapid.IntRange(2, 3).Draw(rt, "contenders")
		faults := rapid.SampledFrom([]float64{0, 0.05, 0.2, 0.5}).Draw(rt, "faults")
		steps := rapid.IntRange(1, 30).Draw(rt, "steps")
		var err error
		synctest.Test(t, func(*testing.T) { err = race(seed, n, faults, steps) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// Guards against a token that changes while the lease is only renewed, against
// a takeover that waits although the lease was released, and against a token
// that does not grow at the takeover.
func TestRenewalKeepsTokenAndReleaseIsPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{rng: rand.New(rand.NewPCG(1, 1))}
		first := &lease.Lease{Store: s, Name: "group", Holder: "a", Clock: clock.Real{}}
		second := &lease.Lease{Store: s, Name: "group", Holder: "b", Clock: clock.Real{}}
		stop := run(first)
		time.Sleep(time.Second)
		defer run(second)()
		token, ok := first.Held()
		time.Sleep(time.Minute)
		again, still := first.Held()
		if _, both := second.Held(); !ok || !still || both || token != again {
			t.Fatalf("token %d, %v, then %d, %v; other holds: %v", token, ok, again, still, both)
		}
		stop()
		time.Sleep(ttl / 2)
		if next, ok := second.Held(); !ok || next <= token {
			t.Fatalf("after the release the other has token %d, %v", next, ok)
		}
	})
}

// Guards against a holder that goes on when it sees that its lease was removed
// or written by another hand.
func TestHolderNoticesLoss(t *testing.T) {
	for _, deleted := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := &store{rng: rand.New(rand.NewPCG(1, 1))}
			l := &lease.Lease{Store: s, Name: "group", Holder: "a"}
			defer run(l)()
			time.Sleep(time.Second)
			before, _ := l.Held()
			s.mu.Lock()
			s.put(core.Object{Writer: "operator", Deleted: deleted})
			s.mu.Unlock()
			time.Sleep(ttl/4 + 100*time.Millisecond)
			if holds(l) {
				t.Fatal("still held; removed:", deleted)
			}
			time.Sleep(2 * ttl)
			if after, ok := l.Held(); !ok || after <= before {
				t.Fatalf("token %d after %d, %v; removed: %v", after, before, ok, deleted)
			}
		})
	}
}

// Guards against a Run that works with missing settings.
func TestRunRefusesMissingFields(t *testing.T) {
	if err := (&lease.Lease{}).Run(t.Context()); !trace.IsBadParameter(err) {
		t.Fatal(err)
	}
}
