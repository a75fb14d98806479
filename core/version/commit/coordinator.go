package commit

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
)

// Coordinator coordinates the switches of a group. It runs in the agent of rank
// 0. Set the fields before Run.
type Coordinator struct {
	// Ranks holds the agents of all ranks, by rank.
	Ranks []RankAgent
	Clock core.Clock
	// MarginSteps is the number of steps between the current step and the switch;
	// zero means 8. At 50 ms per step this leaves 400 ms for the promises.
	MarginSteps uint64
	// Timeout limits each call; zero means 1 s. StageTimeout limits the staging
	// of a map on a joining rank; zero means 1 min.
	Timeout, StageTimeout time.Duration
	// RetryDelay is the time before a lost order is resent or the next attempt
	// starts; zero means 100 ms.
	RetryDelay time.Duration
	// PollInterval is the time between polls of the ranks while idle; zero means
	// 1 s. It limits how long a joining or holding rank goes undetected.
	PollInterval time.Duration
	// MaxAttempts is the maximum number of attempts at a switch; zero means 5.
	MaxAttempts int

	loop loop
	wg   sync.WaitGroup
	// The fields below are owned by the loop.
	machine  *machine
	maps     map[uint64]*core.ExpertMap
	queue    []*switchRequest
	current  *switchRequest
	retrying bool
	polling  bool
}

type switchRequest struct {
	token, epoch uint64
	done         chan error
}

// Run serves switch requests until ctx ends or Close is called. It first
// resolves the switches of earlier coordinators.
func (c *Coordinator) Run(ctx context.Context) error {
	c.machine = newMachine(len(c.Ranks), orDefault(c.MarginSteps, 8))
	err := c.loop.run(ctx, func(ctx context.Context) {
		c.send(ctx, c.machine.startAttempt())
		c.postAfter(ctx, orDefault(c.PollInterval, time.Second), c.poll)
	})
	c.wg.Wait()
	return err
}

// Close ends Run and waits for it and for all calls to ranks.
func (c *Coordinator) Close() {
	c.loop.close()
	c.wg.Wait()
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// RememberMap stores a map for joining ranks. The agent calls it for each map
// that is staged on its own rank. The maps of the four highest epochs are kept.
func (c *Coordinator) RememberMap(ctx context.Context, m *core.ExpertMap) error {
	_, err := runInLoop(ctx, &c.loop, func(context.Context) (struct{}, error) {
		if c.maps == nil {
			c.maps = map[uint64]*core.ExpertMap{}
		}
		c.maps[m.Epoch] = m
		for len(c.maps) > 4 {
			oldest := m.Epoch
			for e := range c.maps {
				oldest = min(oldest, e)
			}
			delete(c.maps, oldest)
		}
		return struct{}{}, nil
	})
	return err
}

// Switch makes all ranks use the staged map of the epoch, starting at the same
// step. It returns nil once every rank has accepted the commit. The error is
// trace.CompareFailed if a newer token or epoch was found, trace.NotFound if a
// rank has not staged the map, trace.LimitExceeded if all attempts failed, and
// trace.ConnectionProblem if the outcome is unknown.
func (c *Coordinator) Switch(ctx context.Context, token, epoch uint64) error {
	if token == 0 || epoch == 0 {
		return trace.BadParameter("token %d and epoch %d must be positive", token, epoch)
	}
	r := &switchRequest{token: token, epoch: epoch, done: make(chan error, 1)}
	if _, err := runInLoop(ctx, &c.loop, func(context.Context) (struct{}, error) {
		c.queue = append(c.queue, r)
		// The switch runs with the context of the loop: once started, it
		// continues even if the caller's context ends.
		c.post(c.startNextSwitch)
		return struct{}{}, nil
	}); err != nil {
		return err
	}
	select {
	case err := <-r.done:
		return err
	case <-c.loop.done:
	case <-ctx.Done():
	}
	return trace.ConnectionProblem(ctx.Err(), "outcome of the switch to epoch %d is unknown", epoch)
}

// post runs f in the loop. Any goroutine may call it.
func (c *Coordinator) post(f func(context.Context)) {
	c.wg.Go(func() {
		select {
		case c.loop.calls <- f:
		case <-c.loop.done:
		}
	})
}

// postAfter runs f in the loop after a delay.
func (c *Coordinator) postAfter(ctx context.Context, delay time.Duration, f func(context.Context)) {
	c.wg.Go(func() {
		if c.Clock.Sleep(ctx, delay) != nil {
			return
		}
		select {
		case c.loop.calls <- f:
		case <-c.loop.done:
		}
	})
}

// startNextSwitch starts the next queued switch if none is in progress.
func (c *Coordinator) startNextSwitch(ctx context.Context) {
	if c.machine.phase != phaseIdle || c.current != nil || len(c.queue) == 0 {
		return
	}
	c.current, c.queue = c.queue[0], c.queue[1:]
	meter.Event("switch_begun")
	c.send(ctx, c.machine.requestSwitch(c.current.token, c.current.epoch, orDefault(c.MaxAttempts, 5)))
	c.handlePhase(ctx)
}

// send sends the orders to the ranks. Each reply is handled in the loop.
func (c *Coordinator) send(ctx context.Context, orders []order) {
	for _, o := range orders {
		var m *core.ExpertMap
		if o.phase == phaseStage {
			m = c.maps[o.epoch]
		}
		c.wg.Go(func() {
			r := c.callRank(ctx, o, m)
			if r.outcome == lost {
				meter.Event("switch_order_lost")
				if c.Clock.Sleep(ctx, orDefault(c.RetryDelay, 100*time.Millisecond)) != nil {
					return
				}
			}
			select {
			case c.loop.calls <- func(ctx context.Context) {
				c.send(ctx, c.machine.handleReply(r))
				c.handlePhase(ctx)
			}:
			case <-c.loop.done:
			}
		})
	}
}

// handlePhase acts on the machine's current phase.
func (c *Coordinator) handlePhase(ctx context.Context) {
	switch c.machine.phase {
	case phaseBackoff:
		if !c.retrying {
			c.retrying = true
			meter.Event("switch_restarted")
			c.postAfter(ctx, orDefault(c.RetryDelay, 100*time.Millisecond), func(ctx context.Context) {
				c.retrying = false
				if c.machine.phase == phaseBackoff {
					c.send(ctx, c.machine.startAttempt())
				}
			})
		}
	case phaseIdle:
		if c.current != nil {
			c.current.done <- c.resultError(c.current.epoch)
			c.current = nil
		}
		c.startNextSwitch(ctx)
	}
}

func (c *Coordinator) resultError(epoch uint64) error {
	switch c.machine.result {
	case resultCommitted:
		meter.Event("switch_committed")
		return nil
	case resultSuperseded:
		meter.Event("switch_superseded")
		return trace.CompareFailed("switch to epoch %d: a newer token or epoch was found", epoch)
	case resultNotStaged:
		meter.Event("switch_not_staged")
		return trace.NotFound("epoch %d is not staged on all ranks", epoch)
	}
	meter.Event("switch_given_up")
	return trace.LimitExceeded("all attempts to switch to epoch %d failed", epoch)
}

func (c *Coordinator) callRank(ctx context.Context, o order, m *core.ExpertMap) reply {
	timeout := orDefault(c.Timeout, time.Second)
	if o.phase == phaseStage {
		timeout = orDefault(c.StageTimeout, time.Minute)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	p := c.Ranks[o.rank]
	r := reply{order: o}
	var err error
	switch o.phase {
	case phaseInspect:
		r.state, err = p.Inspect(ctx, o.ballot)
	case phaseStage:
		if m == nil {
			// The coordinator cannot stage an unknown map. The leader stages it in
			// its next round.
			meter.Event("switch_map_missing")
			err = trace.CompareFailed("the coordinator does not have the map of epoch %d", o.epoch)
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

// poll starts a recovery if a rank is joining or holding. A promise alone does
// not start one: it may belong to a switch by a newer coordinator that is still
// in progress.
func (c *Coordinator) poll(ctx context.Context) {
	c.postAfter(ctx, orDefault(c.PollInterval, time.Second), c.poll)
	if c.machine.phase != phaseIdle || c.polling {
		return
	}
	c.polling = true
	var (
		mu            sync.Mutex
		needsRecovery bool
		wg            sync.WaitGroup
	)
	for _, p := range c.Ranks {
		wg.Add(1)
		c.wg.Go(func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(ctx, orDefault(c.Timeout, time.Second))
			defer cancel()
			s, err := p.Inspect(ctx, core.Ballot{})
			mu.Lock()
			defer mu.Unlock()
			needsRecovery = needsRecovery || err == nil && (s.ActiveEpoch == 0 || s.Holding)
		})
	}
	c.wg.Go(func() {
		wg.Wait()
		select {
		case c.loop.calls <- func(ctx context.Context) {
			c.polling = false
			if needsRecovery && c.machine.phase == phaseIdle {
				meter.Event("switch_recovery")
				c.send(ctx, c.machine.startAttempt())
			}
		}:
		case <-c.loop.done:
		}
	})
}
