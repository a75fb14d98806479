package commit

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
)

// Coordinator makes the switches of a group. It runs in the agent of rank 0. Set
// the fields before Run.
type Coordinator struct {
	// Ranks are the agents of all ranks, by rank.
	Ranks []RankAgent
	Clock core.Clock
	// MarginSteps is the number of steps from the current one to the switch; zero
	// means 8, which leaves 400 ms for the promises at 50 ms a step.
	MarginSteps uint64
	// Timeout bounds each call; zero means 1 s. StageTimeout bounds the staging
	// of a map on a joining rank; zero means 1 min.
	Timeout, StageTimeout time.Duration
	// RetryDelay is the wait before a lost order is sent again or an attempt begins
	// anew; zero means 100 ms.
	RetryDelay time.Duration
	// PollInterval is the time between two looks at the ranks while idle; zero means
	// 1 s. It bounds how long a rank that joins or holds goes unnoticed.
	PollInterval time.Duration
	// MaxAttempts bounds how often a switch is begun; zero means 5.
	MaxAttempts int

	loop loop
	wg   sync.WaitGroup
	// The rest is owned by the loop.
	m        *machine
	maps     map[uint64]*core.ExpertMap
	queue    []*request
	current  *request
	retrying bool
	polling  bool
}

type request struct {
	token, epoch uint64
	done         chan error
}

// Run serves switches until ctx ends or Close is called. It starts with a
// recovery.
func (d *Coordinator) Run(ctx context.Context) error {
	d.m = newMachine(len(d.Ranks), or(d.MarginSteps, 8))
	err := d.loop.run(ctx, func(ctx context.Context) {
		d.send(ctx, d.m.start())
		d.later(ctx, or(d.PollInterval, time.Second), d.poll)
	})
	d.wg.Wait()
	return err
}

// Close ends Run and waits for it and for all calls to peers.
func (d *Coordinator) Close() {
	d.loop.close()
	d.wg.Wait()
}

func or[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// RememberMap remembers a map for ranks that join; the agent passes each map staged on
// its own rank. The last four epochs are kept.
func (d *Coordinator) RememberMap(ctx context.Context, m *core.ExpertMap) error {
	_, err := do(ctx, &d.loop, func(context.Context) (struct{}, error) {
		if d.maps == nil {
			d.maps = map[uint64]*core.ExpertMap{}
		}
		d.maps[m.Epoch] = m
		for len(d.maps) > 4 {
			oldest := m.Epoch
			for e := range d.maps {
				oldest = min(oldest, e)
			}
			delete(d.maps, oldest)
		}
		return struct{}{}, nil
	})
	return err
}

// Switch makes all ranks use the staged map of the epoch from one step on. It
// returns nil once every rank has accepted the commit. The error is
// trace.CompareFailed if a newer token or epoch was found, trace.NotFound if a
// rank has not staged the map, trace.LimitExceeded if all attempts were given
// up, and trace.ConnectionProblem if the outcome is unknown.
func (d *Coordinator) Switch(ctx context.Context, token, epoch uint64) error {
	if token == 0 || epoch == 0 {
		return trace.BadParameter("token %d and epoch %d must be positive", token, epoch)
	}
	r := &request{token: token, epoch: epoch, done: make(chan error, 1)}
	if _, err := do(ctx, &d.loop, func(context.Context) (struct{}, error) {
		d.queue = append(d.queue, r)
		// The loop's own context, not the caller's, bounds the switch: once
		// begun it goes on without the caller.
		d.post(d.begin)
		return struct{}{}, nil
	}); err != nil {
		return err
	}
	select {
	case err := <-r.done:
		return err
	case <-d.loop.done:
	case <-ctx.Done():
	}
	return trace.ConnectionProblem(ctx.Err(), "outcome of the switch to epoch %d is unknown", epoch)
}

// post runs f in the loop, from any goroutine.
func (d *Coordinator) post(f func(context.Context)) {
	d.wg.Go(func() {
		select {
		case d.loop.calls <- f:
		case <-d.loop.done:
		}
	})
}

// later runs f in the loop after a time.
func (d *Coordinator) later(ctx context.Context, after time.Duration, f func(context.Context)) {
	d.wg.Go(func() {
		if d.Clock.Sleep(ctx, after) != nil {
			return
		}
		select {
		case d.loop.calls <- f:
		case <-d.loop.done:
		}
	})
}

// begin starts the next switch if none runs.
func (d *Coordinator) begin(ctx context.Context) {
	if d.m.phase != phaseIdle || d.current != nil || len(d.queue) == 0 {
		return
	}
	d.current, d.queue = d.queue[0], d.queue[1:]
	meter.Event("switch_begun")
	d.send(ctx, d.m.request(d.current.token, d.current.epoch, or(d.MaxAttempts, 5)))
	d.settle(ctx)
}

// send makes the calls of the orders; each reply comes back to the loop.
func (d *Coordinator) send(ctx context.Context, orders []order) {
	for _, o := range orders {
		var m *core.ExpertMap
		if o.phase == phaseStage {
			m = d.maps[o.epoch]
		}
		d.wg.Go(func() {
			r := d.call(ctx, o, m)
			if r.outcome == lost {
				meter.Event("switch_order_lost")
				if d.Clock.Sleep(ctx, or(d.RetryDelay, 100*time.Millisecond)) != nil {
					return
				}
			}
			select {
			case d.loop.calls <- func(ctx context.Context) {
				d.send(ctx, d.m.on(r))
				d.settle(ctx)
			}:
			case <-d.loop.done:
			}
		})
	}
}

// settle acts on the state that the machine has reached.
func (d *Coordinator) settle(ctx context.Context) {
	switch d.m.phase {
	case phaseBackoff:
		if !d.retrying {
			d.retrying = true
			meter.Event("switch_restarted")
			d.later(ctx, or(d.RetryDelay, 100*time.Millisecond), func(ctx context.Context) {
				d.retrying = false
				if d.m.phase == phaseBackoff {
					d.send(ctx, d.m.start())
				}
			})
		}
	case phaseIdle:
		if d.current != nil {
			d.current.done <- d.result(d.current.epoch)
			d.current = nil
		}
		d.begin(ctx)
	}
}

func (d *Coordinator) result(epoch uint64) error {
	switch d.m.verdict {
	case verdictCommitted:
		meter.Event("switch_committed")
		return nil
	case verdictSuperseded:
		meter.Event("switch_superseded")
		return trace.CompareFailed("switch to epoch %d: a newer token or epoch was found", epoch)
	case verdictNotStaged:
		meter.Event("switch_not_staged")
		return trace.NotFound("epoch %d is not staged on all ranks", epoch)
	}
	meter.Event("switch_given_up")
	return trace.LimitExceeded("switch to epoch %d was given up", epoch)
}

func (d *Coordinator) call(ctx context.Context, o order, m *core.ExpertMap) reply {
	limit := or(d.Timeout, time.Second)
	if o.phase == phaseStage {
		limit = or(d.StageTimeout, time.Minute)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	p := d.Ranks[o.rank]
	r := reply{order: o}
	var err error
	switch o.phase {
	case phaseInspect:
		r.state, err = p.Inspect(ctx, o.ballot)
	case phaseStage:
		if m == nil {
			// Only the leader can help: it stages the map in its next round.
			meter.Event("switch_map_missing")
			err = trace.CompareFailed("no map of epoch %d", o.epoch)
			break
		}
		_, err = p.Stage(ctx, o.ballot, m)
	case phasePrepare, phaseJoinPrepare:
		r.state, err = p.Prepare(ctx, o.ballot, o.incarnation, o.epoch, o.step)
	default:
		r.state, err = p.Decide(ctx, o.ballot, o.incarnation, o.epoch, o.step, o.commit)
	}
	if err == nil {
		return r
	}
	r.outcome = lost
	if trace.IsCompareFailed(err) {
		r.outcome = refused
		r.state = core.RankState{}
		if s, err := p.Inspect(ctx, core.Ballot{}); err == nil {
			r.state.PromisedBallot = s.PromisedBallot
		}
	}
	return r
}

// poll looks for ranks that join or hold, and recovers if there is one. A mere
// promise is no reason: it may be that of a switch under way by a successor.
func (d *Coordinator) poll(ctx context.Context) {
	d.later(ctx, or(d.PollInterval, time.Second), d.poll)
	if d.m.phase != phaseIdle || d.polling {
		return
	}
	d.polling = true
	var (
		mu    sync.Mutex
		found bool
		wg    sync.WaitGroup
	)
	for _, p := range d.Ranks {
		wg.Add(1)
		d.wg.Go(func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(ctx, or(d.Timeout, time.Second))
			defer cancel()
			s, err := p.Inspect(ctx, core.Ballot{})
			mu.Lock()
			defer mu.Unlock()
			found = found || err == nil && (s.ActiveEpoch == 0 || s.Holding)
		})
	}
	d.wg.Go(func() {
		wg.Wait()
		select {
		case d.loop.calls <- func(ctx context.Context) {
			d.polling = false
			if found && d.m.phase == phaseIdle {
				meter.Event("switch_recovery")
				d.send(ctx, d.m.start())
			}
		}:
		case <-d.loop.done:
		}
	})
}
