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

// fault is what happens at one of the decider's calls to a rank.
type fault int

const (
	killDecider fault = iota
	killFirstAgent
	killLastAgent
	killCalledAgent
	replaceFirst
	replaceLast
	// loseOrder carries the order out later, when its sender has given it up.
	loseOrder
	faults
)

// strike is a fault before or after the call with a number.
type strike struct {
	call  int
	after bool
	fault fault
}

// site is a model group with agents and a decider that can be killed.
type site struct {
	group   *ranks.Group
	engines []core.RankEngine
	wg      sync.WaitGroup

	mu      sync.Mutex
	agents  []*FencedRank
	stops   []context.CancelFunc
	decider *Coordinator
	stop    context.CancelFunc
	calls   int
	strikes []strike
	struck  int
}

func newSite(t *testing.T, shape ranks.Shape) *site {
	s := &site{group: &ranks.Group{Shape: shape, Settings: ranks.Settings{BaseMs: 0.2}}}
	if err := s.group.Start(); err != nil {
		t.Fatal(err)
	}
	s.agents, s.stops = make([]*FencedRank, shape.Ranks), make([]context.CancelFunc, shape.Ranks)
	for r := range shape.Ranks {
		e, err := s.group.Rank(r)
		if err != nil {
			t.Fatal(err)
		}
		s.engines = append(s.engines, e)
		s.startAgent(r)
	}
	s.startDecider()
	t.Cleanup(func() {
		s.mu.Lock()
		s.stop()
		for _, stop := range s.stops {
			stop()
		}
		s.mu.Unlock()
		s.wg.Wait()
		_ = s.group.Close()
	})
	return s
}

// startAgent kills the agent of a rank, if there is one, and starts another.
func (s *site) startAgent(r int) {
	if s.stops[r] != nil {
		s.stops[r]()
	}
	ctx, stop := context.WithCancel(context.Background())
	a := &FencedRank{Engine: s.engines[r]}
	s.agents[r], s.stops[r] = a, stop
	s.wg.Go(func() { _ = a.Run(ctx) })
}

// startDecider kills the decider and starts another.
func (s *site) startDecider() {
	if s.stop != nil {
		s.stop()
	}
	ctx, stop := context.WithCancel(context.Background())
	d := &Coordinator{
		Clock: clock.Real{}, MarginSteps: 20, Timeout: 200 * time.Millisecond,
		RetryDelay: time.Millisecond, PollInterval: 5 * time.Millisecond,
	}
	for r := range s.engines {
		d.Ranks = append(d.Ranks, &link{s, r})
	}
	s.decider, s.stop = d, stop
	s.wg.Go(func() { _ = d.Run(ctx) })
}

// strike carries out what is due at a call. It reports whether the order is to
// be lost.
func (s *site) strike(call, rank int, after bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	lose := false
	for _, f := range s.strikes {
		if f.call != call || f.after != after {
			continue
		}
		s.struck++
		last := len(s.engines) - 1
		switch f.fault {
		case killDecider:
			// The decider is in the agent of rank 0.
			s.startAgent(0)
			s.startDecider()
		case killFirstAgent:
			s.startAgent(0)
		case killLastAgent:
			s.startAgent(last)
		case killCalledAgent:
			s.startAgent(rank)
		case replaceFirst:
			_ = s.group.Replace(0)
		case replaceLast:
			_ = s.group.Replace(last)
		case loseOrder:
			lose = true
		}
	}
	return lose
}

// link is the way from a decider to a rank's agent.
type link struct {
	*site
	rank int
}

func pass[T any](ctx context.Context, l *link, f func(context.Context, *FencedRank) (T, error)) (T, error) {
	l.mu.Lock()
	call := l.calls
	l.calls++
	l.mu.Unlock()
	lost := l.strike(call, l.rank, false)
	var zero T
	if lost {
		l.wg.Go(func() {
			time.Sleep(time.Duration(rand.IntN(10)) * time.Millisecond)
			_, _ = f(context.Background(), l.agent(l.rank))
		})
		return zero, trace.ConnectionProblem(nil, "the order is late")
	}
	v, err := f(ctx, l.agent(l.rank))
	if l.strike(call, l.rank, true) {
		return zero, trace.ConnectionProblem(nil, "the answer is lost")
	}
	return v, err
}

func (s *site) agent(r int) *FencedRank {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.agents[r]
}

func (l *link) Inspect(ctx context.Context, b core.Ballot) (core.RankState, error) {
	if b == (core.Ballot{}) {
		return l.agent(l.rank).Inspect(ctx, b) // polls are not counted
	}
	return pass(ctx, l, func(ctx context.Context, r *FencedRank) (core.RankState, error) { return r.Inspect(ctx, b) })
}

func (l *link) Stage(ctx context.Context, b core.Ballot, m *core.ExpertMap) (int, error) {
	return pass(ctx, l, func(ctx context.Context, r *FencedRank) (int, error) { return r.Stage(ctx, b, m) })
}

func (l *link) Prepare(ctx context.Context, b core.Ballot, inc, epoch, step uint64) (core.RankState, error) {
	return pass(ctx, l, func(ctx context.Context, r *FencedRank) (core.RankState, error) {
		return r.Prepare(ctx, b, inc, epoch, step)
	})
}

func (l *link) Decide(ctx context.Context, b core.Ballot, inc, epoch, step uint64, commit bool) (core.RankState, error) {
	return pass(ctx, l, func(ctx context.Context, r *FencedRank) (core.RankState, error) {
		return r.Decide(ctx, b, inc, epoch, step, commit)
	})
}

// lead stages a map and asks for its switch, as a leader does in each round,
// until it is made or a time has passed.
func (s *site) lead(m *core.ExpertMap, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for {
		err := s.round(ctx, m)
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (s *site) round(ctx context.Context, m *core.ExpertMap) error {
	for r := range s.engines {
		if _, err := s.agent(r).Stage(ctx, core.Ballot{Token: 1}, m); err != nil {
			return err
		}
	}
	s.mu.Lock()
	d := s.decider
	s.mu.Unlock()
	if err := d.RememberMap(ctx, m); err != nil {
		return err
	}
	return d.Switch(ctx, 1, m.Epoch)
}

// Guards against mixed steps, a switch that is reported and not made, and a
// group that no longer steps, if agents, the decider or an engine are replaced,
// or orders come late, at each call of a switch, and once more at a later call.
func TestSwitchWithRealRanks(t *testing.T) {
	shape := ranks.Shape{Layers: 1, Ranks: 3, SlotsPerRank: 2, Experts: 6}
	rng := rand.New(rand.NewPCG(1, 2))
	// A switch without faults takes 12 calls after the recovery's 6.
	for call := range 19 {
		for f := range faults {
			for _, after := range []bool{false, true} {
				second := strike{call + 1 + rng.IntN(12), rng.IntN(2) == 0, fault(rng.IntN(int(faults)))}
				t.Run(fmt.Sprintf("%d-%d-%t-%v", call, f, after, second), func(t *testing.T) {
					t.Parallel()
					g := NewWithT(t)
					s := newSite(t, shape)
					s.mu.Lock()
					s.strikes = []strike{{call, after, f}, second}
					s.mu.Unlock()
					m := func(epoch uint64) *core.ExpertMap {
						m := shape.Initial()
						m.Epoch = epoch
						for i := range m.Slots {
							m.Slots[i] = (m.Slots[i] + uint32(epoch)) % uint32(shape.Experts)
						}
						return m
					}
					for epoch := uint64(2); epoch < 5; epoch++ {
						g.Expect(s.lead(m(epoch), 5*time.Second)).To(Succeed())
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
					struck := s.struck
					s.mu.Unlock()
					g.Expect(struck).To(BeNumerically(">", 0))
					g.Expect(s.group.Stats().Mixed).To(BeEmpty())
				})
			}
		}
	}
}
