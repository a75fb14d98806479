package rebal

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/version/commit"
	"parsleyroute.example/core/version/expert"
	"parsleyroute.example/core/wire"
)

// Lease is the group's lease as this process knows it.
type Lease interface {
	// Held returns the fencing token, and whether the lease is held now.
	Held() (token uint64, ok bool)
}

// epochBits leaves each token about a million epochs of its own.
const epochBits = 20

// RankAgent is a rank's agent as the leader meets it; commit.Client is one.
type RankAgent interface {
	Inspect(ctx context.Context, ballot core.Ballot) (core.RankState, error)
	Stage(ctx context.Context, ballot core.Ballot, m *core.ExpertMap) (int, error)
	Load(ctx context.Context) (core.ExpertLoad, error)
}

// Switcher is the decider as the leader meets it; commit.Client is one.
type Switcher interface {
	Switch(ctx context.Context, token, epoch uint64) error
}

// Controller runs the rounds of one group. Set the fields before Run.
type Controller struct {
	Group    string
	Shape    expert.Shape
	Ranks    []RankAgent
	Switcher Switcher
	Lease    Lease
	Store    core.Store
	Placer   core.Placer
	Clock    core.Clock
	Logger   log.Logger
	// Writer names this instance in the store.
	Writer string
	// LoadAverage averages the loads.
	LoadAverage expert.Decay
	// MinRoundInterval is the least time between rounds; zero means 1 s. Slow placements
	// lengthen it up to MaxRoundInterval, which is 10 s if zero.
	MinRoundInterval, MaxRoundInterval time.Duration
	// LeaseCheckInterval is the time between looks at the lease while a round runs; zero
	// means 50 ms.
	LeaseCheckInterval time.Duration
	// StageTimeout bounds the staging of a map on all ranks and SwitchTimeout
	// the switch; zero means 2 min and 30 s.
	StageTimeout, SwitchTimeout time.Duration

	stop context.CancelFunc
	mu   sync.Mutex // guards stop
	wg   sync.WaitGroup

	// The rest is owned by the goroutine that calls Step.
	token   uint64
	record  core.Object
	current *core.ExpertMap
	nonce   uint64
	last    time.Time
	// placing is the time that the last placement took.
	placing time.Duration
	used    uint64 // last epoch given to a map
}

// Run makes rounds until ctx ends or Close is called.
func (c *Controller) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	c.stop = cancel
	c.wg.Add(1)
	c.mu.Unlock()
	defer c.wg.Done()
	for {
		if err := c.Step(ctx); err != nil && ctx.Err() == nil {
			meter.Event("rebal_failed")
			if c.Logger != nil {
				_ = level.Warn(c.Logger).Log("msg", "rebalancing round failed", "group", c.Group, "err", err)
			}
		}
		if c.Clock.Sleep(ctx, c.pause()) != nil {
			return nil
		}
	}
}

// placeShare is the inverse of the share of a core that placements may take:
// 1.5% is what a node may spend on control.
const placeShare = 66

// pause returns the time to the next round. MaxRound goes before the share of
// a core, because a shift of the load must be answered within seconds.
func (c *Controller) pause() time.Duration {
	least := orDefault(c.MinRoundInterval, time.Second)
	most := max(least, orDefault(c.MaxRoundInterval, 10*time.Second))
	return min(max(least, placeShare*c.placing), most)
}

// Close ends Run and waits for it.
func (c *Controller) Close() {
	c.mu.Lock()
	stop := c.stop
	c.mu.Unlock()
	if stop != nil {
		stop()
	}
	c.wg.Wait()
}

func orDefault(d, def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return d
}

// Step makes one round. It does nothing without the lease.
func (c *Controller) Step(ctx context.Context) error {
	token, ok := c.Lease.Held()
	if !ok {
		c.forget()
		return nil
	}
	if token != c.token {
		c.forget()
		c.token = token
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.watch(ctx, cancel, token)
	}()
	err := c.round(ctx)
	cancel()
	<-done
	if err != nil && !c.held() {
		meter.Event("rebal_lease_lost")
		return trace.CompareFailed("the lease of group %s was lost in a round: %v", c.Group, err)
	}
	return err
}

// watch cancels the round's calls once the lease is not held.
func (c *Controller) watch(ctx context.Context, cancel func(), token uint64) {
	for c.Clock.Sleep(ctx, orDefault(c.LeaseCheckInterval, 50*time.Millisecond)) == nil {
		if t, ok := c.Lease.Held(); !ok || t != token {
			cancel()
			return
		}
	}
}

func (c *Controller) held() bool {
	t, ok := c.Lease.Held()
	return ok && t == c.token
}

func (c *Controller) checkLease() error {
	if !c.held() {
		c.forget()
		return trace.CompareFailed("the lease of group %s is not held", c.Group)
	}
	return nil
}

// forget drops what was learned under the lease.
func (c *Controller) forget() {
	c.token, c.current, c.record = 0, nil, core.Object{}
	c.last = time.Time{}
}

func (c *Controller) round(ctx context.Context) error {
	states, err := all(ctx, c.Ranks, func(ctx context.Context, r RankAgent) (core.RankState, error) {
		return r.Inspect(ctx, core.Ballot{})
	})
	if err != nil {
		meter.Event("rebal_rank_unreachable")
		return trace.Wrap(err)
	}
	var newest uint64
	for _, s := range states {
		if s.PromisedBallot.Token > c.token {
			meter.Event("rebal_newer_leader")
			return trace.CompareFailed("group %s has seen token %d, ours is %d", c.Group, s.PromisedBallot.Token, c.token)
		}
		newest = max(newest, s.ActiveEpoch, s.PromisedEpoch)
		for _, e := range s.StagedEpochs {
			newest = max(newest, e)
		}
	}
	if c.current == nil {
		if err := c.read(ctx); err != nil {
			return err
		}
	}
	if err := c.help(ctx, states); err != nil {
		return err
	}
	for _, s := range states {
		if s.ActiveEpoch != 0 && s.ActiveEpoch != c.current.Epoch && s.PromisedEpoch == 0 {
			// A leader was lost between the switch and the record, and nobody
			// knows the slots of the active map any more. The recorded map is
			// made active again under a new epoch.
			meter.Event("rebal_unrecorded_map")
			return c.apply(ctx, c.current.Clone(), newest)
		}
	}
	load, err := c.load(ctx)
	if err != nil || load == nil {
		return err
	}
	start := c.Clock.Now()
	next := c.Placer.Place(c.current, load)
	c.placing = c.Clock.Now().Sub(start)
	if next == nil {
		meter.Event("rebal_kept")
		return nil
	}
	return c.apply(ctx, next, newest)
}

// help stages the recorded map on ranks that join without it, so that the
// decider can admit them.
func (c *Controller) help(ctx context.Context, states []core.RankState) error {
	for i, s := range states {
		if s.ActiveEpoch != 0 || contains(s.StagedEpochs, c.current.Epoch) {
			continue
		}
		if err := c.checkLease(); err != nil {
			return err
		}
		meter.Event("rebal_rank_joining")
		if _, err := c.Ranks[i].Stage(ctx, core.Ballot{Token: c.token}, c.current); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func contains(epochs []uint64, e uint64) bool {
	for _, x := range epochs {
		if x == e {
			return true
		}
	}
	return false
}

// load returns the average load of the group, or nil in the first round, whose
// counts cover an unknown time.
func (c *Controller) load(ctx context.Context) (core.ExpertLoad, error) {
	loads, err := all(ctx, c.Ranks, func(ctx context.Context, r RankAgent) (core.ExpertLoad, error) { return r.Load(ctx) })
	if err != nil {
		meter.Event("rebal_rank_unreachable")
		c.last = time.Time{}
		return nil, trace.Wrap(err)
	}
	sum := make(core.ExpertLoad, c.Shape.Layers)
	for l := range sum {
		sum[l] = make([]float64, c.Shape.Experts)
	}
	for r, load := range loads {
		if len(load) != c.Shape.Layers {
			return nil, trace.BadParameter("rank %d reports %d layers, want %d", r, len(load), c.Shape.Layers)
		}
		for l, row := range load {
			if len(row) != c.Shape.Experts {
				return nil, trace.BadParameter("rank %d reports %d experts, want %d", r, len(row), c.Shape.Experts)
			}
			for e, v := range row {
				sum[l][e] += v
			}
		}
	}
	now := c.Clock.Now()
	last := c.last
	c.last = now
	if last.IsZero() || !now.After(last) {
		return nil, nil
	}
	return c.LoadAverage.Add(sum, now.Sub(last)), nil
}

// apply stages m under an epoch above newest, switches to it and records it.
func (c *Controller) apply(ctx context.Context, m *core.ExpertMap, newest uint64) error {
	// No two maps get the same epoch, not even those of two leaders: a rank may
	// still load a map that a lost leader has staged, and would use it in place
	// of this one.
	m.Epoch = max(newest, c.current.Epoch, c.used, c.token<<epochBits) + 1
	c.used = m.Epoch
	if err := c.checkLease(); err != nil {
		return err
	}
	sctx, cancel := context.WithTimeout(ctx, orDefault(c.StageTimeout, 2*time.Minute))
	moved, err := all(sctx, c.Ranks, func(ctx context.Context, r RankAgent) (int, error) {
		return r.Stage(ctx, core.Ballot{Token: c.token}, m)
	})
	cancel()
	if err != nil {
		meter.Event("rebal_stage_failed")
		return trace.Wrap(err)
	}
	if err := c.checkLease(); err != nil {
		return err
	}
	wctx, cancel := context.WithTimeout(ctx, orDefault(c.SwitchTimeout, 30*time.Second))
	err = c.Switcher.Switch(wctx, c.token, m.Epoch)
	cancel()
	if err != nil {
		meter.Event("rebal_switch_failed")
		return trace.Wrap(err)
	}
	meter.Event("rebal_switched")
	for _, n := range moved {
		meter.Events("rebal_moves", int64(n))
	}
	if err := c.checkLease(); err != nil {
		return err
	}
	return c.write(ctx, m)
}

// read takes the recorded map, or makes the first one.
func (c *Controller) read(ctx context.Context) error {
	obj, err := c.Store.Get(ctx, c.key())
	if trace.IsNotFound(err) {
		c.record = core.Object{Key: c.key()}
		c.current, err = expert.Uniform(c.Shape, 1)
		return trace.Wrap(err)
	}
	if err != nil {
		meter.Event("rebal_store_failed")
		return trace.Wrap(err)
	}
	var w wire.ExpertMap
	if err := proto.Unmarshal(obj.Value, &w); err != nil {
		return trace.BadParameter("map of group %s cannot be decoded: %v", c.Group, err)
	}
	m := commit.MapFromWire(&w)
	if err := expert.Check(m); err != nil {
		return trace.Wrap(err)
	}
	if expert.ShapeOf(m) != c.Shape {
		return trace.BadParameter("map of group %s has shape %+v, want %+v", c.Group, expert.ShapeOf(m), c.Shape)
	}
	c.record, c.current = obj, m
	return nil
}

func (c *Controller) key() core.Key { return core.Key{Kind: core.KindMap, Name: c.Group} }

// write records the committed map if no other leader has written since.
func (c *Controller) write(ctx context.Context, m *core.ExpertMap) error {
	value, err := proto.Marshal(commit.MapToWire(m))
	if err != nil {
		return trace.BadParameter("map of group %s cannot be encoded: %v", c.Group, err)
	}
	c.nonce++
	obj := core.Object{
		Key: c.key(), Version: c.record.Version, Writer: c.Writer,
		Nonce: strconv.FormatUint(c.token, 10) + "." + strconv.FormatUint(c.nonce, 10), Value: value,
	}
	var out core.Object
	if obj.Version == 0 {
		out, err = c.Store.Create(ctx, obj)
	} else {
		out, err = c.Store.Update(ctx, obj)
	}
	if trace.IsConnectionProblem(err) {
		// The write may have taken effect.
		if got, e := c.Store.Get(ctx, c.key()); e == nil && got.Writer == obj.Writer && got.Nonce == obj.Nonce {
			out, err = got, nil
		}
	}
	if err != nil {
		// The next round reads the record and brings group and record together.
		meter.Event("rebal_record_failed")
		c.current = nil
		return trace.Wrap(err)
	}
	c.record, c.current = out, m
	return nil
}

// all calls f for all ranks at once and returns the results by rank, or the
// error of the first rank that failed.
func all[T any](ctx context.Context, ranks []RankAgent, f func(context.Context, RankAgent) (T, error)) ([]T, error) {
	out := make([]T, len(ranks))
	errs := make([]error, len(ranks))
	var wg sync.WaitGroup
	for i, r := range ranks {
		wg.Go(func() { out[i], errs[i] = f(ctx, r) })
	}
	wg.Wait()
	for i, err := range errs {
		if err != nil {
			return nil, trace.Wrap(err, "rank %d", i)
		}
	}
	return out, nil
}
