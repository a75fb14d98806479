package commit

import (
	"slices"

	"parsleyroute.example/core"
)

// phase is what the decider waits for.
type phase int

const (
	phaseIdle phase = iota
	// phaseBackoff waits before a start under a higher ballot.
	phaseBackoff
	phaseInspect
	phaseResolve
	// The phases from phaseStage to phaseJoin admit ranks whose engine was
	// replaced.
	phaseStage
	phaseJoinPrepare
	phaseJoinCommit
	phaseJoin
	phasePrepare
	phaseCommit
)

// order is one message to a rank.
type order struct {
	rank        int
	phase       phase
	ballot      core.Ballot
	incarnation uint64
	epoch, step uint64
	commit      bool
}

// outcome tells how an order ended.
type outcome int

const (
	accepted outcome = iota
	// refused orders were not and will never be carried out.
	refused
	// lost orders may have been carried out.
	lost
)

// reply is the answer to an order. state is set if it was accepted; for a
// refusal only its Ballot is, if known.
type reply struct {
	order
	outcome outcome
	state   core.RankState
}

// verdict is the result of a switch.
type verdict int

const (
	verdictNone verdict = iota
	verdictCommitted
	// verdictSuperseded: a newer leader's token or a newer epoch was found.
	verdictSuperseded
	// verdictNotStaged: a rank has not staged the epoch.
	verdictNotStaged
	// verdictExhausted: all attempts were given up.
	verdictExhausted
)

// machine is the decider's state machine. It does no I/O: start and on return
// the orders to send.
type machine struct {
	ranks  int
	margin uint64

	phase   phase
	ballot  core.Ballot
	floor   core.Ballot // highest ballot seen
	states  []core.RankState
	waiting []bool
	// pending is the switch to complete, zero if there is none.
	pendingEpoch, pendingStep uint64
	// joinEpoch and joinStep admit joining ranks.
	joinEpoch, joinStep uint64

	// target is the switch asked for, zero if there is none.
	targetToken, targetEpoch uint64
	attempts                 int // left for the target
	step                     uint64
	verdict                  verdict
}

func newMachine(ranks int, margin uint64) *machine {
	return &machine{
		ranks: ranks, margin: margin,
		states: make([]core.RankState, ranks), waiting: make([]bool, ranks),
	}
}

// request sets the switch to make and starts it.
func (m *machine) request(token, epoch uint64, attempts int) []order {
	m.targetToken, m.targetEpoch, m.attempts, m.verdict = token, epoch, attempts, verdictNone
	m.saw(core.Ballot{Token: token})
	return m.start()
}

func (m *machine) saw(b core.Ballot) {
	if m.floor.Less(b) {
		m.floor = b
	}
}

// start begins under a ballot above all seen.
func (m *machine) start() []order {
	m.ballot = core.Ballot{Token: m.floor.Token, Number: m.floor.Number + 1}
	m.floor = m.ballot
	m.pendingEpoch, m.pendingStep, m.joinEpoch, m.joinStep = 0, 0, 0, 0
	return m.enter(phaseInspect, func(int) bool { return true })
}

// enter starts a phase with an order to each rank that takes part in it.
func (m *machine) enter(p phase, takes func(rank int) bool) []order {
	m.phase = p
	var out []order
	for r := range m.ranks {
		if m.waiting[r] = takes(r); m.waiting[r] {
			out = append(out, m.order(r))
		}
	}
	return out
}

// order returns the current phase's order to a rank.
func (m *machine) order(r int) order {
	o := order{rank: r, phase: m.phase, ballot: m.ballot, incarnation: m.states[r].Incarnation}
	switch m.phase {
	case phaseResolve:
		// A joining rank gives up what an earlier, unfinished admission left.
		o.epoch, o.step, o.commit = m.pendingEpoch, m.pendingStep, true
		if m.pendingEpoch == 0 || m.joining(r) {
			o.epoch, o.step, o.commit = m.states[r].PromisedEpoch, m.states[r].PromisedStep, false
		}
	case phaseStage:
		o.epoch = m.joinEpoch
		if m.staged(r, m.joinEpoch) {
			o.epoch = m.pendingEpoch
		}
	case phaseJoinPrepare:
		o.epoch, o.step = m.pendingEpoch, m.pendingStep
	case phaseJoinCommit:
		o.epoch, o.step, o.commit = m.pendingEpoch, m.pendingStep, true
	case phaseJoin:
		o.epoch, o.step, o.commit = m.joinEpoch, m.joinStep, true
	case phasePrepare:
		o.epoch, o.step = m.targetEpoch, m.step
	case phaseCommit:
		o.epoch, o.step, o.commit = m.targetEpoch, m.step, true
	}
	return o
}

// on takes a reply. Replies to anything but the orders that the phase waits for
// are ignored.
func (m *machine) on(r reply) []order {
	if r.outcome == refused {
		m.saw(r.state.PromisedBallot)
	}
	if r.ballot != m.ballot || r.phase != m.phase || !m.waiting[r.rank] {
		return nil
	}
	switch r.outcome {
	case lost:
		return []order{m.order(r.rank)}
	case refused:
		m.phase = phaseBackoff
		return nil
	}
	if m.phase == phaseStage {
		m.states[r.rank].StagedEpochs = append(slices.Clone(m.states[r.rank].StagedEpochs), r.epoch)
	} else {
		m.states[r.rank] = r.state
	}
	m.waiting[r.rank] = false
	for _, w := range m.waiting {
		if w {
			return nil
		}
	}
	return m.advance()
}

func (m *machine) joining(r int) bool { return m.states[r].ActiveEpoch == 0 }
func (m *machine) live(r int) bool    { return !m.joining(r) }

func (m *machine) staged(r int, epoch uint64) bool {
	for _, e := range m.states[r].StagedEpochs {
		if e == epoch {
			return true
		}
	}
	return false
}

// advance goes on once all ranks have answered in a phase.
func (m *machine) advance() []order {
	switch m.phase {
	case phaseInspect:
		m.findPending()
		// Joining ranks must answer too. A decider may have found a rank joining
		// that a higher ballot has admitted since; without that rank's answer it
		// would take the group for new and admit others with an old map.
		return m.enter(phaseResolve, func(int) bool { return true })
	case phaseResolve:
		return m.join()
	case phaseStage:
		return m.stage()
	case phaseJoinPrepare:
		return m.enter(phaseJoinCommit, m.joining)
	case phaseJoinCommit:
		return m.enter(phaseJoin, m.joining)
	case phaseJoin:
		return m.next()
	case phasePrepare:
		return m.enter(phaseCommit, func(int) bool { return true })
	case phaseCommit:
		m.verdict = verdictCommitted
		m.finish()
	}
	return nil
}

// findPending sets the switch that a rank has committed and another may not
// have: the greatest epoch that is committed or active on some but not all.
func (m *machine) findPending() {
	var active uint64
	for r := range m.ranks {
		active = max(active, m.states[r].ActiveEpoch)
	}
	for r := range m.ranks {
		s := m.states[r]
		if m.live(r) && s.PromisedEpoch != 0 && (s.Committed || s.PromisedEpoch == active) {
			m.pendingEpoch, m.pendingStep = s.PromisedEpoch, s.PromisedStep
		}
	}
}

// join admits joining ranks once the others have no open promise.
func (m *machine) join() []order {
	some := false
	for r := range m.ranks {
		if m.live(r) {
			m.joinStep = max(m.joinStep, m.states[r].Step)
			m.joinEpoch = max(m.joinEpoch, m.states[r].ActiveEpoch)
		} else {
			some = true
		}
	}
	if !some {
		return m.next()
	}
	if m.joinEpoch >= m.pendingEpoch {
		m.pendingEpoch = 0 // active already
	}
	if m.joinEpoch == 0 {
		// No rank runs: the group starts with the newest map staged on all.
		for _, e := range m.states[0].StagedEpochs {
			all := true
			for r := range m.ranks {
				all = all && m.staged(r, e)
			}
			if all {
				m.joinEpoch = max(m.joinEpoch, e)
			}
		}
		if m.joinEpoch == 0 {
			m.verdict = verdictNotStaged
			m.finish()
			return nil
		}
	}
	return m.stage()
}

// stage stages the maps that joining ranks lack.
func (m *machine) stage() []order {
	out := m.enter(phaseStage, func(r int) bool {
		return m.joining(r) && (!m.staged(r, m.joinEpoch) || m.pendingEpoch != 0 && !m.staged(r, m.pendingEpoch))
	})
	if len(out) > 0 {
		return out
	}
	if m.pendingEpoch != 0 {
		return m.enter(phaseJoinPrepare, m.joining)
	}
	return m.enter(phaseJoin, m.joining)
}

// next makes the switch asked for, if there is one.
func (m *machine) next() []order {
	if m.targetEpoch == 0 {
		m.finish()
		return nil
	}
	var newest, step uint64
	open := false // a committed switch is not yet active
	for _, s := range m.states {
		newest = max(newest, s.ActiveEpoch, s.PromisedEpoch)
		step = max(step, s.Step)
		open = open || s.PromisedEpoch != 0
	}
	switch {
	case newest == m.targetEpoch:
		// Only a committed switch is left after the resolution.
		m.verdict = verdictCommitted
	case newest > m.targetEpoch || m.ballot.Token != m.targetToken:
		m.verdict = verdictSuperseded
	case m.attempts == 0:
		m.verdict = verdictExhausted
	}
	for r := range m.ranks {
		if m.verdict == verdictNone && !m.staged(r, m.targetEpoch) {
			m.verdict = verdictNotStaged
		}
	}
	if m.verdict != verdictNone {
		m.finish()
		return nil
	}
	m.attempts--
	if open {
		m.phase = phaseBackoff
		return nil
	}
	m.step = step + m.margin
	return m.enter(phasePrepare, func(int) bool { return true })
}

func (m *machine) finish() {
	m.phase, m.targetEpoch, m.targetToken = phaseIdle, 0, 0
	clear(m.waiting)
}
