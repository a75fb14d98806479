package ranks

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
)

// leaderSwitch gives the orders of a leader to a simulated group, one phase at a time.
type leaderSwitch struct {
	g       *WithT
	group   *simGroup
	version uint64
	step    uint64
}

func (l *leaderSwitch) order(rank int, o core.RankOrder) {
	l.group.mu.Lock()
	defer l.group.mu.Unlock()
	o.Epoch, o.Token = l.group.epoch, 1
	l.g.Expect(l.group.apply(rank, o)).To(Succeed(), "%s at rank %d", o.Verb, rank)
}

func (l *leaderSwitch) prepareAndHold() {
	for i := range l.group.ranks {
		placement := make([][]int, len(l.group.ranks))
		l.order(i, core.RankOrder{Verb: core.RankPrepare, Map: l.version, Placement: [][][]int{placement}})
	}
	l.order(holdingRank, core.RankOrder{Verb: core.RankHold, Step: l.step})
}

func (l *leaderSwitch) arm(ranks ...int) {
	for _, i := range ranks {
		l.order(i, core.RankOrder{Verb: core.RankArm, Map: l.version, Step: l.step})
	}
}

func (l *leaderSwitch) release() {
	l.order(holdingRank, core.RankOrder{Verb: core.RankRelease, Step: l.step})
}

// gatedClient is the client of a contender that stands still before an order that matches,
// until proceed is closed.
type gatedClient struct {
	*simClient
	matches func(rank int, o core.RankOrder) bool
	reached chan struct{}
	proceed chan struct{}
}

func (c *gatedClient) Order(ctx context.Context, rank core.RankAddr, o core.RankOrder) error {
	if c.matches(int(rank.Engine.Port()), o) {
		select {
		case <-c.reached:
		default:
			close(c.reached)
		}
		<-c.proceed
	}
	return c.simClient.Order(context.WithoutCancel(ctx), rank, o)
}

func newGatedClient(s *simGroup, matches func(rank int, o core.RankOrder) bool) *gatedClient {
	return &gatedClient{simClient: &simClient{simGroup: s}, matches: matches, reached: make(chan struct{}), proceed: make(chan struct{})}
}

// Guards against a recovery that was overtaken by another one and then disarms a rank for
// the leader's next switch, for which the leader already has all confirmations.
func TestOvertakenRecoveryLeavesNextSwitch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSimGroup(1, 4, 0)
		s.step = 100
		first := &leaderSwitch{g: g, group: s, version: 1<<nonceBits | 50, step: 101}
		first.prepareAndHold()
		slow := newGatedClient(s, func(rank int, o core.RankOrder) bool { return rank == 2 && o.Verb == core.RankPrepare })
		done := make(chan error, 1)
		go func() {
			contender := s.newGroup(slow.simClient, 1, 11)
			contender.ranks, contender.direct = slow, slow
			done <- contender.recoverSwitch(context.Background(), s.epoch)
		}()
		<-slow.reached
		synctest.Wait()
		g.Expect(s.newGroup(&simClient{simGroup: s}, 1, 22).recoverSwitch(context.Background(), s.epoch)).To(Succeed())
		for range 3 {
			s.beginPass()
		}
		g.Expect(s.step).To(BeEquivalentTo(103), "the other contender has ended the hold")
		next := &leaderSwitch{g: g, group: s, version: 9<<nonceBits | 50, step: 104}
		next.prepareAndHold()
		next.arm(0, 1, 2, 3)
		close(slow.proceed)
		time.Sleep(100 * time.Millisecond)
		next.release()
		s.beginPass()
		g.Expect(s.violation).To(BeEmpty())
		g.Expect(<-done).To(HaveOccurred())
	})
}

// Guards against a release by a recovery that arrives late, in a group without traffic, and
// ends the hold of a later switch before the same pass while only some ranks are armed.
func TestLateReleaseOfRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSimGroup(1, 4, 0)
		s.step = 100
		first := &leaderSwitch{g: g, group: s, version: 1<<nonceBits | 50, step: 101}
		first.prepareAndHold()
		slow := newGatedClient(s, func(_ int, o core.RankOrder) bool { return o.Verb == core.RankRelease })
		done := make(chan error, 1)
		go func() {
			contender := s.newGroup(slow.simClient, 1, 11)
			contender.ranks, contender.direct = slow, slow
			done <- contender.recoverSwitch(context.Background(), s.epoch)
		}()
		<-slow.reached
		g.Expect(s.newGroup(&simClient{simGroup: s}, 1, 22).recoverSwitch(context.Background(), s.epoch)).To(Succeed())
		// No pass begins, so that the leader holds the same one for its next switch. It
		// gives up if it finds that ranks are armed.
		leader := s.newGroup(&simClient{simGroup: s}, 1, 50)
		frozen := newGatedClient(s, func(rank int, o core.RankOrder) bool { return rank == 3 && o.Verb == core.RankArm })
		leader.ranks, leader.direct = frozen, frozen
		reports := make([]core.RankReport, len(s.ranks))
		for i := range s.ranks {
			reports[i] = s.report(i)
			leader.highestVersion = max(leader.highestVersion, reports[i].PreparedMap)
		}
		switched := make(chan error, 1)
		go func() { switched <- leader.switchTo(context.Background(), leader.placement) }()
		synctest.Wait()
		close(slow.proceed)
		g.Expect(<-done).To(Succeed())
		for range 3 {
			s.beginPass()
		}
		g.Expect(s.violation).To(BeEmpty())
		close(frozen.proceed)
		<-switched
		for range 3 {
			s.beginPass()
		}
		g.Expect(s.violation).To(BeEmpty())
	})
}

// Guards against ranks that use different maps for good, whatever the cause: also those
// that no switch of this program has left so.
func TestDifferentMapsAreUnified(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSimGroup(1, 4, 0)
		s.step = 100
		for i, version := range []uint64{7<<nonceBits | 1, 7<<nonceBits | 1, 8<<nonceBits | 2, 7<<nonceBits | 1} {
			s.ranks[i].version, s.ranks[i].placement, s.ranks[i].highestVersion = version, "foreign", version
		}
		stop := s.runPasses()
		defer stop()
		leader := s.newGroup(&simClient{simGroup: s}, 9, 50)
		leader.load, leader.placement = nil, nil
		for range 5 {
			g.Expect(leader.runRound(context.Background())).To(Succeed())
			time.Sleep(minRoundInterval)
		}
		s.mu.Lock()
		mixed := s.mixed
		for _, r := range s.ranks {
			g.Expect(r.version).To(Equal(s.ranks[0].version))
		}
		s.mu.Unlock()
		time.Sleep(time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		g.Expect(s.mixed).To(Equal(mixed))
	})
}

// Guards against a leader that waits for the map of its last switch for good, because
// another leader or contender has switched the group since.
func TestPendingSwitchIsOvertaken(t *testing.T) {
	g := NewWithT(t)
	group := &group{pending: &pendingSwitch{version: 7, step: 20}}
	g.Expect(group.confirmSettled([]core.RankReport{{Map: 6, Step: 19}})).To(BeFalse())
	g.Expect(group.pending).NotTo(BeNil(), "the pass has not begun")
	g.Expect(group.confirmSettled([]core.RankReport{{Map: 9, Step: 30}})).To(BeFalse())
	g.Expect(group.confirmSettled([]core.RankReport{{Map: 9, Step: 31}})).To(BeTrue())
}

// Guards against a version of a map that a JSON number does not represent exactly, since
// fencing tokens hold the era of the store.
func TestVersionsOfLateEras(t *testing.T) {
	g := NewWithT(t)
	group := &group{token: core.NewVersion(core.MaxEra, 1<<30), nonce: 1<<nonceBits - 1}
	var last uint64
	for range 1000 {
		version := group.nextVersion()
		g.Expect(version).To(BeNumerically("<", 1<<53))
		g.Expect(version).To(BeNumerically(">", last))
		last = version
	}
	g.Expect(group.token).To(BeNumerically("<", 1<<53))
}

// mixedPlacement is the client of a leader that reads the placement while a switch takes
// effect: rank 1 has the next map already.
type mixedPlacement struct{ *simClient }

func (c *mixedPlacement) Placement(ctx context.Context, rank core.RankAddr) (uint64, [][]int, error) {
	version, sets, err := c.simClient.Placement(ctx, rank)
	if rank.Engine.Port() == 1 {
		version = 7
	}
	return version, sets, err
}

// Guards against a map that is planned from parts of two others.
func TestPlacementDuringSwitch(t *testing.T) {
	g := NewWithT(t)
	s := newSimGroup(1, 4, 0)
	client := &simClient{simGroup: s, freezeAt: math.MaxInt32}
	leader := s.newGroup(client, 9, 50)
	leader.ranks, leader.placement, leader.gapShare = &mixedPlacement{client}, nil, 1
	leader.spec.Engine.ExpertShare = 0.9
	leader.load, leader.loadDuration = core.ExpertLoad{{1000, 1, 1, 1}}, time.Minute
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := leader.runRound(ctx)
	g.Expect(client.orders.Load()).To(BeZero())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(leader.placement).To(BeNil())
}
