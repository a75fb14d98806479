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

// epochBitsPerToken is the number of low bits of an epoch that count the maps of
// one fencing token, so that each token has about a million epochs.
const epochBitsPerToken = 20

// RankAgent is the interface of the leader to a rank's agent. commit.Client
// implements it.
type RankAgent interface {
	Inspect(ctx context.Context, ballot core.Ballot) (core.RankState, error)
	Stage(ctx context.Context, ballot core.Ballot, m *core.ExpertMap) (int, error)
	Load(ctx context.Context) (core.ExpertLoad, error)
}

// Switcher is the interface of the leader to the coordinator. commit.Client
// implements it.
type Switcher interface {
	Switch(ctx context.Context, token, epoch uint64) error
}

// Controller runs the rebalancing rounds of one group. Set the fields before Run.
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
	// Writer is the name of this instance as a writer in the store.
	Writer string
	// LoadAverage averages the loads over time.
	LoadAverage expert.MovingAverage
	// MinRoundInterval is the minimum time between rounds; zero means 1 s. Slow
	// placements increase it up to MaxRoundInterval; zero means 10 s.
	MinRoundInterval, MaxRoundInterval time.Duration
	// LeaseCheckInterval is the time between checks of the lease during a round;
	// zero means 50 ms.
	LeaseCheckInterval time.Duration
	// StageTimeout limits the staging of a map on all ranks; zero means 2 min.
	// SwitchTimeout limits the switch; zero means 30 s.
	StageTimeout, SwitchTimeout time.Duration

	stop context.CancelFunc
	mu   sync.Mutex // guards stop
	wg   sync.WaitGroup

	// The fields below are owned by the goroutine that calls Step.
	token        uint64
	record       core.Object
	current      *core.ExpertMap
	nonce        uint64
	lastLoadTime time.Time
	// placementTime is the duration of the last placement.
	placementTime time.Duration
	lastEpoch     uint64 // last epoch that was assigned to a map
}

// Run runs rounds until ctx ends or Close is called.
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
		if c.Clock.Sleep(ctx, c.nextRoundDelay()) != nil {
			return nil
		}
	}
}

// placementDelayFactor is the minimum ratio of the time between rounds to the
// duration of a placement. It limits placements to 1.5% of a core, which is what a
// node may use for the control plane.
const placementDelayFactor = 66

// nextRoundDelay returns the time until the next round. MaxRoundInterval takes
// precedence over the limit on CPU time, because the leader must react to a
// shift of the load within seconds.
func (c *Controller) nextRoundDelay() time.Duration {
	minDelay := orDefault(c.MinRoundInterval, time.Second)
	maxDelay := max(minDelay, orDefault(c.MaxRoundInterval, 10*time.Second))
	return min(max(minDelay, placementDelayFactor*c.placementTime), maxDelay)
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

// Step runs one round. It does nothing if the lease is not held.
func (c *Controller) Step(ctx context.Context) error {
	token, ok := c.Lease.Held()
	if !ok {
		c.reset()
		return nil
	}
	if token != c.token {
		c.reset()
		c.token = token
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.cancelWithoutLease(ctx, cancel, token)
	}()
	err := c.round(ctx)
	cancel()
	<-done
	if err != nil && !c.holdsLease() {
		meter.Event("rebal_lease_lost")
		return trace.CompareFailed("the lease of group %s was lost during a round: %v", c.Group, err)
	}
	return err
}

// cancelWithoutLease cancels the calls of the round once the lease is lost.
func (c *Controller) cancelWithoutLease(ctx context.Context, cancel func(), token uint64) {
	for c.Clock.Sleep(ctx, orDefault(c.LeaseCheckInterval, 50*time.Millisecond)) == nil {
		if t, ok := c.Lease.Held(); !ok || t != token {
			cancel()
			return
		}
	}
}

func (c *Controller) holdsLease() bool {
	t, ok := c.Lease.Held()
	return ok && t == c.token
}

func (c *Controller) checkLease() error {
	if !c.holdsLease() {
		c.reset()
		return trace.CompareFailed("the lease of group %s is not held", c.Group)
	}
	return nil
}

// reset discards the state that is valid only while the lease is held.
func (c *Controller) reset() {
	c.token, c.current, c.record = 0, nil, core.Object{}
	c.lastLoadTime = time.Time{}
}

func (c *Controller) round(ctx context.Context) error {
	states, err := callAll(ctx, c.Ranks, func(ctx context.Context, r RankAgent) (core.RankState, error) {
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
			return trace.CompareFailed("group %s has seen fencing token %d, which is higher than %d", c.Group, s.PromisedBallot.Token, c.token)
		}
		newest = max(newest, s.ActiveEpoch, s.PromisedEpoch)
		for _, e := range s.StagedEpochs {
			newest = max(newest, e)
		}
	}
	if c.current == nil {
		if err := c.readRecord(ctx); err != nil {
			return err
		}
	}
	if err := c.stageForJoining(ctx, states); err != nil {
		return err
	}
	for _, s := range states {
		if s.ActiveEpoch != 0 && s.ActiveEpoch != c.current.Epoch && s.PromisedEpoch == 0 {
			// A leader failed between the switch and the record, so the slots
			// of the active map are unknown. Switch back to the recorded map
			// with a new epoch.
			meter.Event("rebal_unrecorded_map")
			return c.switchTo(ctx, c.current.Clone(), newest)
		}
	}
	load, err := c.averageLoad(ctx)
	if err != nil || load == nil {
		return err
	}
	start := c.Clock.Now()
	next := c.Placer.Place(c.current, load)
	c.placementTime = c.Clock.Now().Sub(start)
	if next == nil {
		meter.Event("rebal_kept")
		return nil
	}
	return c.switchTo(ctx, next, newest)
}

// stageForJoining stages the recorded map on joining ranks that lack it, so that
// the coordinator can admit them.
func (c *Controller) stageForJoining(ctx context.Context, states []core.RankState) error {
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

// averageLoad returns the average load of the group. It returns nil in the first
// round, because its counts cover an unknown period.
func (c *Controller) averageLoad(ctx context.Context) (core.ExpertLoad, error) {
	loads, err := callAll(ctx, c.Ranks, func(ctx context.Context, r RankAgent) (core.ExpertLoad, error) { return r.Load(ctx) })
	if err != nil {
		meter.Event("rebal_rank_unreachable")
		c.lastLoadTime = time.Time{}
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
	last := c.lastLoadTime
	c.lastLoadTime = now
	if last.IsZero() || !now.After(last) {
		return nil, nil
	}
	return c.LoadAverage.Add(sum, now.Sub(last)), nil
}

// switchTo gives m an epoch higher than newest, stages it, switches to it and
// records it.
func (c *Controller) switchTo(ctx context.Context, m *core.ExpertMap, newest uint64) error {
	// Epochs are unique, even among the maps of different leaders. A rank may
	// still be loading a map that a failed leader has staged, and would use it
	// instead of this one if both had the same epoch.
	m.Epoch = max(newest, c.current.Epoch, c.lastEpoch, c.token<<epochBitsPerToken) + 1
	c.lastEpoch = m.Epoch
	if err := c.checkLease(); err != nil {
		return err
	}
	stageCtx, cancel := context.WithTimeout(ctx, orDefault(c.StageTimeout, 2*time.Minute))
	moved, err := callAll(stageCtx, c.Ranks, func(ctx context.Context, r RankAgent) (int, error) {
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
	switchCtx, cancel := context.WithTimeout(ctx, orDefault(c.SwitchTimeout, 30*time.Second))
	err = c.Switcher.Switch(switchCtx, c.token, m.Epoch)
	cancel()
	if err != nil {
		meter.Event("rebal_switch_failed")
		return trace.Wrap(err)
	}
	meter.Event("rebal_switched")
	for _, n := range moved {
		meter.AddEvents("rebal_moves", int64(n))
	}
	if err := c.checkLease(); err != nil {
		return err
	}
	return c.writeRecord(ctx, m)
}

// readRecord loads the recorded map. If there is none, it creates the first one.
func (c *Controller) readRecord(ctx context.Context) error {
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

// writeRecord records the committed map, unless another leader has written since
// the record was read.
func (c *Controller) writeRecord(ctx context.Context, m *core.ExpertMap) error {
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
		// The next round reads the record and makes the group match it.
		meter.Event("rebal_record_failed")
		c.current = nil
		return trace.Wrap(err)
	}
	c.record, c.current = out, m
	return nil
}

// callAll calls f for all ranks concurrently. It returns the results by rank, or
// the error of the lowest rank that failed.
func callAll[T any](ctx context.Context, ranks []RankAgent, f func(context.Context, RankAgent) (T, error)) ([]T, error) {
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
