package ranks

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gravitational/trace"
	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/core/version/expert"
)

// sim is a group of ranks that run passes together. Orders to it may lose their
// answer, before or after they take effect, or take effect late.
type sim struct {
	mu     sync.Mutex
	rng    *rand.Rand
	ranks  []*simRank
	epoch  uint64
	step   uint64
	late   []lateOrder
	loss   float64
	broken string
	passes int
}

type simRank struct {
	version, prepared   uint64
	lists, preparedList string
	armed               bool
	armedMap, armedStep uint64
	held                bool
	heldStep, fence     uint64
	highest             uint64
}

type lateOrder struct {
	at time.Time
	f  func()
}

func newSim(seed uint64, size int, loss float64) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 7)), epoch: 1, loss: loss}
	for range size {
		s.ranks = append(s.ranks, &simRank{})
	}
	return s
}

// pass begins the next pass unless the group is held, and checks that all ranks
// use one map.
func (s *sim) pass() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for i := 0; i < len(s.late); {
		if now.Before(s.late[i].at) {
			i++
			continue
		}
		f := s.late[i].f
		s.late = append(s.late[:i], s.late[i+1:]...)
		f()
	}
	next := s.step + 1
	for _, r := range s.ranks {
		if r.held && r.heldStep == next {
			return
		}
	}
	s.step = next
	s.passes++
	for _, r := range s.ranks {
		if r.armed && r.armedStep == next {
			r.version, r.lists, r.armed = r.armedMap, r.preparedList, false
		}
	}
	for i, r := range s.ranks {
		if r.version != s.ranks[0].version || r.lists != s.ranks[0].lists {
			s.broken = fmt.Sprintf("pass %d: rank %d uses map %d, rank 0 map %d", next, i, r.version, s.ranks[0].version)
		}
	}
}

// reform starts a new epoch.
func (s *sim) reform() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	for i := range s.ranks {
		s.ranks[i] = &simRank{}
	}
}

func (s *sim) apply(rank int, o core.RankOrder) error {
	r := s.ranks[rank]
	if o.Epoch != s.epoch {
		return trace.CompareFailed("epoch")
	}
	if o.Token < r.fence {
		return trace.AccessDenied("fence")
	}
	switch o.Verb {
	case core.RankPrepare:
		if r.armed || o.Map <= r.highest {
			return trace.CompareFailed("prepare")
		}
		r.highest, r.prepared, r.preparedList = o.Map, o.Map, fmt.Sprint(o.Placement)
	case core.RankArm:
		if r.armed && r.armedMap == o.Map && r.armedStep == o.Step {
			return nil
		}
		if r.prepared != o.Map || o.Step <= s.step || r.armed {
			return trace.CompareFailed("arm")
		}
		r.armed, r.armedMap, r.armedStep = true, o.Map, o.Step
	case core.RankDisarm:
		if r.armed && r.armedMap == o.Map {
			r.armed = false
		}
	case core.RankHold:
		if r.held && r.heldStep == o.Step {
			return nil
		}
		if r.held || o.Step <= s.step {
			return trace.CompareFailed("hold")
		}
		r.held, r.heldStep = true, o.Step
	case core.RankRelease:
		if r.held && r.heldStep == o.Step {
			r.held = false
		}
		return nil
	}
	r.fence = max(r.fence, o.Token)
	return nil
}

// leader is one leader's way to the group. A frozen one waits before its next
// call.
type leader struct {
	*sim
	// freezeAt is the number of the order at which the leader freezes, zero for
	// never; thaw is closed when it goes on.
	freezeAt int32
	frozen   chan struct{}
	thaw     chan struct{}
	orders   atomic.Int32
}

var _ core.RankClient = (*leader)(nil)

func (l *leader) Order(_ context.Context, rank core.RankAddr, o core.RankOrder) error {
	i := int(rank.Engine.Port())
	l.mu.Lock()
	lost := l.rng.Float64() < l.loss
	how := l.rng.IntN(3)
	var err error
	switch {
	case lost && how == 0:
		// Lost on the way there.
	case lost && how == 1:
		after := time.Duration(l.rng.IntN(40)) * time.Millisecond
		l.late = append(l.late, lateOrder{time.Now().Add(after), func() { _ = l.apply(i, o) }})
	default:
		err = l.apply(i, o)
	}
	l.mu.Unlock()
	if l.freezeAt > 0 && l.orders.Add(1) == l.freezeAt {
		close(l.frozen)
		<-l.thaw
	}
	if lost {
		return trace.ConnectionProblem(nil, "no answer")
	}
	return err
}

func (l *leader) Report(_ context.Context, rank core.RankAddr, _ bool) (core.RankReport, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := int(rank.Engine.Port())
	r := l.ranks[i]
	return core.RankReport{
		Epoch: l.epoch, Rank: i, GroupSize: len(l.ranks), Open: true, Step: l.step, Map: r.version, PreparedMap: r.prepared,
		Armed: r.armed, ArmedMap: r.armedMap, ArmedStep: r.armedStep, Held: r.held, HeldStep: r.heldStep,
	}, nil
}

func (l *leader) Placement(_ context.Context, rank core.RankAddr) (uint64, [][]int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := int(rank.Engine.Port())
	return l.ranks[i].version, [][]int{{i}}, nil
}

func (s *sim) group(l *leader, token, nonce uint64) *group {
	spec := &Spec{Name: "g", Size: len(s.ranks), Engine: core.EngineConfig{LayerSets: 1, Experts: len(s.ranks), SlotsPerRank: 2, MaxNewExperts: 1}}
	for i := range s.ranks {
		spec.Members = append(spec.Members, core.RankAddr{Engine: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i))})
	}
	g := &group{spec: spec, ranks: l, direct: l, token: token, nonce: nonce}
	g.reset(s.epoch)
	g.lists = expert.InTurn(1, len(s.ranks), len(s.ranks))
	g.load = core.ExpertLoad{make([]float64, len(s.ranks))}
	return g
}

// run has passes begin until the returned function is called.
func (s *sim) run() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(3 * time.Millisecond):
				s.pass()
			}
		}
	})
	return func() { close(done); wg.Wait() }
}

// TestOneMapInEachPass guards against a pass that begins with two maps, and
// against a group that is held for good, where orders are lost or late, the
// leader freezes after any of its orders while another takes over, and the group
// forms anew.
func TestOneMapInEachPass(t *testing.T) {
	for seed := range uint64(48) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newSim(seed, 4, []float64{0, 0.2, 0.5}[seed%3])
			stop := s.run()
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			first := &leader{sim: s, freezeAt: int32(1 + seed%13), frozen: make(chan struct{}), thaw: make(chan struct{})}
			second := &leader{sim: s}
			var wg sync.WaitGroup
			wg.Go(func() {
				old := s.group(first, 1, 11)
				for i := range 4 {
					next := expert.InTurn(1, 4, 4)
					next[0][i%4] = append(next[0][i%4], (i+1)%4)
					_ = old.swap(ctx, next)
				}
			})
			select {
			case <-first.frozen:
			case <-time.After(3 * time.Second):
			}
			if seed%8 == 7 {
				s.reform()
			}
			// The token is the former leader's where the guard acts, and a later
			// one where a new leader does.
			token := uint64(1 + seed%2)
			g.Eventually(func() error { return s.group(second, token, 22).end(ctx, s.current()) }, "8s", "20ms").Should(Succeed())
			next := s.group(second, 3, 33)
			_ = next.swap(ctx, expert.InTurn(1, 4, 4))
			close(first.thaw)
			wg.Wait()
			// After the storm another leader finds what is left and ends it.
			s.mu.Lock()
			s.loss = 0
			s.mu.Unlock()
			time.Sleep(60 * time.Millisecond)
			g.Eventually(func() error { return s.group(second, 4, 44).end(ctx, s.current()) }, "8s", "20ms").Should(Succeed())
			before := s.begun()
			g.Eventually(s.begun, "2s", "10ms").Should(BeNumerically(">", before+3), "the group stands still")
			stop()
			g.Expect(s.broken).To(BeEmpty())
		})
	}
}

func (s *sim) current() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

func (s *sim) begun() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.passes
}

// TestSwitchReadWhileItTakesEffect guards against a switch that is taken for an
// unfinished one because some ranks were asked before and some after its pass.
func TestSwitchReadWhileItTakesEffect(t *testing.T) {
	g := NewWithT(t)
	grp := &group{}
	switched := core.RankReport{Map: 7}
	waiting := core.RankReport{Map: 6, Armed: true, ArmedMap: 7, ArmedStep: 9}
	g.Expect(grp.unfinishedIn([]core.RankReport{switched, waiting})).To(BeNil())
	g.Expect(grp.unfinishedIn([]core.RankReport{{Map: 6}, waiting})).NotTo(BeNil())
	waiting.Held, waiting.HeldStep = true, 9
	g.Expect(grp.unfinishedIn([]core.RankReport{waiting, waiting})).NotTo(BeNil())
}

// TestSpecsOfReplacedRanks guards against a group that looks incomplete while
// the entries of former processes have not lapsed.
func TestSpecsOfReplacedRanks(t *testing.T) {
	g := NewWithT(t)
	config := &core.Config{Pools: map[string]*core.PoolConfig{"p": {Engine: &core.EngineConfig{LayerSets: 1}}}}
	peer := func(id string, rank int, epoch uint64, born int64) *core.ListedUpstream {
		return &core.ListedUpstream{ID: id, Pool: "p", StartTime: born, Group: core.GroupMembership{Name: "g", Epoch: epoch, Rank: rank, Size: 2}}
	}
	peers := map[string]*core.ListedUpstream{
		"old": peer("old", 0, 1, 10), "new": peer("new", 0, 2, 20), "same": peer("same", 1, 2, 5),
	}
	spec := Specs(config, peers)["g"]
	g.Expect(spec.complete()).To(BeTrue())
	g.Expect(spec.Members[0].Instance).To(Equal("new"))
	delete(peers, "same")
	g.Expect(Specs(config, peers)["g"].complete()).To(BeFalse())
}

// overtaken is the way of a contender that ends a switch while its leader goes
// on: before the contender looks at the hold again, the leader has released it
// and holds the group for its next switch.
type overtaken struct {
	*leader
	next func()
	once sync.Once
}

func (o *overtaken) Report(ctx context.Context, rank core.RankAddr, counts bool) (core.RankReport, error) {
	if rank.Engine.Port() == holder {
		o.once.Do(o.next)
	}
	return o.leader.Report(ctx, rank, counts)
}

// TestFinishLeavesTheNextHold guards against a contender that, late with the end
// of one switch, releases the hold of the next one before all ranks are armed.
func TestFinishLeavesTheNextHold(t *testing.T) {
	g := NewWithT(t)
	s := newSim(1, 3, 0)
	s.step = 207
	order := func(rank int, o core.RankOrder) {
		o.Epoch, o.Token = s.epoch, 1
		g.Expect(s.apply(rank, o)).To(Succeed())
	}
	for i := range s.ranks {
		order(i, core.RankOrder{Verb: core.RankPrepare, Map: 10})
	}
	order(holder, core.RankOrder{Verb: core.RankHold, Step: 208})
	for i := range s.ranks {
		order(i, core.RankOrder{Verb: core.RankArm, Map: 10, Step: 208})
	}
	l := &leader{sim: s}
	next := func() {
		order(holder, core.RankOrder{Verb: core.RankRelease, Step: 208})
		for s.step < 210 {
			s.pass()
		}
		for i := range s.ranks {
			order(i, core.RankOrder{Verb: core.RankPrepare, Map: 20})
		}
		order(holder, core.RankOrder{Verb: core.RankHold, Step: 211})
		order(1, core.RankOrder{Verb: core.RankArm, Map: 20, Step: 211})
	}
	contender := s.group(l, 1, 22)
	contender.ranks = &overtaken{leader: l, next: next}
	found := &unfinished{armed: 3, version: 10, step: 208, held: []int{holder}}
	g.Expect(contender.finish(t.Context(), found)).To(Succeed())
	s.pass()
	g.Expect(s.broken).To(BeEmpty())
	g.Expect(s.step).To(BeEquivalentTo(210), "the group is held")
}
