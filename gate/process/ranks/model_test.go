package ranks

import (
	"cmp"
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

// simGroup simulates a group of ranks that run forward passes together. An order
// may be lost, its response may be lost, or it may take effect late.
type simGroup struct {
	mu       sync.Mutex
	rng      *rand.Rand
	ranks    []*simRank
	epoch    uint64
	step     uint64
	delayed  []delayedOrder
	lossRate float64
	// copyTime is the time in which a rank copies the experts of a map.
	copyTime time.Duration
	// violation describes the first pass whose ranks used different maps, and mixed
	// counts these passes.
	violation string
	mixed     int
	passes    int
}

// simRank is the state of one simulated rank.
type simRank struct {
	version, prepared            uint64
	placement, preparedPlacement string
	experts, preparedExperts     [][]int
	copiedAt                     time.Time
	armed                        bool
	armedMap, armedStep          uint64
	held                         bool
	heldStep, highestToken       uint64
	highestVersion               uint64
}

// delayedOrder is an order that takes effect at a later time.
type delayedOrder struct {
	at time.Time
	f  func()
}

func newSimGroup(seed uint64, size int, lossRate float64) *simGroup {
	s := &simGroup{rng: rand.New(rand.NewPCG(seed, 7)), epoch: 1, lossRate: lossRate}
	for range size {
		s.ranks = append(s.ranks, &simRank{})
	}
	return s
}

// beginPass begins the next pass unless the group is held, and checks that all
// ranks use the same map.
func (s *simGroup) beginPass() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for i := 0; i < len(s.delayed); {
		if now.Before(s.delayed[i].at) {
			i++
			continue
		}
		f := s.delayed[i].f
		s.delayed = append(s.delayed[:i], s.delayed[i+1:]...)
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
			r.version, r.placement, r.experts, r.armed = r.armedMap, r.preparedPlacement, r.preparedExperts, false
		}
	}
	for i, r := range s.ranks {
		if r.version != s.ranks[0].version || r.placement != s.ranks[0].placement {
			s.violation = cmp.Or(s.violation, fmt.Sprintf("pass %d: rank %d uses map %d, rank 0 map %d", next, i, r.version, s.ranks[0].version))
			s.mixed++
			break
		}
	}
}

// reform starts a new epoch with reset ranks.
func (s *simGroup) reform() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	for i := range s.ranks {
		s.ranks[i] = &simRank{}
	}
}

// report returns the state of a rank.
func (s *simGroup) report(i int) core.RankReport {
	r := s.ranks[i]
	report := core.RankReport{
		Epoch: s.epoch, Rank: i, GroupSize: len(s.ranks), Open: true, Step: s.step, Map: r.version,
		Armed: r.armed, ArmedMap: r.armedMap, ArmedStep: r.armedStep, Held: r.held, HeldStep: r.heldStep,
	}
	if !time.Now().Before(r.copiedAt) {
		report.PreparedMap = r.prepared
	}
	return report
}

// apply carries out an order as a rank does.
func (s *simGroup) apply(rank int, o core.RankOrder) error {
	r := s.ranks[rank]
	if o.Epoch != s.epoch {
		return trace.CompareFailed("epoch")
	}
	if o.Token < r.highestToken {
		return trace.AccessDenied("fence")
	}
	switch o.Verb {
	case core.RankPrepare:
		if r.armed || o.Map <= r.highestVersion {
			return trace.CompareFailed("prepare")
		}
		r.highestVersion, r.prepared, r.preparedPlacement = o.Map, o.Map, fmt.Sprint(o.Placement)
		r.preparedExperts = nil
		for _, set := range o.Placement {
			r.preparedExperts = append(r.preparedExperts, set[rank])
		}
		r.copiedAt = time.Now().Add(s.copyTime)
	case core.RankArm:
		if r.armed && r.armedMap == o.Map && r.armedStep == o.Step {
			return nil
		}
		if r.prepared != o.Map || time.Now().Before(r.copiedAt) || o.Step <= s.step || r.armed {
			return trace.CompareFailed("arm")
		}
		r.armed, r.armedMap, r.armedStep = true, o.Map, o.Step
	case core.RankDisarm:
		if r.version == o.Map {
			return trace.CompareFailed("disarm")
		}
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
	r.highestToken = max(r.highestToken, o.Token)
	return nil
}

// simClient sends the orders of one leader to the simulated group and can freeze
// after one of them. The port of an engine's address is the number of the rank.
type simClient struct {
	*simGroup
	// freezeAt is the number of the order after which the client blocks, counting
	// from one; zero means never. frozen is closed when it blocks, and closing
	// resume unblocks it.
	freezeAt int32
	frozen   chan struct{}
	resume   chan struct{}
	orders   atomic.Int32
}

var _ core.RankClient = (*simClient)(nil)

func (l *simClient) Order(_ context.Context, rank core.RankAddr, o core.RankOrder) error {
	i := int(rank.Engine.Port())
	l.mu.Lock()
	lost := l.rng.Float64() < l.lossRate
	mode := l.rng.IntN(3)
	var err error
	switch {
	case lost && mode == 0:
		// The order is lost.
	case lost && mode == 1:
		delay := time.Duration(l.rng.IntN(40)) * time.Millisecond
		l.delayed = append(l.delayed, delayedOrder{time.Now().Add(delay), func() { _ = l.apply(i, o) }})
	default:
		err = l.apply(i, o)
	}
	l.mu.Unlock()
	if l.freezeAt > 0 && l.orders.Add(1) == l.freezeAt {
		close(l.frozen)
		<-l.resume
	}
	if lost {
		return trace.ConnectionProblem(nil, "no answer")
	}
	return err
}

func (l *simClient) Report(_ context.Context, rank core.RankAddr, _ bool) (core.RankReport, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.report(int(rank.Engine.Port())), nil
}

func (l *simClient) Placement(_ context.Context, rank core.RankAddr) (uint64, [][]int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := int(rank.Engine.Port())
	return l.ranks[i].version, [][]int{{i}}, nil
}

func (s *simGroup) newGroup(l *simClient, token, nonce uint64) *group {
	spec := &GroupSpec{Name: "g", Size: len(s.ranks), Engine: core.EngineConfig{LayerSets: 1, Experts: len(s.ranks), SlotsPerRank: 2, MaxNewExperts: 1}}
	for i := range s.ranks {
		spec.Members = append(spec.Members, core.RankAddr{Engine: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i))})
	}
	g := &group{spec: spec, ranks: l, direct: l, token: token, nonce: nonce}
	g.startEpoch(s.epoch)
	g.placement = expert.RoundRobin(1, len(s.ranks), len(s.ranks))
	g.load = core.ExpertLoad{make([]float64, len(s.ranks))}
	return g
}

// runPasses begins a pass every 3 ms until stop is called.
func (s *simGroup) runPasses() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(3 * time.Millisecond):
				s.beginPass()
			}
		}
	})
	return func() { close(done); wg.Wait() }
}

// TestEachPassUsesOneMap guards against a pass that uses different maps on
// different ranks and against a group that is never released. Orders are lost or
// delayed, the leader freezes after one of its orders while another contender
// finishes its switch, and in some runs the group re-forms.
func TestEachPassUsesOneMap(t *testing.T) {
	for seed := range uint64(48) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newSimGroup(seed, 4, []float64{0, 0.2, 0.5}[seed%3])
			stop := s.runPasses()
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			first := &simClient{simGroup: s, freezeAt: int32(1 + seed%13), frozen: make(chan struct{}), resume: make(chan struct{})}
			second := &simClient{simGroup: s}
			var wg sync.WaitGroup
			wg.Go(func() {
				former := s.newGroup(first, 1, 11)
				for i := range 4 {
					next := expert.RoundRobin(1, 4, 4)
					next[0][i%4] = append(next[0][i%4], (i+1)%4)
					_ = former.switchTo(ctx, next)
				}
			})
			select {
			case <-first.frozen:
			case <-time.After(3 * time.Second):
			}
			if seed%8 == 7 {
				s.reform()
			}
			// A contender that recovers an abandoned switch uses the former
			// leader's token, a new leader uses a higher one.
			token := uint64(1 + seed%2)
			g.Eventually(func() error { return s.newGroup(second, token, 22).recoverSwitch(ctx, s.currentEpoch()) }, "8s", "20ms").Should(Succeed())
			next := s.newGroup(second, 3, 33)
			_ = next.switchTo(ctx, expert.RoundRobin(1, 4, 4))
			close(first.resume)
			wg.Wait()
			// Without further losses, another leader finishes what is left.
			s.mu.Lock()
			s.lossRate = 0
			s.mu.Unlock()
			time.Sleep(60 * time.Millisecond)
			g.Eventually(func() error { return s.newGroup(second, 4, 44).recoverSwitch(ctx, s.currentEpoch()) }, "8s", "20ms").Should(Succeed())
			before := s.passCount()
			g.Eventually(s.passCount, "2s", "10ms").Should(BeNumerically(">", before+3), "the group runs no more passes")
			stop()
			g.Expect(s.violation).To(BeEmpty())
		})
	}
}

func (s *simGroup) currentEpoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

func (s *simGroup) passCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.passes
}

// TestSwitchTakingEffectIsNotUnfinished guards against treating a switch as
// unfinished because some reports were read before its pass began and others
// after.
func TestSwitchTakingEffectIsNotUnfinished(t *testing.T) {
	g := NewWithT(t)
	grp := &group{}
	switched := core.RankReport{Map: 7}
	waiting := core.RankReport{Map: 6, Armed: true, ArmedMap: 7, ArmedStep: 9}
	g.Expect(grp.findUnfinishedSwitch([]core.RankReport{switched, waiting})).To(BeNil())
	g.Expect(grp.findUnfinishedSwitch([]core.RankReport{{Map: 6}, waiting})).NotTo(BeNil())
	waiting.Held, waiting.HeldStep = true, 9
	g.Expect(grp.findUnfinishedSwitch([]core.RankReport{waiting, waiting})).NotTo(BeNil())
}

// TestGroupSpecsOfReplacedRanks guards against a group that appears incomplete
// while the entries of former processes have not expired.
func TestGroupSpecsOfReplacedRanks(t *testing.T) {
	g := NewWithT(t)
	config := &core.Config{Pools: map[string]*core.PoolConfig{"p": {Engine: &core.EngineConfig{LayerSets: 1}}}}
	newEntry := func(id string, rank int, epoch uint64, startTime int64) *core.ListedUpstream {
		return &core.ListedUpstream{ID: id, Pool: "p", StartTime: startTime, Group: core.GroupMembership{Name: "g", Epoch: epoch, Rank: rank, Size: 2}}
	}
	entries := map[string]*core.ListedUpstream{
		"old": newEntry("old", 0, 1, 10), "new": newEntry("new", 0, 2, 20), "same": newEntry("same", 1, 2, 5),
	}
	spec := GroupSpecs(config, entries)["g"]
	g.Expect(spec.complete()).To(BeTrue())
	g.Expect(spec.Members[0].Instance).To(Equal("new"))
	delete(entries, "same")
	g.Expect(GroupSpecs(config, entries)["g"].complete()).To(BeFalse())
}

// supersededClient is the client of a contender that finishes a switch while its
// leader continues with it: before the contender reads the hold again, the leader
// releases it and holds the group for its next switch.
type supersededClient struct {
	*simClient
	next func()
	once sync.Once
}

func (o *supersededClient) Report(ctx context.Context, rank core.RankAddr, counts bool) (core.RankReport, error) {
	if rank.Engine.Port() == holdingRank {
		o.once.Do(o.next)
	}
	return o.simClient.Report(ctx, rank, counts)
}

// TestFinishSwitchKeepsNextHold guards against a contender that finishes one
// switch late and releases the hold of the next one before all ranks are armed.
func TestFinishSwitchKeepsNextHold(t *testing.T) {
	g := NewWithT(t)
	s := newSimGroup(1, 3, 0)
	s.step = 207
	order := func(rank int, o core.RankOrder) {
		o.Epoch, o.Token = s.epoch, 1
		g.Expect(s.apply(rank, o)).To(Succeed())
	}
	for i := range s.ranks {
		order(i, core.RankOrder{Verb: core.RankPrepare, Map: 10})
	}
	order(holdingRank, core.RankOrder{Verb: core.RankHold, Step: 208})
	for i := range s.ranks {
		order(i, core.RankOrder{Verb: core.RankArm, Map: 10, Step: 208})
	}
	l := &simClient{simGroup: s}
	next := func() {
		order(holdingRank, core.RankOrder{Verb: core.RankRelease, Step: 208})
		for s.step < 210 {
			s.beginPass()
		}
		for i := range s.ranks {
			order(i, core.RankOrder{Verb: core.RankPrepare, Map: 20})
		}
		order(holdingRank, core.RankOrder{Verb: core.RankHold, Step: 211})
		order(1, core.RankOrder{Verb: core.RankArm, Map: 20, Step: 211})
	}
	contender := s.newGroup(l, 1, 22)
	contender.ranks = &supersededClient{simClient: l, next: next}
	found := &unfinishedSwitch{armedCount: 3, version: 10, step: 208, holdingRanks: []int{holdingRank}}
	g.Expect(contender.finishSwitch(t.Context(), found)).To(Succeed())
	s.beginPass()
	g.Expect(s.violation).To(BeEmpty())
	g.Expect(s.step).To(BeEquivalentTo(210), "the group is held")
}
