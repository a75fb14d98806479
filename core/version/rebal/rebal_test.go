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
	held  bool
}

func (l *lease) Held() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token, l.held
}

func (l *lease) set(token uint64, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.token, l.held = token, held
}

// group simulates a group whose agents refuse stale tokens.
type group struct {
	mu           sync.Mutex
	highestToken uint64
	states       []core.RankState
	load         core.ExpertLoad
	hookedCall   string // name of the call before which hook runs, once
	hook         func()
}

type rank struct {
	group *group
	n     int
}

func (g *group) runHook(call string) {
	g.mu.Lock()
	due := g.hookedCall == call
	if due {
		g.hookedCall = ""
	}
	g.mu.Unlock()
	if due {
		g.hook()
	}
}

func (g *group) checkToken(token uint64) error {
	if token < g.highestToken {
		return trace.CompareFailed("token %d is older than %d", token, g.highestToken)
	}
	g.highestToken = token
	return nil
}

func (r rank) Inspect(context.Context, core.Ballot) (core.RankState, error) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	return r.group.states[r.n], nil
}

func (r rank) Stage(_ context.Context, b core.Ballot, m *core.ExpertMap) (int, error) {
	r.group.runHook("stage")
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	s := &r.group.states[r.n]
	s.StagedEpochs = append(slices.Clone(s.StagedEpochs), m.Epoch)
	return 1, r.group.checkToken(b.Token)
}

func (r rank) Load(context.Context) (core.ExpertLoad, error) { return r.group.load, nil }

func (g *group) Switch(_ context.Context, token, epoch uint64) error {
	g.runHook("switch")
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.checkToken(token); err != nil {
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
	obj       core.Object
	loseReply bool // lose the response to the next write
	down      bool
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
	if s.loseReply {
		s.loseReply = false
		return core.Object{}, trace.ConnectionProblem(nil, "response lost")
	}
	return o, nil
}

type testController struct {
	*rebal.Controller
	group *group
	lease *lease
	store *store
	clock *clock.Manual
}

func newTestController(g *group, s *store, token uint64) *testController {
	c := clock.NewManual(time.Unix(1, 0))
	l := &lease{token: token, held: true}
	return &testController{group: g, lease: l, store: s, clock: c, Controller: &rebal.Controller{
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

func (r *testController) step() error {
	r.clock.Advance(time.Second)
	return r.Step(context.Background())
}

// Guards against a round that does not record its switch, and against a wrong
// record after a lost response.
func TestRoundsSwitchAndRecord(t *testing.T) {
	g := NewWithT(t)
	r := newTestController(newGroup(), &store{loseReply: true}, 5)
	g.Expect(r.step()).To(Succeed())
	g.Expect(r.group.active()).To(BeEquivalentTo(1), "the first counts cover an unknown period")
	g.Expect(r.step()).To(Succeed())
	g.Expect(r.group.active()).To(BeEquivalentTo(5<<20 + 1))
	g.Expect(r.store.obj.Version).To(BeEquivalentTo(1))
	g.Expect(r.step()).To(Succeed())
	g.Expect(r.group.active()).To(BeEquivalentTo(5<<20+1), "a balanced map is kept")
}

// Guards against a leader that continues after the end of its lease: it is paused
// before staging or before the switch, and may or may not know that it has lost
// the lease.
func TestPausedLeaderIsRefused(t *testing.T) {
	for _, at := range []string{"stage", "switch"} {
		for _, knows := range []bool{true, false} {
			t.Run(at, func(t *testing.T) {
				g := NewWithT(t)
				r := newTestController(newGroup(), &store{}, 5)
				g.Expect(r.step()).To(Succeed())
				next := newTestController(r.group, r.store, 6)
				r.group.hookedCall = at
				r.group.hook = func() {
					if knows {
						r.lease.set(5, false)
					}
					g.Expect(next.step()).To(Succeed())
					g.Expect(next.step()).To(Succeed())
				}
				// The orders of the successor are executed first.
				err := r.step()
				g.Expect(trace.IsCompareFailed(err)).To(BeTrue(), "%v", err)
				g.Expect(r.store.obj.Nonce).To(HavePrefix("6."))
				r.lease.set(5, true)
				err = r.step()
				r.group.mu.Lock()
				for i := range r.group.states {
					r.group.states[i].PromisedBallot.Token = 6
				}
				r.group.mu.Unlock()
				if err == nil {
					err = r.step()
				}
				g.Expect(trace.IsCompareFailed(err)).To(BeTrue(), "%v", err)
				g.Expect(r.store.obj.Nonce).To(HavePrefix("6."))
			})
		}
	}
}

// Guards against a group that keeps using an unrecorded map, and against a
// joining rank that never gets its map.
func TestLeaderRecoversMaps(t *testing.T) {
	g := NewWithT(t)
	r := newTestController(newGroup(), &store{}, 5)
	g.Expect(r.step()).To(Succeed())
	r.store.down = true
	g.Expect(r.step()).NotTo(Succeed())
	g.Expect(r.group.active()).To(BeEquivalentTo(5<<20+1), "switched but not recorded")
	g.Expect(trace.IsConnectionProblem(r.step())).To(BeTrue(), "no order while the store is down")
	r.store.down = false
	g.Expect(r.step()).To(Succeed())
	g.Expect(r.group.active()).To(BeEquivalentTo(5<<20 + 2))
	g.Expect(r.store.obj.Version).To(BeEquivalentTo(1))
	r.group.states[1] = core.RankState{}
	g.Expect(r.step()).To(Succeed())
	g.Expect(r.group.states[1].StagedEpochs).To(ContainElement(BeEquivalentTo(5<<20 + 2)))
	r.lease.set(0, false)
	g.Expect(r.step()).To(Succeed(), "nothing to do without the lease")
	r.lease.set(7, true)
	r.group.load = core.ExpertLoad{{1, 2}}
	g.Expect(trace.IsBadParameter(r.step())).To(BeTrue())
}

type failingSwitcher struct{}

func (failingSwitcher) Switch(context.Context, uint64, uint64) error {
	return trace.LimitExceeded("all attempts failed")
}

// Guards against two maps with the same epoch, from one leader or from two, while
// a rank does not yet list the map that it is loading. That rank would use the
// older map in the same step in which others use the newer one.
func TestEpochsAreNotReused(t *testing.T) {
	g := NewWithT(t)
	var used []uint64
	shared := newGroup()
	for _, token := range []uint64{5, 6} {
		r := newTestController(shared, &store{}, token)
		r.Switcher = failingSwitcher{}
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
