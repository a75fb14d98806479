package rebal_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/gravitational/trace"
	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/clock"
	"parsleyroute.example/core/version/expert"
	"parsleyroute.example/core/version/rebal"
)

type lease struct {
	mu    sync.Mutex
	token uint64
	ok    bool
}

func (l *lease) Held() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token, l.ok
}

func (l *lease) set(token uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.token, l.ok = token, ok
}

// group is a group whose agents refuse old tokens; rank r is group.rank(r).
type group struct {
	mu     sync.Mutex
	fence  uint64
	states []core.RankState
	load   core.ExpertLoad
	at     string // the next such call first calls onCall, once
	onCall func()
}

type rank struct {
	g *group
	n int
}

func (g *group) called(call string) {
	g.mu.Lock()
	due := g.at == call
	if due {
		g.at = ""
	}
	g.mu.Unlock()
	if due {
		g.onCall()
	}
}

func (g *group) check(token uint64) error {
	if token < g.fence {
		return trace.CompareFailed("token %d is older than %d", token, g.fence)
	}
	g.fence = token
	return nil
}

func (r rank) Inspect(context.Context, core.Ballot) (core.RankState, error) {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	return r.g.states[r.n], nil
}

func (r rank) Stage(_ context.Context, b core.Ballot, m *core.ExpertMap) (int, error) {
	r.g.called("stage")
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	s := &r.g.states[r.n]
	s.StagedEpochs = append(slices.Clone(s.StagedEpochs), m.Epoch)
	return 1, r.g.check(b.Token)
}

func (r rank) Load(context.Context) (core.ExpertLoad, error) { return r.g.load, nil }

func (g *group) Switch(_ context.Context, token, epoch uint64) error {
	g.called("switch")
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.check(token); err != nil {
		return err
	}
	for i := range g.states {
		g.states[i].ActiveEpoch = epoch
	}
	return nil
}

func (g *group) active() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.states[0].ActiveEpoch
}

type store struct {
	core.Store
	obj  core.Object
	lose bool // the answer of the next write is lost
	down bool
}

func (s *store) Get(context.Context, core.Key) (core.Object, error) {
	if s.down {
		return core.Object{}, trace.ConnectionProblem(nil, "store down")
	}
	if s.obj.Version == 0 {
		return core.Object{}, trace.NotFound("no map")
	}
	return s.obj, nil
}

func (s *store) Create(ctx context.Context, o core.Object) (core.Object, error) {
	return s.Update(ctx, o)
}

func (s *store) Update(_ context.Context, o core.Object) (core.Object, error) {
	if s.down {
		return core.Object{}, trace.ConnectionProblem(nil, "store down")
	}
	if o.Version != s.obj.Version {
		return core.Object{}, trace.CompareFailed("version %d, want %d", o.Version, s.obj.Version)
	}
	o.Version++
	s.obj = o
	if s.lose {
		s.lose = false
		return core.Object{}, trace.ConnectionProblem(nil, "answer lost")
	}
	return o, nil
}

type rig struct {
	*rebal.Controller
	g     *group
	l     *lease
	s     *store
	clock *clock.Manual
}

func newRig(g *group, s *store, token uint64) *rig {
	c := clock.NewManual(time.Unix(1, 0))
	l := &lease{token: token, ok: true}
	return &rig{g: g, l: l, s: s, clock: c, Controller: &rebal.Controller{
		Group: "g", Shape: expert.Shape{Layers: 1, Ranks: 2, SlotsPerRank: 2, Experts: 3},
		Ranks: []rebal.RankAgent{rank{g, 0}, rank{g, 1}}, Switcher: g, Lease: l, Store: s,
		Placer: expert.Incremental{}, Clock: c, Writer: "e",
	}}
}

func newGroup() *group {
	return &group{
		states: []core.RankState{{ActiveEpoch: 1, StagedEpochs: []uint64{1}}, {ActiveEpoch: 1, StagedEpochs: []uint64{1}}},
		load:   core.ExpertLoad{{1, 20, 1}},
	}
}

func (r *rig) step() error {
	r.clock.Advance(time.Second)
	return r.Step(context.Background())
}

// Guards against a round that does not record its switch, and a record that is
// wrong after a lost answer.
func TestRoundsSwitchAndRecord(t *testing.T) {
	g := NewWithT(t)
	r := newRig(newGroup(), &store{lose: true}, 5)
	g.Expect(r.step()).To(Succeed())
	g.Expect(r.g.active()).To(BeEquivalentTo(1), "the first counts cover an unknown time")
	g.Expect(r.step()).To(Succeed())
	g.Expect(r.g.active()).To(BeEquivalentTo(5<<20 + 1))
	g.Expect(r.s.obj.Version).To(BeEquivalentTo(1))
	g.Expect(r.step()).To(Succeed())
	g.Expect(r.g.active()).To(BeEquivalentTo(5<<20+1), "a good map stays")
}

// Guards against a leader that goes on after its lease: paused before staging,
// before the switch, or before the record, with and without knowing it.
func TestPausedLeaderIsRefused(t *testing.T) {
	for _, at := range []string{"stage", "switch"} {
		for _, knows := range []bool{true, false} {
			t.Run(at, func(t *testing.T) {
				g := NewWithT(t)
				r := newRig(newGroup(), &store{}, 5)
				g.Expect(r.step()).To(Succeed())
				next := newRig(r.g, r.s, 6)
				r.g.at = at
				r.g.onCall = func() {
					if knows {
						r.l.set(5, false)
					}
					g.Expect(next.step()).To(Succeed())
					g.Expect(next.step()).To(Succeed())
				}
				// The successor's orders are carried out first.
				err := r.step()
				g.Expect(trace.IsCompareFailed(err)).To(BeTrue(), "%v", err)
				g.Expect(r.s.obj.Nonce).To(HavePrefix("6."))
				r.l.set(5, true)
				err = r.step()
				r.g.mu.Lock()
				for i := range r.g.states {
					r.g.states[i].PromisedBallot.Token = 6
				}
				r.g.mu.Unlock()
				if err == nil {
					err = r.step()
				}
				g.Expect(trace.IsCompareFailed(err)).To(BeTrue(), "%v", err)
				g.Expect(r.s.obj.Nonce).To(HavePrefix("6."))
			})
		}
	}
}

// Guards against a group that runs a map nobody recorded, and a joining rank
// that waits for its map.
func TestLeaderRepairs(t *testing.T) {
	g := NewWithT(t)
	r := newRig(newGroup(), &store{}, 5)
	g.Expect(r.step()).To(Succeed())
	r.s.down = true
	g.Expect(r.step()).NotTo(Succeed())
	g.Expect(r.g.active()).To(BeEquivalentTo(5<<20+1), "switched and not recorded")
	g.Expect(trace.IsConnectionProblem(r.step())).To(BeTrue(), "no order without the store")
	r.s.down = false
	g.Expect(r.step()).To(Succeed())
	g.Expect(r.g.active()).To(BeEquivalentTo(5<<20 + 2))
	g.Expect(r.s.obj.Version).To(BeEquivalentTo(1))
	r.g.states[1] = core.RankState{}
	g.Expect(r.step()).To(Succeed())
	g.Expect(r.g.states[1].StagedEpochs).To(ContainElement(BeEquivalentTo(5<<20 + 2)))
	r.l.set(0, false)
	g.Expect(r.step()).To(Succeed(), "nothing to do without the lease")
	r.l.set(7, true)
	r.g.load = core.ExpertLoad{{1, 2}}
	g.Expect(trace.IsBadParameter(r.step())).To(BeTrue())
}

type failing struct{}

func (failing) Switch(context.Context, uint64, uint64) error {
	return trace.LimitExceeded("given up")
}

// Guards against two maps with one epoch, of one leader or of two, if a rank
// does not show yet what it loads: it would use the older map with the others'
// newer one.
func TestEpochsAreNotReused(t *testing.T) {
	g := NewWithT(t)
	var used []uint64
	shared := newGroup()
	for _, token := range []uint64{5, 6} {
		r := newRig(shared, &store{}, token)
		r.Switcher = failing{}
		g.Expect(r.step()).To(Succeed())
		for range 2 {
			g.Expect(trace.IsLimitExceeded(r.step())).To(BeTrue())
			g.Expect(shared.states[1].StagedEpochs).To(HaveLen(2))
			used = append(used, shared.states[1].StagedEpochs[1])
			for i := range shared.states {
				shared.states[i].StagedEpochs = []uint64{1}
			}
		}
	}
	g.Expect(slices.IsSorted(used)).To(BeTrue(), "%v", used)
	g.Expect(slices.Compact(used)).To(HaveLen(4))
}
