package commit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/gravitational/trace"
	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/clock"
	"parsleyroute.example/core/suite/ranks"
)

// fault is a fault injected at one of the coordinator's calls to a rank.
type fault int

const (
	killCoordinator fault = iota
	killFirstAgent
	killLastAgent
	killCalledAgent
	replaceFirst
	replaceLast
	// loseOrder makes the call fail and delivers the order later. If it is
	// injected after the call, only the reply is lost.
	loseOrder
	faultCount
)

// injection injects a fault before or after the call with the given number.
type injection struct {
	call  int
	after bool
	fault fault
}

// faultyGroup is a group of test ranks with agents and a coordinator that can be
// killed.
type faultyGroup struct {
	group   *ranks.Group
	engines []core.RankEngine
	wg      sync.WaitGroup

	mu              sync.Mutex
	agents          []*FencedRank
	stopAgents      []context.CancelFunc
	coordinator     *Coordinator
	stopCoordinator context.CancelFunc
	calls           int
	injections      []injection
	injected        int
}

// newFaultyGroup starts a group. Its coordinator makes its first calls at once, so that the
// faults are known before.
func newFaultyGroup(t *testing.T, shape ranks.Shape, injections ...injection) *faultyGroup {
	s := &faultyGroup{group: &ranks.Group{Shape: shape, Settings: ranks.Settings{BaseMs: 0.2}}, injections: injections}
	if err := s.group.Start(); err != nil {
		t.Fatal(err)
	}
	s.agents, s.stopAgents = make([]*FencedRank, shape.Ranks), make([]context.CancelFunc, shape.Ranks)
	for r := range shape.Ranks {
		e, err := s.group.Rank(r)
		if err != nil {
			t.Fatal(err)
		}
		s.engines = append(s.engines, e)
		s.startAgent(r)
	}
	s.startCoordinator()
	t.Cleanup(func() {
		s.mu.Lock()
		s.stopCoordinator()
		for _, stop := range s.stopAgents {
			stop()
		}
		s.mu.Unlock()
		s.wg.Wait()
		_ = s.group.Close()
	})
	return s
}

// startAgent kills the agent of a rank, if there is one, and starts another.
func (s *faultyGroup) startAgent(r int) {
	if s.stopAgents[r] != nil {
		s.stopAgents[r]()
	}
	ctx, stop := context.WithCancel(context.Background())
	a := &FencedRank{Engine: s.engines[r]}
	s.agents[r], s.stopAgents[r] = a, stop
	s.wg.Go(func() { _ = a.Run(ctx) })
}

// startCoordinator kills the coordinator, if there is one, and starts another.
func (s *faultyGroup) startCoordinator() {
	if s.stopCoordinator != nil {
		s.stopCoordinator()
	}
	ctx, stop := context.WithCancel(context.Background())
	c := &Coordinator{
		Clock: clock.Real{}, MarginSteps: 20, Timeout: 200 * time.Millisecond,
		RetryDelay: time.Millisecond, PollInterval: 5 * time.Millisecond,
	}
	for r := range s.engines {
		c.Ranks = append(c.Ranks, &faultyAgent{s, r})
	}
	s.coordinator, s.stopCoordinator = c, stop
	s.wg.Go(func() { _ = c.Run(ctx) })
}

// inject injects the faults of a call. It reports whether to lose the order or,
// after the call, the reply.
func (s *faultyGroup) inject(call, rank int, after bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	loseMessage := false
	for _, f := range s.injections {
		if f.call != call || f.after != after {
			continue
		}
		s.injected++
		last := len(s.engines) - 1
		switch f.fault {
		case killCoordinator:
			// The coordinator runs in the agent of rank 0.
			s.startAgent(0)
			s.startCoordinator()
		case killFirstAgent:
			s.startAgent(0)
		case killLastAgent:
			s.startAgent(last)
		case killCalledAgent:
			s.startAgent(rank)
		case replaceFirst:
			_ = s.group.ReplaceRank(0)
		case replaceLast:
			_ = s.group.ReplaceRank(last)
		case loseOrder:
			loseMessage = true
		}
	}
	return loseMessage
}

// faultyAgent is a RankAgent that injects the faults of its group.
type faultyAgent struct {
	*faultyGroup
	rank int
}

// callAgent calls f on the agent and injects the faults of the call.
func callAgent[T any](ctx context.Context, l *faultyAgent, f func(context.Context, *FencedRank) (T, error)) (T, error) {
	l.mu.Lock()
	call := l.calls
	l.calls++
	l.mu.Unlock()
	delayed := l.inject(call, l.rank, false)
	var zero T
	if delayed {
		l.wg.Go(func() {
			time.Sleep(time.Duration(rand.IntN(10)) * time.Millisecond)
			_, _ = f(context.Background(), l.agent(l.rank))
		})
		return zero, trace.ConnectionProblem(nil, "the order is late")
	}
	v, err := f(ctx, l.agent(l.rank))
	if l.inject(call, l.rank, true) {
		return zero, trace.ConnectionProblem(nil, "the reply is lost")
	}
	return v, err
}

func (s *faultyGroup) agent(r int) *FencedRank {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.agents[r]
}

func (l *faultyAgent) Inspect(ctx context.Context, b core.Ballot) (core.RankState, error) {
	if b == (core.Ballot{}) {
		return l.agent(l.rank).Inspect(ctx, b) // polls are not counted
	}
	return callAgent(ctx, l, func(ctx context.Context, r *FencedRank) (core.RankState, error) { return r.Inspect(ctx, b) })
}

func (l *faultyAgent) Stage(ctx context.Context, b core.Ballot, m *core.ExpertMap) (int, error) {
	return callAgent(ctx, l, func(ctx context.Context, r *FencedRank) (int, error) { return r.Stage(ctx, b, m) })
}

func (l *faultyAgent) Prepare(ctx context.Context, b core.Ballot, inc, epoch, step uint64) (core.RankState, error) {
	return callAgent(ctx, l, func(ctx context.Context, r *FencedRank) (core.RankState, error) {
		return r.Prepare(ctx, b, inc, epoch, step)
	})
}

func (l *faultyAgent) Decide(ctx context.Context, b core.Ballot, inc, epoch, step uint64, commit bool) (core.RankState, error) {
	return callAgent(ctx, l, func(ctx context.Context, r *FencedRank) (core.RankState, error) {
		return r.Decide(ctx, b, inc, epoch, step, commit)
	})
}

// switchWithRetries stages a map and requests a switch to it, as a leader does in
// each round, until the switch succeeds or the time limit has passed.
func (s *faultyGroup) switchWithRetries(m *core.ExpertMap, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for {
		err := s.stageAndSwitch(ctx, m)
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (s *faultyGroup) stageAndSwitch(ctx context.Context, m *core.ExpertMap) error {
	for r := range s.engines {
		if _, err := s.agent(r).Stage(ctx, core.Ballot{Token: 1}, m); err != nil {
			return err
		}
	}
	s.mu.Lock()
	c := s.coordinator
	s.mu.Unlock()
	if err := c.RememberMap(ctx, m); err != nil {
		return err
	}
	return c.Switch(ctx, 1, m.Epoch)
}

// Guards against steps in which ranks use different maps, a switch that is
// reported but not made, and a group that stops stepping. At each call of a
// switch, and once more at a later call, an agent, the coordinator or an engine
// is replaced, or an order is late.
func TestSwitchWithRealRanks(t *testing.T) {
	shape := ranks.Shape{Layers: 1, Ranks: 3, SlotsPerRank: 2, Experts: 6}
	rng := rand.New(rand.NewPCG(1, 2))
	// A switch without faults takes 12 calls, after 6 calls of the recovery.
	for call := range 19 {
		for f := range faultCount {
			for _, after := range []bool{false, true} {
				second := injection{call + 1 + rng.IntN(12), rng.IntN(2) == 0, fault(rng.IntN(int(faultCount)))}
				t.Run(fmt.Sprintf("%d-%d-%t-%v", call, f, after, second), func(t *testing.T) {
					t.Parallel()
					g := NewWithT(t)
					s := newFaultyGroup(t, shape, injection{call, after, f}, second)
					m := func(epoch uint64) *core.ExpertMap {
						m := shape.InitialMap()
						m.Epoch = epoch
						for i := range m.Slots {
							m.Slots[i] = (m.Slots[i] + uint32(epoch)) % uint32(shape.Experts)
						}
						return m
					}
					for epoch := uint64(2); epoch < 5; epoch++ {
						g.Expect(s.switchWithRetries(m(epoch), 5*time.Second)).To(Succeed())
						g.Eventually(func() []uint64 {
							var out []uint64
							for _, e := range s.engines {
								st, err := e.Inspect(context.Background(), core.Ballot{})
								g.Expect(err).NotTo(HaveOccurred())
								out = append(out, st.ActiveEpoch)
							}
							return out
						}, "5s", "1ms").Should(HaveEach(epoch))
					}
					from := s.group.Stats().Steps
					g.Eventually(func() int { return s.group.Stats().Steps }, "5s", "1ms").Should(BeNumerically(">", from+5))
					s.mu.Lock()
					injected := s.injected
					s.mu.Unlock()
					g.Expect(injected).To(BeNumerically(">", 0))
					g.Expect(s.group.Stats().Mixed).To(BeEmpty())
				})
			}
		}
	}
}
