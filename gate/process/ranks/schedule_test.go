package ranks

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/core/suite/memory"
)

// schedule is a simulated run of several gates that balance one group. It runs in the
// virtual time of synctest. Its seed decides which orders are lost or take effect late,
// which gates freeze or end and when, when there is no traffic, when the group re-forms and
// when the store comes back from a copy.
type schedule struct {
	seed  uint64
	group *simGroup
	store *memory.Store
	spec  *GroupSpec
	nodes []*scheduledNode
	ctx   context.Context

	// The fields below are guarded by group.mu.

	calm bool
	idle bool
	// counts are the selections of each expert at each rank, and hot is the rank whose
	// experts are selected most.
	counts [][]uint64
	hot    int
	// history holds the former reports of each rank, since reports that are not read
	// through a sidecar are outdated.
	history [][]timedReport
	calls   map[string]int
}

type timedReport struct {
	at     time.Time
	report core.RankReport
}

const (
	scheduledRanks   = 4
	scheduledExperts = 8
	// scheduledLength is the time with faults, and scheduledRest the time without.
	scheduledLength = 20 * time.Second
	scheduledRest   = 12 * time.Second
	reportLag       = 200 * time.Millisecond
)

// draw returns a number from 0 to 1 that depends on the seed and the key only.
func (s *schedule) draw(key ...any) float64 {
	return float64(xxhash.Sum64String(fmt.Sprint(append([]any{s.seed}, key...)...))>>11) / (1 << 53)
}

// count returns how often it was called with the key.
func (s *schedule) count(key ...any) int {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	k := fmt.Sprint(key...)
	s.calls[k]++
	return s.calls[k]
}

func (s *schedule) isCalm() bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.calm
}

func between(lo, hi time.Duration, x float64) time.Duration {
	return lo + time.Duration(x*float64(hi-lo))
}

// scheduledNode is the machine of one gate.
type scheduledNode struct {
	schedule *schedule
	number   int

	mu          sync.Mutex
	frozenAt    time.Time
	frozenUntil time.Time
	contends    bool
	// process counts the processes of the machine, and end ends the present one.
	process int
	end     context.CancelFunc
	leader  *Leader
}

// await returns once the machine does not stand still.
func (n *scheduledNode) await() {
	for n.schedule.ctx.Err() == nil {
		n.mu.Lock()
		d := time.Until(n.frozenUntil)
		n.mu.Unlock()
		if d <= 0 {
			return
		}
		time.Sleep(d)
	}
}

func (n *scheduledNode) freeze(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if time.Now().Before(n.frozenUntil) {
		return
	}
	n.frozenAt, n.frozenUntil = time.Now(), time.Now().Add(d)
}

// isSilent reports whether nothing has been heard from the machine for the given time.
func (n *scheduledNode) isSilent(d time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.frozenUntil) && time.Since(n.frozenAt) >= d
}

func (n *scheduledNode) contending() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.contends
}

// start starts a process on the machine.
func (n *scheduledNode) start() {
	s := n.schedule
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process++
	ctx, cancel := context.WithCancel(s.ctx)
	n.end = cancel
	p := &scheduledProcess{node: n, ctx: ctx, number: n.process}
	holders := func(holder string, f func(*scheduledNode, bool) bool) bool {
		for _, other := range s.nodes {
			other.mu.Lock()
			current := holder == fmt.Sprintf("%d/%d", other.number, other.process)
			former := !current && holder[:2] == fmt.Sprintf("%d/", other.number)
			other.mu.Unlock()
			if current || former {
				return f(other, former)
			}
		}
		return false
	}
	l := &Leader{
		Ranks: p, Direct: p, Store: &scheduledStore{Store: s.store, process: p}, Holder: fmt.Sprintf("%d/%d", n.number, n.process), Fenced: true,
		Ended: func(holder string) bool {
			return holders(holder, func(n *scheduledNode, former bool) bool { return former || n.isSilent(700*time.Millisecond) })
		},
		Alive: func(holder string) bool {
			return holders(holder, func(n *scheduledNode, former bool) bool { return !former && !n.isSilent(300*time.Millisecond) })
		},
		GapShare: func(string) float64 { return 1 },
		Contends: n.contending, Era: p.era.Load,
	}
	n.leader = l
	l.SetGroups(map[string]*GroupSpec{"g": s.spec})
	go l.Run(ctx)
}

// scheduledProcess is the client of one gate process.
type scheduledProcess struct {
	node   *scheduledNode
	number int
	ctx    context.Context
	// era is the store's era that the last response has named.
	era atomic.Uint64
}

var errEnded = trace.CompareFailed("the process has ended")

// arrive waits until a call has left the machine, and reports whether it does.
func (p *scheduledProcess) arrive(key ...any) error {
	p.node.await()
	if p.ctx.Err() != nil {
		return errEnded
	}
	time.Sleep(between(100*time.Microsecond, 2*time.Millisecond, p.node.schedule.draw(append(key, "request")...)))
	return nil
}

// back waits until the response has been read by the process.
func (p *scheduledProcess) back(ctx context.Context, key ...any) error {
	time.Sleep(between(100*time.Microsecond, 2*time.Millisecond, p.node.schedule.draw(append(key, "response")...)))
	p.node.await()
	if p.ctx.Err() != nil {
		return errEnded
	}
	if ctx.Err() != nil {
		return trace.ConnectionProblem(ctx.Err(), "no response")
	}
	return nil
}

// Order implements core.RankClient.
func (p *scheduledProcess) Order(ctx context.Context, rank core.RankAddr, o core.RankOrder) error {
	s, i := p.node.schedule, int(rank.Engine.Port())
	key := []any{p.node.number, p.number, i, o.Verb, o.Epoch, o.Step}
	key = append(key, s.count(key...))
	if err := p.arrive(key...); err != nil {
		return err
	}
	calm := s.isCalm()
	carryOut := func() error {
		s.group.mu.Lock()
		defer s.group.mu.Unlock()
		return s.group.apply(i, o)
	}
	var err error
	switch x := s.draw(append(key, "fate")...); {
	case !calm && x < s.rate("late"):
		d := between(20*time.Millisecond, 4*time.Second, s.draw(append(key, "delay")...))
		go func() {
			time.Sleep(d)
			_ = carryOut()
		}()
		<-ctx.Done()
	case !calm && x < s.rate("late")+s.rate("lost"):
		_ = carryOut()
		<-ctx.Done()
	default:
		err = carryOut()
	}
	if x := s.draw(append(key, "freeze")...); !calm && x < s.rate("freeze") {
		lengths := []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond, 2500 * time.Millisecond, 6 * time.Second}
		p.node.freeze(between(1, 2, s.draw(append(key, "length")...)) * lengths[int(s.draw(append(key, "kind")...)*float64(len(lengths)))])
	}
	if lost := p.back(ctx, key...); lost != nil {
		return lost
	}
	return err
}

// rate returns how often a fault occurs in this run.
func (s *schedule) rate(fault string) float64 {
	levels := map[string][]float64{"late": {0, 0.1, 0.35}, "lost": {0, 0.05, 0.2}, "freeze": {0.02, 0.06, 0.15}, "direct": {0, 0.1, 0.4}, "restore": {0, 0, 0.05}}[fault]
	return levels[int(s.draw("rate", fault)*float64(len(levels)))]
}

// Report implements core.RankClient.
func (p *scheduledProcess) Report(ctx context.Context, rank core.RankAddr, counts bool) (core.RankReport, error) {
	s, i := p.node.schedule, int(rank.Engine.Port())
	key := []any{p.node.number, p.number, i, "report"}
	key = append(key, s.count(key...))
	if err := p.arrive(key...); err != nil {
		return core.RankReport{}, err
	}
	s.group.mu.Lock()
	r := s.group.report(i)
	if counts {
		r.ExpertCounts = slices.Clone(s.counts[i])
	}
	// After a failed call a sidecar is not called for two seconds.
	if !s.calm && s.draw(p.node.number, i, "direct", time.Now().Unix()/2) < s.rate("direct") {
		r.ExpertCounts = nil
		for _, former := range s.history[i] {
			if time.Since(former.at) >= reportLag {
				r = former.report
			}
		}
	}
	s.group.mu.Unlock()
	return r, p.back(ctx, key...)
}

// Placement implements core.RankClient.
func (p *scheduledProcess) Placement(ctx context.Context, rank core.RankAddr) (uint64, [][]int, error) {
	s, i := p.node.schedule, int(rank.Engine.Port())
	key := []any{p.node.number, p.number, i, "placement"}
	key = append(key, s.count(key...))
	if err := p.arrive(key...); err != nil {
		return 0, nil, err
	}
	s.group.mu.Lock()
	version, experts := s.group.ranks[i].version, s.group.ranks[i].experts
	if version == 0 {
		experts = [][]int{{i, i + scheduledRanks}}
	}
	s.group.mu.Unlock()
	return version, experts, p.back(ctx, key...)
}

// scheduledStore is the store as one process reaches it.
type scheduledStore struct {
	*memory.Store
	process *scheduledProcess
}

func (s *scheduledStore) call(ctx context.Context, f func() (core.Object, error)) (core.Object, error) {
	key := []any{s.process.node.number, s.process.number, "store"}
	key = append(key, s.process.node.schedule.count(key...))
	if err := s.process.arrive(key...); err != nil {
		return core.Object{}, trace.ConnectionProblem(err, "ended")
	}
	o, err := f()
	era := core.Era(s.Store.Revision())
	if lost := s.process.back(ctx, key...); lost != nil {
		return core.Object{}, trace.ConnectionProblem(lost, "no response")
	}
	s.process.era.Store(max(s.process.era.Load(), era))
	return o, err
}

func (s *scheduledStore) Get(ctx context.Context, key core.Key) (core.Object, error) {
	return s.call(ctx, func() (core.Object, error) { return s.Store.Get(context.WithoutCancel(ctx), key) })
}

func (s *scheduledStore) Create(ctx context.Context, o core.Object) (core.Object, error) {
	return s.call(ctx, func() (core.Object, error) { return s.Store.Create(context.WithoutCancel(ctx), o) })
}

func (s *scheduledStore) Update(ctx context.Context, o core.Object) (core.Object, error) {
	return s.call(ctx, func() (core.Object, error) { return s.Store.Update(context.WithoutCancel(ctx), o) })
}

func (s *scheduledStore) Delete(ctx context.Context, o core.Object) (core.Object, error) {
	return s.call(ctx, func() (core.Object, error) { return s.Store.Delete(context.WithoutCancel(ctx), o) })
}

// runPasses begins the passes of the group and records the former reports.
func (s *schedule) runPasses() {
	for s.ctx.Err() == nil {
		s.group.mu.Lock()
		idle := s.idle
		for i := range s.counts {
			s.history[i] = append(s.history[i], timedReport{time.Now(), s.group.report(i)})
			if len(s.history[i]) > 60 {
				s.history[i] = s.history[i][1:]
			}
			for e := range s.counts[i] {
				if s.counts[i][e]++; e%scheduledRanks == s.hot {
					s.counts[i][e] += 6
				}
			}
		}
		s.group.mu.Unlock()
		if !idle {
			s.group.beginPass()
		}
		time.Sleep(8 * time.Millisecond)
	}
}

// runTroubles changes the demand, stops the traffic, ends processes and re-forms the group.
func (s *schedule) runTroubles() {
	for n := 0; s.ctx.Err() == nil; n++ {
		time.Sleep(between(200*time.Millisecond, 1200*time.Millisecond, s.draw("trouble", n)))
		s.group.mu.Lock()
		s.hot = int(s.draw("hot", n) * scheduledRanks)
		calm := s.calm
		s.idle = !calm && s.draw("idle", n) < 0.25
		s.group.mu.Unlock()
		if calm {
			continue
		}
		if s.draw("kill", n) < 0.08 {
			node := s.nodes[int(s.draw("killed", n)*float64(len(s.nodes)))]
			node.mu.Lock()
			end := node.end
			node.mu.Unlock()
			end()
			time.Sleep(300 * time.Millisecond)
			node.start()
		}
		if s.draw("reform", n) < 0.04 {
			s.group.reform()
		}
		if s.draw("copy", n) < 0.3 {
			s.store.Copy()
		}
		if s.draw("restore", n) < s.rate("restore") {
			s.store.Restore()
		}
	}
}

// runSchedule runs the schedule with the given seed and returns the group.
func runSchedule(seed uint64) (violation string, mixed, mixedAtEnd int, stands, led bool) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &schedule{
		seed: seed, group: newSimGroup(seed, scheduledRanks, 0), store: &memory.Store{}, ctx: ctx, calls: map[string]int{},
		history: make([][]timedReport, scheduledRanks), counts: make([][]uint64, scheduledRanks),
		spec: &GroupSpec{Name: "g", Pool: "p", Size: scheduledRanks, Engine: core.EngineConfig{
			LayerSets: 1, Experts: scheduledExperts, SlotsPerRank: 4, MaxNewExperts: 2, ExpertShare: 0.85, ExpertCopyTime: 15 * time.Millisecond,
		}},
	}
	s.group.copyTime = 15 * time.Millisecond
	for i := range scheduledRanks {
		s.counts[i] = make([]uint64, scheduledExperts)
		s.spec.Members = append(s.spec.Members, core.RankAddr{Engine: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i))})
	}
	// As after the restart of a machine, the gate that leads first is none of the two
	// that contend for its lease.
	for i := range []int{3, 3, 5}[int(s.draw("nodes")*3)] {
		s.nodes = append(s.nodes, &scheduledNode{schedule: s, number: i, contends: i < 2})
	}
	last := s.nodes[len(s.nodes)-1]
	last.contends = true
	last.start()
	go s.runPasses()
	time.Sleep(500 * time.Millisecond)
	last.mu.Lock()
	last.contends = false
	last.mu.Unlock()
	for _, n := range s.nodes[:len(s.nodes)-1] {
		n.start()
	}
	go s.runTroubles()
	time.Sleep(scheduledLength)
	s.group.mu.Lock()
	s.calm, s.idle = true, false
	s.group.mu.Unlock()
	time.Sleep(scheduledRest)
	s.group.mu.Lock()
	passes, wasMixed := s.group.passes, s.group.mixed
	s.group.mu.Unlock()
	time.Sleep(time.Second)
	s.group.mu.Lock()
	violation, mixed, mixedAtEnd, stands = s.group.violation, s.group.mixed, s.group.mixed-wasMixed, s.group.passes-passes < 50
	s.group.mu.Unlock()
	for _, n := range s.nodes {
		token, ok := n.leader.leaderToken()
		led = led || ok && core.Era(token) == core.Era(s.store.Revision())
	}
	cancel()
	// All goroutines end within the longest time of an order or a freeze.
	time.Sleep(scheduledRest)
	return violation, mixed, mixedAtEnd, stands, led
}

// failedSchedules lists seeds that have failed, 6673 in some runs only: it also failed since
// the release of a recovery ended a later hold before the same pass, the others since a
// recovery disarmed ranks for a later switch.
var failedSchedules = []uint64{1013, 1217, 1245, 1286, 1381, 1445, 2064, 2068, 2136, 2393, 2494, 2648, 6673}

// Guards against a pass that uses different maps on different ranks, whatever the order in
// which leaders, contenders that recover a switch, late orders, frozen and restarted gates
// and new epochs meet, and against a group that stands, differs or has no leader for good,
// also if the store has lost its lease. SCHEDULE_FROM
// and SCHEDULE_SEEDS choose other seeds.
func TestSchedules(t *testing.T) {
	from, _ := strconv.Atoi(os.Getenv("SCHEDULE_FROM"))
	seeds, _ := strconv.Atoi(os.Getenv("SCHEDULE_SEEDS"))
	if seeds == 0 {
		seeds = 300
	}
	list := slices.Clone(failedSchedules)
	for seed := uint64(from); seed < uint64(from+seeds); seed++ {
		list = append(list, seed)
	}
	for _, seed := range list {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				violation, mixed, atEnd, stands, led := runSchedule(seed)
				g.Expect(violation).To(BeEmpty(), "%d passes, %d of them in the last second", mixed, atEnd)
				g.Expect(stands).To(BeFalse(), "the group runs no more passes")
				g.Expect(led).To(BeTrue(), "no gate leads with a token of the store's era")
			})
		})
	}
}
