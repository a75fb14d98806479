package commit

import (
	"context"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
)

// modelEngine models the engine process of one rank.
type modelEngine struct {
	core.RankState
	// begun is set once the rank has begun Step, until all ranks have begun it.
	begun bool
}

func (e *modelEngine) isStale(b core.Ballot, incarnation uint64) bool {
	return b.Less(e.PromisedBallot) || incarnation != e.Incarnation
}

func (e *modelEngine) inspect(b core.Ballot) bool {
	if b == (core.Ballot{}) {
		return true
	}
	if !e.PromisedBallot.Less(b) {
		return false
	}
	e.PromisedBallot = b
	return true
}

func (e *modelEngine) stage(epoch uint64) {
	if !slices.Contains(e.StagedEpochs, epoch) {
		e.StagedEpochs = append(slices.Clone(e.StagedEpochs), epoch)
		slices.Sort(e.StagedEpochs)
	}
}

func (e *modelEngine) prepare(b core.Ballot, incarnation, epoch, step uint64) bool {
	if e.isStale(b, incarnation) || !slices.Contains(e.StagedEpochs, epoch) || epoch <= e.ActiveEpoch {
		return false
	}
	if e.PromisedEpoch == epoch && e.PromisedStep == step {
		e.PromisedBallot = b
		return true
	}
	if e.Committed || e.ActiveEpoch != 0 && (step < e.Step || step == e.Step && e.begun) {
		return false
	}
	e.PromisedBallot, e.PromisedEpoch, e.PromisedStep = b, epoch, step
	return true
}

func (e *modelEngine) decide(b core.Ballot, incarnation, epoch, step uint64, commit bool) bool {
	if e.isStale(b, incarnation) {
		return false
	}
	prepared := e.PromisedEpoch == epoch && e.PromisedStep == step && epoch != 0
	switch {
	case !commit && prepared && e.Committed && e.ActiveEpoch != 0:
		return false
	case !commit:
		if prepared {
			e.PromisedEpoch, e.PromisedStep, e.Committed = 0, 0, false
		}
	case e.ActiveEpoch >= epoch:
	case prepared:
		e.Committed = true
	case e.ActiveEpoch == 0 && slices.Contains(e.StagedEpochs, epoch):
		e.ActiveEpoch, e.Step = epoch, step
	default:
		return false
	}
	e.PromisedBallot = b
	return true
}

// simulation is a group with its agents, coordinators and messages in flight.
type simulation struct {
	engines       []modelEngine
	highestTokens []uint64
	epochOfStep   map[uint64]uint64 // step -> epoch
	ranksInStep   map[uint64]int    // step -> bit set of the ranks that began it
	orders        []orderInFlight
	replies       []replyInFlight
	machines      []*machine
	leaderToken   uint64
	newestEpoch   uint64
	violation     string
	// reportedEpoch is the highest epoch that a coordinator has reported as
	// committed.
	reportedEpoch uint64
}

type orderInFlight struct {
	coordinator int
	order       order
}

type replyInFlight struct {
	coordinator int
	reply       reply
}

func newSimulation(n int) *simulation {
	sim := &simulation{
		engines: make([]modelEngine, n), highestTokens: make([]uint64, n),
		epochOfStep: map[uint64]uint64{}, ranksInStep: map[uint64]int{}, leaderToken: 1, newestEpoch: 1,
	}
	for r := range sim.engines {
		sim.engines[r].RankState = core.RankState{Incarnation: 1, ActiveEpoch: 1, StagedEpochs: []uint64{1}}
	}
	return sim
}

func (sim *simulation) clone() *simulation {
	c := *sim
	c.engines, c.highestTokens = slices.Clone(sim.engines), slices.Clone(sim.highestTokens)
	c.epochOfStep, c.ranksInStep = maps.Clone(sim.epochOfStep), maps.Clone(sim.ranksInStep)
	c.orders, c.replies = slices.Clone(sim.orders), slices.Clone(sim.replies)
	c.machines = make([]*machine, len(sim.machines))
	for i, m := range sim.machines {
		clone := *m
		clone.states, clone.awaitingReply = slices.Clone(m.states), slices.Clone(m.awaitingReply)
		c.machines[i] = &clone
	}
	return &c
}

// stateKey returns a key of the state that does not depend on the order of the
// messages in flight.
func (sim *simulation) stateKey() string {
	var b []byte
	appendNumbers := func(vs ...uint64) {
		for _, v := range vs {
			b = binary.AppendUvarint(b, v)
		}
	}
	appendFlags := func(vs ...bool) {
		for _, v := range vs {
			appendNumbers(uint64(b2i(v)))
		}
	}
	appendState := func(s *core.RankState) {
		appendNumbers(s.Incarnation, s.Step, s.ActiveEpoch, s.PromisedBallot.Token, s.PromisedBallot.Number, s.PromisedEpoch, s.PromisedStep)
		appendFlags(s.Holding, s.Committed)
		appendNumbers(uint64(len(s.StagedEpochs)))
		appendNumbers(s.StagedEpochs...)
	}
	appendOrder := func(coord int, o *order) {
		appendNumbers(uint64(coord), uint64(o.rank), uint64(o.phase), o.ballot.Token, o.ballot.Number, o.incarnation, o.epoch, o.step)
		appendFlags(o.commit)
	}
	var messages []string
	saved := b
	for i := range sim.orders {
		b = nil
		appendOrder(sim.orders[i].coordinator, &sim.orders[i].order)
		messages = append(messages, "o"+string(b))
	}
	for i := range sim.replies {
		b = nil
		r := &sim.replies[i].reply
		appendOrder(sim.replies[i].coordinator, &r.order)
		appendNumbers(uint64(r.outcome))
		appendState(&r.state)
		messages = append(messages, "r"+string(b))
	}
	slices.Sort(messages)
	b = saved
	for i := range sim.engines {
		appendState(&sim.engines[i].RankState)
		appendFlags(sim.engines[i].begun)
		appendNumbers(sim.highestTokens[i], uint64(sim.ranksInStep[sim.engines[i].Step]), sim.epochOfStep[sim.engines[i].Step])
	}
	for _, m := range sim.machines {
		appendNumbers(uint64(m.phase), m.ballot.Token, m.ballot.Number, m.highestBallot.Token, m.highestBallot.Number, m.pendingEpoch, m.pendingStep,
			m.joinEpoch, m.joinStep, m.targetToken, m.targetEpoch, uint64(m.attemptsLeft), m.switchStep, uint64(m.result))
		appendFlags(m.awaitingReply...)
		for i := range m.states {
			appendState(&m.states[i])
		}
	}
	return string(b) + strings.Join(messages, "")
}

// deliverCommuting delivers the messages whose time of delivery makes no
// difference: replies that the coordinator ignores or only collects, and, if no
// engine will be replaced, orders that will be refused at any time.
func (sim *simulation) deliverCommuting(mayReplace bool) {
	for again := true; again; {
		again = false
		for i, f := range sim.replies {
			m := sim.machines[f.coordinator]
			r := f.reply
			awaited := r.ballot == m.ballot && r.phase == m.phase && m.awaitingReply[r.rank]
			others := 0
			for _, x := range m.awaitingReply {
				others += b2i(x)
			}
			if !awaited || r.outcome == accepted && others > 1 {
				sim.deliverReply(i)
				again = true
				break
			}
		}
		for i, f := range sim.orders {
			if !mayReplace && f.order.ballot.Less(sim.engines[f.order.rank].PromisedBallot) {
				sim.deliverOrder(i)
				again = true
				break
			}
		}
	}
}

func (sim *simulation) send(coord int, out []order) {
	for _, o := range out {
		sim.orders = append(sim.orders, orderInFlight{coord, o})
	}
}

// addCoordinator adds a coordinator, as a restart of rank 0's agent does. Earlier
// coordinators may continue.
func (sim *simulation) addCoordinator() {
	sim.machines = append(sim.machines, newMachine(len(sim.engines), 2))
	sim.send(len(sim.machines)-1, sim.machines[len(sim.machines)-1].startAttempt())
}

// requestSwitch stages the next epoch on the ranks in the bit set stagedOn and
// requests a switch to it from a coordinator.
func (sim *simulation) requestSwitch(coord, stagedOn int) {
	if sim.machines[coord].phase != phaseIdle {
		return
	}
	sim.newestEpoch++
	for r := range sim.engines {
		if stagedOn&(1<<r) != 0 && sim.highestTokens[r] <= sim.leaderToken {
			sim.highestTokens[r] = sim.leaderToken
			sim.engines[r].stage(sim.newestEpoch)
		}
	}
	sim.send(coord, sim.machines[coord].requestSwitch(sim.leaderToken, sim.newestEpoch, 3))
}

func (sim *simulation) deliverOrder(i int) {
	f := sim.orders[i]
	sim.orders = slices.Delete(slices.Clone(sim.orders), i, i+1)
	o, e := f.order, &sim.engines[f.order.rank]
	ok := o.ballot.Token >= sim.highestTokens[o.rank]
	if ok {
		sim.highestTokens[o.rank] = o.ballot.Token
		switch o.phase {
		case phaseInspect:
			ok = e.inspect(o.ballot)
		case phaseStage:
			e.stage(o.epoch)
		case phasePrepare, phaseJoinPrepare:
			ok = e.prepare(o.ballot, o.incarnation, o.epoch, o.step)
		default:
			ok = e.decide(o.ballot, o.incarnation, o.epoch, o.step, o.commit)
		}
	}
	r := reply{order: o, state: e.RankState}
	if !ok {
		b := e.PromisedBallot
		if b.Less(core.Ballot{Token: sim.highestTokens[o.rank]}) {
			b = core.Ballot{Token: sim.highestTokens[o.rank]}
		}
		r.outcome, r.state = refused, core.RankState{PromisedBallot: b}
	}
	sim.replies = append(slices.Clone(sim.replies), replyInFlight{f.coordinator, r})
}

func (sim *simulation) deliverReply(i int) {
	f := sim.replies[i]
	sim.replies = slices.Delete(slices.Clone(sim.replies), i, i+1)
	m := sim.machines[f.coordinator]
	target := m.targetEpoch
	sim.send(f.coordinator, m.handleReply(f.reply))
	if target != 0 && m.targetEpoch == 0 && m.result == resultCommitted {
		sim.reportedEpoch = max(sim.reportedEpoch, target)
	}
}

// timeOut makes a coordinator treat the order to a rank as lost. The order or its
// reply stays in flight.
func (sim *simulation) timeOut(coord, r int) {
	m := sim.machines[coord]
	if m.awaitingReply[r] && m.phase > phaseBackoff {
		sim.send(coord, m.handleReply(reply{order: m.orderFor(r), outcome: lost}))
	}
}

func (sim *simulation) retry(coord int) {
	if sim.machines[coord].phase == phaseBackoff {
		sim.send(coord, sim.machines[coord].startAttempt())
	}
}

// stepRank begins or ends a step at a rank, if possible. It reports whether it
// did.
func (sim *simulation) stepRank(r int) bool {
	e := &sim.engines[r]
	if e.ActiveEpoch == 0 {
		return false
	}
	if e.begun {
		if sim.ranksInStep[e.Step] != 1<<len(sim.engines)-1 {
			return false // a rank has not begun the step
		}
		e.Step, e.begun = e.Step+1, false
		return true
	}
	if e.PromisedEpoch != 0 && e.Step >= e.PromisedStep {
		if !e.Committed {
			e.Holding = true
			return false
		}
		if e.Step > e.PromisedStep {
			sim.violation = fmt.Sprintf("rank %d ran past step %d of a committed switch", r, e.PromisedStep)
		}
		if e.PromisedEpoch < e.ActiveEpoch {
			sim.violation = "the epoch decreased"
		}
		e.ActiveEpoch, e.PromisedEpoch, e.PromisedStep, e.Committed = e.PromisedEpoch, 0, 0, false
	}
	e.Holding = false
	if epoch, ok := sim.epochOfStep[e.Step]; ok && epoch != e.ActiveEpoch {
		sim.violation = fmt.Sprintf("step %d ran with epochs %d and %d", e.Step, epoch, e.ActiveEpoch)
	}
	if e.Step > 0 && sim.epochOfStep[e.Step-1] > e.ActiveEpoch {
		sim.violation = fmt.Sprintf("step %d runs with epoch %d after %d", e.Step, e.ActiveEpoch, sim.epochOfStep[e.Step-1])
	}
	sim.epochOfStep[e.Step] = e.ActiveEpoch
	sim.ranksInStep[e.Step] |= 1 << r
	e.begun = true
	return true
}

// replaceEngine starts a new engine process that has staged only the group's
// active map.
func (sim *simulation) replaceEngine(r int) {
	var active, running uint64
	for i, e := range sim.engines {
		if i != r && e.ActiveEpoch != 0 {
			running++
			active = max(active, e.ActiveEpoch)
		}
	}
	if running == 0 {
		return // a restart of the whole group is not simulated
	}
	e := &sim.engines[r]
	// A step that the rank began and that not all ranks have begun does not
	// complete: the new engine begins it again.
	sim.ranksInStep[e.Step] &^= b2i(e.begun && sim.ranksInStep[e.Step] != 1<<len(sim.engines)-1) << r
	if sim.ranksInStep[e.Step] == 0 {
		delete(sim.epochOfStep, e.Step)
	}
	*e = modelEngine{RankState: core.RankState{Incarnation: e.Incarnation + 1, StagedEpochs: []uint64{active}}}
	sim.highestTokens[r] = 0
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// runWithoutFaults runs without further faults: only the newest coordinator, or a
// new one, continues, and the messages in flight are delivered in order. It
// returns the number of rounds until every rank has run six more steps, or -1.
func (sim *simulation) runWithoutFaults(rounds int, newCoordinator bool) int {
	last := len(sim.machines) - 1
	for coord, m := range sim.machines {
		if newCoordinator || coord != last {
			m.phase = phaseIdle // stopped
		}
	}
	if newCoordinator {
		sim.addCoordinator()
		last++
	}
	var goal uint64
	for _, e := range sim.engines {
		goal = max(goal, e.Step+6)
	}
	for n := range rounds {
		for range len(sim.orders) {
			sim.deliverOrder(0)
		}
		for range len(sim.replies) {
			sim.deliverReply(0)
		}
		sim.retry(last)
		done, poll := true, false
		for r := range sim.engines {
			sim.stepRank(r)
			if n%5 == 4 {
				sim.timeOut(last, r)
			}
			done = done && sim.engines[r].Step >= goal
			poll = poll || sim.engines[r].ActiveEpoch == 0 || sim.engines[r].Holding
		}
		if poll && sim.machines[last].phase == phaseIdle {
			sim.send(last, sim.machines[last].startAttempt())
		}
		if sim.violation != "" {
			return n
		}
		if done {
			for r, e := range sim.engines {
				if e.ActiveEpoch < sim.reportedEpoch && e.PromisedEpoch < sim.reportedEpoch {
					sim.violation = fmt.Sprintf("epoch %d was reported, rank %d runs %d", sim.reportedEpoch, r, e.ActiveEpoch)
				}
			}
			return n
		}
	}
	return -1
}

// modelRank implements core.RankEngine with a modelEngine.
type modelRank struct {
	sim  *simulation
	lock chan struct{}
	rank int
}

func (g *modelRank) call(f func(*modelEngine) bool) (core.RankState, error) {
	g.lock <- struct{}{}
	defer func() { <-g.lock }()
	e := &g.sim.engines[g.rank]
	if !f(e) {
		return core.RankState{}, trace.CompareFailed("refused by the engine")
	}
	return e.RankState, nil
}

func (g *modelRank) Inspect(_ context.Context, b core.Ballot) (core.RankState, error) {
	return g.call(func(e *modelEngine) bool { return e.inspect(b) })
}

func (g *modelRank) Stage(_ context.Context, _ core.Ballot, m *core.ExpertMap) (int, error) {
	_, err := g.call(func(e *modelEngine) bool { e.stage(m.Epoch); return true })
	return 1, err
}

func (g *modelRank) Prepare(_ context.Context, b core.Ballot, inc, epoch, step uint64) (core.RankState, error) {
	return g.call(func(e *modelEngine) bool { return e.prepare(b, inc, epoch, step) })
}

func (g *modelRank) Decide(_ context.Context, b core.Ballot, inc, epoch, step uint64, commit bool) (core.RankState, error) {
	return g.call(func(e *modelEngine) bool { return e.decide(b, inc, epoch, step, commit) })
}

func (g *modelRank) Load(context.Context) (core.ExpertLoad, error) {
	return core.ExpertLoad{{1, 2}, {3, 4}}, nil
}
