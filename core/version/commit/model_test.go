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

// engine is a model of one rank's engine process.
type engine struct {
	core.RankState
	// begun is set while the rank is in Step and waits there for the others.
	begun bool
}

func (e *engine) stale(b core.Ballot, incarnation uint64) bool {
	return b.Less(e.PromisedBallot) || incarnation != e.Incarnation
}

func (e *engine) inspect(b core.Ballot) bool {
	if b == (core.Ballot{}) {
		return true
	}
	if !e.PromisedBallot.Less(b) {
		return false
	}
	e.PromisedBallot = b
	return true
}

func (e *engine) stage(epoch uint64) {
	if !slices.Contains(e.StagedEpochs, epoch) {
		e.StagedEpochs = append(slices.Clone(e.StagedEpochs), epoch)
		slices.Sort(e.StagedEpochs)
	}
}

func (e *engine) prepare(b core.Ballot, incarnation, epoch, step uint64) bool {
	if e.stale(b, incarnation) || !slices.Contains(e.StagedEpochs, epoch) || epoch <= e.ActiveEpoch {
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

func (e *engine) decide(b core.Ballot, incarnation, epoch, step uint64, commit bool) bool {
	if e.stale(b, incarnation) {
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

// world is a group with its agents, deciders and messages in flight.
type world struct {
	engines []engine
	fences  []uint64
	used    map[uint64]uint64 // step -> epoch
	begun   map[uint64]int    // step -> bit set of the ranks that began it
	orders  []flight
	replies []flightReply
	ms      []*machine
	token   uint64
	epoch   uint64
	fault   string
	// reported is the newest epoch that a decider has reported as committed.
	reported uint64
}

type flight struct {
	decider int
	order   order
}

type flightReply struct {
	decider int
	reply   reply
}

func newWorld(n int) *world {
	w := &world{
		engines: make([]engine, n), fences: make([]uint64, n),
		used: map[uint64]uint64{}, begun: map[uint64]int{}, token: 1, epoch: 1,
	}
	for r := range w.engines {
		w.engines[r].RankState = core.RankState{Incarnation: 1, ActiveEpoch: 1, StagedEpochs: []uint64{1}}
	}
	return w
}

func (w *world) clone() *world {
	c := *w
	c.engines, c.fences = slices.Clone(w.engines), slices.Clone(w.fences)
	c.used, c.begun = maps.Clone(w.used), maps.Clone(w.begun)
	c.orders, c.replies = slices.Clone(w.orders), slices.Clone(w.replies)
	c.ms = make([]*machine, len(w.ms))
	for i, m := range w.ms {
		d := *m
		d.states, d.waiting = slices.Clone(m.states), slices.Clone(m.waiting)
		c.ms[i] = &d
	}
	return &c
}

// key identifies the state, whatever the order of the messages in flight.
func (w *world) key() string {
	var b []byte
	num := func(vs ...uint64) {
		for _, v := range vs {
			b = binary.AppendUvarint(b, v)
		}
	}
	flag := func(vs ...bool) {
		for _, v := range vs {
			num(uint64(b2i(v)))
		}
	}
	state := func(s *core.RankState) {
		num(s.Incarnation, s.Step, s.ActiveEpoch, s.PromisedBallot.Token, s.PromisedBallot.Number, s.PromisedEpoch, s.PromisedStep)
		flag(s.Holding, s.Committed)
		num(uint64(len(s.StagedEpochs)))
		num(s.StagedEpochs...)
	}
	put := func(d int, o *order) {
		num(uint64(d), uint64(o.rank), uint64(o.phase), o.ballot.Token, o.ballot.Number, o.incarnation, o.epoch, o.step)
		flag(o.commit)
	}
	var flights []string
	whole := b
	for i := range w.orders {
		b = nil
		put(w.orders[i].decider, &w.orders[i].order)
		flights = append(flights, "o"+string(b))
	}
	for i := range w.replies {
		b = nil
		r := &w.replies[i].reply
		put(w.replies[i].decider, &r.order)
		num(uint64(r.outcome))
		state(&r.state)
		flights = append(flights, "r"+string(b))
	}
	slices.Sort(flights)
	b = whole
	for i := range w.engines {
		state(&w.engines[i].RankState)
		flag(w.engines[i].begun)
		num(w.fences[i], uint64(w.begun[w.engines[i].Step]), w.used[w.engines[i].Step])
	}
	for _, m := range w.ms {
		num(uint64(m.phase), m.ballot.Token, m.ballot.Number, m.floor.Token, m.floor.Number, m.pendingEpoch, m.pendingStep,
			m.joinEpoch, m.joinStep, m.targetToken, m.targetEpoch, uint64(m.attempts), m.step, uint64(m.verdict))
		flag(m.waiting...)
		for i := range m.states {
			state(&m.states[i])
		}
	}
	return string(b) + strings.Join(flights, "")
}

// quiet delivers the messages whose time of delivery makes no difference:
// answers that the decider ignores or only collects, and, if no engine will be
// replaced, orders that are refused for good.
func (w *world) quiet(replaces bool) {
	for again := true; again; {
		again = false
		for i, f := range w.replies {
			m := w.ms[f.decider]
			r := f.reply
			live := r.ballot == m.ballot && r.phase == m.phase && m.waiting[r.rank]
			others := 0
			for _, x := range m.waiting {
				others += b2i(x)
			}
			if !live || r.outcome == accepted && others > 1 {
				w.answer(i)
				again = true
				break
			}
		}
		for i, f := range w.orders {
			if !replaces && f.order.ballot.Less(w.engines[f.order.rank].PromisedBallot) {
				w.carryOut(i)
				again = true
				break
			}
		}
	}
}

func (w *world) send(d int, out []order) {
	for _, o := range out {
		w.orders = append(w.orders, flight{d, o})
	}
}

// addDecider starts the agent of rank 0 anew; earlier ones may go on.
func (w *world) addDecider() {
	w.ms = append(w.ms, newMachine(len(w.engines), 2))
	w.send(len(w.ms)-1, w.ms[len(w.ms)-1].start())
}

// request stages the next epoch on the ranks of a bit set and asks a decider.
func (w *world) request(d, on int) {
	if w.ms[d].phase != phaseIdle {
		return
	}
	w.epoch++
	for r := range w.engines {
		if on&(1<<r) != 0 && w.fences[r] <= w.token {
			w.fences[r] = w.token
			w.engines[r].stage(w.epoch)
		}
	}
	w.send(d, w.ms[d].request(w.token, w.epoch, 3))
}

func (w *world) carryOut(i int) {
	f := w.orders[i]
	w.orders = slices.Delete(slices.Clone(w.orders), i, i+1)
	o, e := f.order, &w.engines[f.order.rank]
	ok := o.ballot.Token >= w.fences[o.rank]
	if ok {
		w.fences[o.rank] = o.ballot.Token
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
		if b.Less(core.Ballot{Token: w.fences[o.rank]}) {
			b = core.Ballot{Token: w.fences[o.rank]}
		}
		r.outcome, r.state = refused, core.RankState{PromisedBallot: b}
	}
	w.replies = append(slices.Clone(w.replies), flightReply{f.decider, r})
}

func (w *world) answer(i int) {
	f := w.replies[i]
	w.replies = slices.Delete(slices.Clone(w.replies), i, i+1)
	m := w.ms[f.decider]
	target := m.targetEpoch
	w.send(f.decider, m.on(f.reply))
	if target != 0 && m.targetEpoch == 0 && m.verdict == verdictCommitted {
		w.reported = max(w.reported, target)
	}
}

// timeout makes a decider take the order to a rank for lost. The order or its
// reply stays in flight.
func (w *world) timeout(d, r int) {
	m := w.ms[d]
	if m.waiting[r] && m.phase > phaseBackoff {
		w.send(d, m.on(reply{order: m.order(r), outcome: lost}))
	}
}

func (w *world) retry(d int) {
	if w.ms[d].phase == phaseBackoff {
		w.send(d, w.ms[d].start())
	}
}

// step begins or ends a step at a rank, if it can. It reports whether it did.
func (w *world) step(r int) bool {
	e := &w.engines[r]
	if e.ActiveEpoch == 0 {
		return false
	}
	if e.begun {
		if w.begun[e.Step] != 1<<len(w.engines)-1 {
			return false // a rank has not come yet
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
			w.fault = fmt.Sprintf("rank %d passed step %d of a committed switch", r, e.PromisedStep)
		}
		if e.PromisedEpoch < e.ActiveEpoch {
			w.fault = "epoch went back"
		}
		e.ActiveEpoch, e.PromisedEpoch, e.PromisedStep, e.Committed = e.PromisedEpoch, 0, 0, false
	}
	e.Holding = false
	if was, ok := w.used[e.Step]; ok && was != e.ActiveEpoch {
		w.fault = fmt.Sprintf("step %d ran with epochs %d and %d", e.Step, was, e.ActiveEpoch)
	}
	if e.Step > 0 && w.used[e.Step-1] > e.ActiveEpoch {
		w.fault = fmt.Sprintf("step %d runs with epoch %d after %d", e.Step, e.ActiveEpoch, w.used[e.Step-1])
	}
	w.used[e.Step] = e.ActiveEpoch
	w.begun[e.Step] |= 1 << r
	e.begun = true
	return true
}

// replace starts a new engine process that knows only the group's active map.
func (w *world) replace(r int) {
	var active, live uint64
	for i, e := range w.engines {
		if i != r && e.ActiveEpoch != 0 {
			live++
			active = max(active, e.ActiveEpoch)
		}
	}
	if live == 0 {
		return // the whole group starts anew, which is another case
	}
	e := &w.engines[r]
	// A step that the rank began and others did not reach is not run: the rank
	// that replaces it runs it anew.
	w.begun[e.Step] &^= b2i(e.begun && w.begun[e.Step] != 1<<len(w.engines)-1) << r
	if w.begun[e.Step] == 0 {
		delete(w.used, e.Step)
	}
	*e = engine{RankState: core.RankState{Incarnation: e.Incarnation + 1, StagedEpochs: []uint64{active}}}
	w.fences[r] = 0
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// settle ends all faults: only the newest decider goes on, or a fresh one, and
// the messages in flight are delivered in order. It returns the number of rounds
// until every rank has made more steps, or -1.
func (w *world) settle(rounds int, fresh bool) int {
	last := len(w.ms) - 1
	for d, m := range w.ms {
		if fresh || d != last {
			m.phase = phaseIdle // dead
		}
	}
	if fresh {
		w.addDecider()
		last++
	}
	var goal uint64
	for _, e := range w.engines {
		goal = max(goal, e.Step+6)
	}
	for n := range rounds {
		for range len(w.orders) {
			w.carryOut(0)
		}
		for range len(w.replies) {
			w.answer(0)
		}
		w.retry(last)
		done, poll := true, false
		for r := range w.engines {
			w.step(r)
			if n%5 == 4 {
				w.timeout(last, r)
			}
			done = done && w.engines[r].Step >= goal
			poll = poll || w.engines[r].ActiveEpoch == 0 || w.engines[r].Holding
		}
		if poll && w.ms[last].phase == phaseIdle {
			w.send(last, w.ms[last].start())
		}
		if w.fault != "" {
			return n
		}
		if done {
			for r, e := range w.engines {
				if e.ActiveEpoch < w.reported && e.PromisedEpoch < w.reported {
					w.fault = fmt.Sprintf("epoch %d was reported, rank %d runs %d", w.reported, r, e.ActiveEpoch)
				}
			}
			return n
		}
	}
	return -1
}

// group serves a model engine as core.RankEngine.
type group struct {
	w    *world
	lock chan struct{}
	rank int
}

func (g *group) call(f func(*engine) bool) (core.RankState, error) {
	g.lock <- struct{}{}
	defer func() { <-g.lock }()
	e := &g.w.engines[g.rank]
	if !f(e) {
		return core.RankState{}, trace.CompareFailed("refused by the engine")
	}
	return e.RankState, nil
}

func (g *group) Inspect(_ context.Context, b core.Ballot) (core.RankState, error) {
	return g.call(func(e *engine) bool { return e.inspect(b) })
}

func (g *group) Stage(_ context.Context, _ core.Ballot, m *core.ExpertMap) (int, error) {
	_, err := g.call(func(e *engine) bool { e.stage(m.Epoch); return true })
	return 1, err
}

func (g *group) Prepare(_ context.Context, b core.Ballot, inc, epoch, step uint64) (core.RankState, error) {
	return g.call(func(e *engine) bool { return e.prepare(b, inc, epoch, step) })
}

func (g *group) Decide(_ context.Context, b core.Ballot, inc, epoch, step uint64, commit bool) (core.RankState, error) {
	return g.call(func(e *engine) bool { return e.decide(b, inc, epoch, step, commit) })
}

func (g *group) Load(context.Context) (core.ExpertLoad, error) {
	return core.ExpertLoad{{1, 2}, {3, 4}}, nil
}
