package lease_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
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

// store is a fake of the object API. It delays calls, loses responses, applies
// some lost writes later, has outages and comes back from copies.
type store struct {
	core.Store
	mu         sync.Mutex
	rng        *rand.Rand
	faultRate  float64
	down       bool
	obj        core.Object // deleted or without a version if there is none
	lateWrites sync.WaitGroup
	// era counts how often the store has come back from a copy, and revision is its last
	// one in this era. copiedObj and copiedRevision are the copy.
	era, revision  uint64
	copiedObj      core.Object
	copiedRevision uint64
}

// takeCopy takes a copy of the store.
func (s *store) takeCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copiedObj, s.copiedRevision = s.obj, s.revision
}

// restore brings the store back from the last copy.
func (s *store) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.obj, s.revision = s.copiedObj, s.copiedRevision
	if s.obj.Version != 0 {
		s.obj.Version = core.NewVersion(s.era, core.Revision(s.obj.Version))
	}
}

// client is the store as one contender reaches it. It knows the era that the last response
// has named.
type client struct {
	*store
	known atomic.Uint64
}

func (c *client) Era() uint64 { return c.known.Load() }

// learn records the era of a response if it has arrived.
func (c *client) learn(era *uint64, err error) {
	if !errors.Is(err, errResponseLost) && *era > c.known.Load() {
		c.known.Store(*era)
	}
}

func (c *client) Get(ctx context.Context, _ core.Key) (core.Object, error) {
	var era uint64
	obj, err := c.call(ctx, func() (core.Object, error) {
		era = c.era
		if !c.exists() {
			return core.Object{}, trace.NotFound("no lease")
		}
		return c.obj, nil
	})
	c.learn(&era, err)
	return obj, err
}

func (c *client) Create(ctx context.Context, obj core.Object) (core.Object, error) {
	var era uint64
	written, err := c.call(ctx, func() (core.Object, error) {
		era = c.era
		if c.exists() {
			return core.Object{}, trace.AlreadyExists("lease exists")
		}
		return c.put(obj), nil
	})
	c.learn(&era, err)
	return written, err
}

// Update compares revisions without eras, as a store does, and then reports a change of the
// era, as the adapter does.
func (c *client) Update(ctx context.Context, obj core.Object) (core.Object, error) {
	if known := c.Era(); core.Era(obj.Version) != known {
		return core.Object{}, trace.CompareFailed("version of era %d in era %d", core.Era(obj.Version), known)
	}
	var era uint64
	written, err := c.call(ctx, func() (core.Object, error) {
		era = c.era
		if !c.exists() || core.Revision(c.obj.Version) != core.Revision(obj.Version) {
			return core.Object{}, trace.CompareFailed("version differs")
		}
		written := c.put(obj)
		if era != core.Era(obj.Version) {
			return core.Object{}, trace.CompareFailed("version of era %d in era %d", core.Era(obj.Version), era)
		}
		return written, nil
	})
	c.learn(&era, err)
	return written, err
}

func (c *client) Delete(ctx context.Context, obj core.Object) (core.Object, error) {
	obj.Deleted = true
	return c.Update(ctx, obj)
}

var errResponseLost = trace.ConnectionProblem(nil, "response lost")

// call runs f with random delays and faults.
func (s *store) call(ctx context.Context, f func() (core.Object, error)) (core.Object, error) {
	s.mu.Lock()
	before, after := s.delay(), s.delay()
	lost, delayed := s.rng.Float64() < s.faultRate, s.rng.Float64() < s.faultRate
	s.mu.Unlock()
	apply := func() (core.Object, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.down {
			return core.Object{}, trace.ConnectionProblem(nil, "store is down")
		}
		return f()
	}
	if delayed {
		s.lateWrites.Go(func() {
			time.Sleep(before + after)
			_, _ = apply()
		})
		return core.Object{}, errResponseLost
	}
	time.Sleep(before)
	obj, err := apply()
	time.Sleep(after)
	if lost || ctx.Err() != nil {
		return core.Object{}, errResponseLost
	}
	return obj, err
}

// delay returns mostly short times, but some longer than the TTL: the process may
// be paused before it sends a call, before it receives the response, or in
// between.
func (s *store) delay() time.Duration {
	d := time.Duration(s.rng.IntN(20_000)) * time.Microsecond
	if s.rng.Float64() < s.faultRate/3 {
		d += time.Duration(s.rng.IntN(15_000)) * time.Millisecond
	}
	return d
}

func (s *store) exists() bool { return s.obj.Version != 0 && !s.obj.Deleted }

func (s *store) put(obj core.Object) core.Object {
	s.revision++
	obj.Version = core.NewVersion(s.era, s.revision)
	s.obj = obj
	return obj
}

func (s *store) Get(ctx context.Context, _ core.Key) (core.Object, error) {
	return s.call(ctx, func() (core.Object, error) {
		if !s.exists() {
			return core.Object{}, trace.NotFound("no lease")
		}
		return s.obj, nil
	})
}

func (s *store) Create(ctx context.Context, obj core.Object) (core.Object, error) {
	return s.call(ctx, func() (core.Object, error) {
		if s.exists() {
			return core.Object{}, trace.AlreadyExists("lease exists")
		}
		return s.put(obj), nil
	})
}

func (s *store) Update(ctx context.Context, obj core.Object) (core.Object, error) {
	return s.call(ctx, func() (core.Object, error) {
		if !s.exists() || s.obj.Version != obj.Version {
			return core.Object{}, trace.CompareFailed("version differs")
		}
		return s.put(obj), nil
	})
}

func (s *store) Delete(ctx context.Context, obj core.Object) (core.Object, error) {
	obj.Deleted = true
	return s.Update(ctx, obj)
}

// driftingClock is a clock with its own origin and rate whose Sleep sometimes
// takes longer, as if the process was paused.
type driftingClock struct {
	clock.Real
	origin time.Time
	rate   float64
	store  *store
}

func (c *driftingClock) Now() time.Time {
	return c.origin.Add(time.Duration(float64(time.Since(c.origin)) * c.rate))
}

func (c *driftingClock) Sleep(ctx context.Context, d time.Duration) error {
	d = time.Duration(float64(d) / c.rate)
	c.store.mu.Lock()
	d += 2 * c.store.delay()
	c.store.mu.Unlock()
	return c.Real.Sleep(ctx, d)
}

// startContender starts a contender and returns a function that stops it and
// waits for its end.
func startContender(l *lease.Lease) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = l.Run(ctx) }()
	return func() { cancel(); <-done }
}

type contender struct {
	*lease.Lease
	stop func()
}

// raceContenders subjects contenders to random faults and checks every 10 ms that
// at most one holds the lease, and that each new holder has a higher token.
// With eras the store sometimes comes back from a copy.
func raceContenders(seed uint64, n int, faultRate float64, steps int, eras bool) error {
	rng := rand.New(rand.NewPCG(seed, 0))
	s := &store{rng: rand.New(rand.NewPCG(seed, 1)), faultRate: faultRate}
	contenders := make([]contender, n)
	start := func(i int) {
		c := &client{store: s}
		l := &lease.Lease{
			Store: c, Era: c.Era, Name: "group", Holder: fmt.Sprint("entry-", i), TTL: ttl,
			Clock: &driftingClock{origin: time.Now(), rate: 0.96 + 0.08*rng.Float64(), store: s},
		}
		contenders[i] = contender{l, startContender(l)}
	}
	for i := range contenders {
		start(i)
	}
	var highest uint64
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
				if token < highest || token == highest && c.Lease != holder {
					return fmt.Errorf("%s holds token %d after token %d", c.Holder, token, highest)
				}
				highest, holder = token, c.Lease
			}
			if held > 1 {
				return fmt.Errorf("%d holders at once", held)
			}
		}
		return nil
	}
	setFaults := func(down bool, faults float64) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.down, s.faultRate = down, faults
	}
	err := func() error {
		for range steps {
			setFaults(rng.Float64() < faultRate, faultRate)
			if eras && rng.Float64() < 0.3 {
				s.takeCopy()
			}
			if eras && rng.Float64() < 0.2 {
				s.restore()
			}
			if i := rng.IntN(n); rng.Float64() < faultRate {
				contenders[i].stop()
				start(i)
			}
			if err := watch(time.Duration(rng.IntN(20_000)) * time.Millisecond); err != nil {
				return err
			}
		}
		setFaults(false, 0)
		if err := watch(2 * time.Minute); err != nil {
			return err
		}
		if holder == nil || !isHeld(holder) {
			return fmt.Errorf("no contender holds the lease after the faults ended")
		}
		return nil
	}()
	for _, c := range contenders {
		c.stop()
	}
	s.lateWrites.Wait()
	return err
}

func isHeld(l *lease.Lease) bool {
	_, ok := l.Held()
	return ok
}

// Guards against two holders at once and against tokens that do not increase,
// under pauses, lost and late responses, outages, restarts and drifting clocks.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		n := rapid.IntRange(2, 3).Draw(rt, "contenders")
		faultRate := rapid.SampledFrom([]float64{0, 0.05, 0.2, 0.5}).Draw(rt, "faults")
		steps := rapid.IntRange(1, 30).Draw(rt, "steps")
		var err error
		eras := rapid.Bool().Draw(rt, "eras")
		synctest.Test(t, func(*testing.T) { err = raceContenders(seed, n, faultRate, steps, eras) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// Guards against a token that changes on renewal, against a contender that waits
// for the TTL although the lease was released, and against a token that does not
// increase with a new holder.
func TestRenewalKeepsTokenAndReleaseIsPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{rng: rand.New(rand.NewPCG(1, 1))}
		first := &lease.Lease{Store: s, Name: "group", Holder: "a", Clock: clock.Real{}}
		second := &lease.Lease{Store: s, Name: "group", Holder: "b", Clock: clock.Real{}}
		stop := startContender(first)
		time.Sleep(time.Second)
		defer startContender(second)()
		token, ok := first.Held()
		time.Sleep(time.Minute)
		again, still := first.Held()
		if _, both := second.Held(); !ok || !still || both || token != again {
			t.Fatalf("token %d (held %v), then %d (held %v); other contender holds the lease: %v", token, ok, again, still, both)
		}
		stop()
		time.Sleep(ttl / 2)
		if next, ok := second.Held(); !ok || next <= token {
			t.Fatalf("after the release the other contender has token %d, held %v", next, ok)
		}
	})
}

// Guards against a holder that keeps the lease after it has read that the object
// was deleted or overwritten by another writer.
func TestHolderNoticesLoss(t *testing.T) {
	for _, deleted := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := &store{rng: rand.New(rand.NewPCG(1, 1))}
			l := &lease.Lease{Store: s, Name: "group", Holder: "a"}
			defer startContender(l)()
			time.Sleep(time.Second)
			before, _ := l.Held()
			s.mu.Lock()
			s.put(core.Object{Writer: "operator", Deleted: deleted})
			s.mu.Unlock()
			time.Sleep(ttl/4 + 100*time.Millisecond)
			if isHeld(l) {
				t.Fatal("lease is still held; object deleted:", deleted)
			}
			time.Sleep(2 * ttl)
			if after, ok := l.Held(); !ok || after <= before {
				t.Fatalf("token %d after %d, held %v; object deleted: %v", after, before, ok, deleted)
			}
		})
	}
}

// Guards against a Run that accepts missing fields.
func TestRunRefusesMissingFields(t *testing.T) {
	if err := (&lease.Lease{}).Run(t.Context()); !trace.IsBadParameter(err) {
		t.Fatal(err)
	}
}
