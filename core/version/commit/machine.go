package commit

import (
	"slices"

	"parsleyroute.example/core"
)

// phase is the phase of an attempt.
type phase int

const (
	phaseIdle phase = iota
	// phaseBackoff waits before the next attempt with a higher ballot.
	phaseBackoff
	// phaseInspect reads the state of all ranks and makes them promise the
	// ballot.
	phaseInspect
	// phaseResolve completes or aborts the switches of earlier attempts.
	phaseResolve
	// The phases from phaseStage to phaseJoin admit ranks whose engine was
	// replaced.
	phaseStage
	phaseJoinPrepare
	phaseJoinCommit
	phaseJoin
	// phasePrepare and phaseCommit make the requested switch.
	phasePrepare
	phaseCommit
)

// order is a request to a rank.
type order struct {
	rank        int
	phase       phase
	ballot      core.Ballot
	incarnation uint64
	epoch, step uint64
	commit      bool
}

// outcome is the outcome of an order.
type outcome int

const (
	accepted outcome = iota
	// refused orders were not executed and never will be.
	refused
	// lost orders may have been executed.
	lost
)

// reply is the reply to an order. state is the rank's state if the order was
// accepted. For a refused order only state.PromisedBallot is set, if known.
type reply struct {
	order
	outcome outcome
	state   core.RankState
}

// switchResult is the result of a switch.
type switchResult int

const (
	resultNone switchResult = iota
	resultCommitted
	// resultSuperseded means that a newer leader's token or a newer epoch was
	// found.
	resultSuperseded
	// resultNotStaged means that a rank has not staged the epoch.
	resultNotStaged
	// resultExhausted means that all attempts failed.
	resultExhausted
)

// machine is the state machine of a Coordinator. It does no I/O: startAttempt,
// requestSwitch and handleReply return the orders to send.
type machine struct {
	ranks       int
	marginSteps uint64

	phase         phase
	ballot        core.Ballot
	highestBallot core.Ballot // highest seen
	states        []core.RankState
	awaitingReply []bool
	// pendingEpoch and pendingStep are the switch of an earlier attempt that
	// must be completed; zero if there is none.
	pendingEpoch, pendingStep uint64
	// joinEpoch and joinStep are the epoch and the step with which joining ranks
	// are admitted.
	joinEpoch, joinStep uint64

	// targetToken and targetEpoch are the requested switch; zero if there is
	// none.
	targetToken, targetEpoch uint64
	attemptsLeft             int // for the requested switch
	switchStep               uint64
	result                   switchResult
}

func newMachine(ranks int, margin uint64) *machine {
	return &machine{
		ranks: ranks, marginSteps: margin,
		states: make([]core.RankState, ranks), awaitingReply: make([]bool, ranks),
	}
}

// requestSwitch sets the target of the next switch and starts an attempt.
func (m *machine) requestSwitch(token, epoch uint64, attempts int) []order {
	m.targetToken, m.targetEpoch, m.attemptsLeft, m.result = token, epoch, attempts, resultNone
	m.observeBallot(core.Ballot{Token: token})
	return m.startAttempt()
}

func (m *machine) observeBallot(b core.Ballot) {
	if m.highestBallot.Less(b) {
		m.highestBallot = b
	}
}

// startAttempt starts an attempt with a ballot higher than all seen.
func (m *machine) startAttempt() []order {
	m.ballot = core.Ballot{Token: m.highestBallot.Token, Number: m.highestBallot.Number + 1}
	m.highestBallot = m.ballot
	m.pendingEpoch, m.pendingStep, m.joinEpoch, m.joinStep = 0, 0, 0, 0
	return m.startPhase(phaseInspect, func(int) bool { return true })
}

// startPhase starts a phase and returns an order to each participating rank.
func (m *machine) startPhase(p phase, participates func(rank int) bool) []order {
	m.phase = p
	var out []order
	for r := range m.ranks {
		if m.awaitingReply[r] = participates(r); m.awaitingReply[r] {
			out = append(out, m.orderFor(r))
		}
	}
	return out
}

// orderFor returns the order of the current phase to a rank.
func (m *machine) orderFor(r int) order {
	o := order{rank: r, phase: m.phase, ballot: m.ballot, incarnation: m.states[r].Incarnation}
	switch m.phase {
	case phaseResolve:
		// A joining rank aborts the switch that an earlier, unfinished admission
		// has prepared.
		o.epoch, o.step, o.commit = m.pendingEpoch, m.pendingStep, true
		if m.pendingEpoch == 0 || m.isJoining(r) {
			o.epoch, o.step, o.commit = m.states[r].PromisedEpoch, m.states[r].PromisedStep, false
		}
	case phaseStage:
		o.epoch = m.joinEpoch
		if m.hasStaged(r, m.joinEpoch) {
			o.epoch = m.pendingEpoch
		}
	case phaseJoinPrepare:
		o.epoch, o.step = m.pendingEpoch, m.pendingStep
	case phaseJoinCommit:
		o.epoch, o.step, o.commit = m.pendingEpoch, m.pendingStep, true
	case phaseJoin:
		o.epoch, o.step, o.commit = m.joinEpoch, m.joinStep, true
	case phasePrepare:
		o.epoch, o.step = m.targetEpoch, m.switchStep
	case phaseCommit:
		o.epoch, o.step, o.commit = m.targetEpoch, m.switchStep, true
	}
	return o
}

// handleReply processes a reply. It ignores a reply that the current phase does
// not wait for, except for the promised ballot of a refused order.
func (m *machine) handleReply(r reply) []order {
	if r.outcome == refused {
		m.observeBallot(r.state.PromisedBallot)
	}
	if r.ballot != m.ballot || r.phase != m.phase || !m.awaitingReply[r.rank] {
		return nil
	}
	switch r.outcome {
	case lost:
		return []order{m.orderFor(r.rank)}
	case refused:
		m.phase = phaseBackoff
		return nil
	}
	if m.phase == phaseStage {
		m.states[r.rank].StagedEpochs = append(slices.Clone(m.states[r.rank].StagedEpochs), r.epoch)
	} else {
		m.states[r.rank] = r.state
	}
	m.awaitingReply[r.rank] = false
	for _, awaiting := range m.awaitingReply {
		if awaiting {
			return nil
		}
	}
	return m.advance()
}

func (m *machine) isJoining(r int) bool { return m.states[r].ActiveEpoch == 0 }
func (m *machine) isActive(r int) bool  { return !m.isJoining(r) }

func (m *machine) hasStaged(r int, epoch uint64) bool {
	for _, e := range m.states[r].StagedEpochs {
		if e == epoch {
			return true
		}
	}
	return false
}

// advance starts the next phase once all ranks have replied.
func (m *machine) advance() []order {
	switch m.phase {
	case phaseInspect:
		m.findPendingSwitch()
		// Joining ranks must reply too. Another coordinator with a higher ballot
		// may have admitted a rank since this one inspected it as joining. Without
		// that rank's reply, this coordinator would treat the group as new and
		// admit other ranks with an old map.
		return m.startPhase(phaseResolve, func(int) bool { return true })
	case phaseResolve:
		return m.admitJoining()
	case phaseStage:
		return m.stageForJoining()
	case phaseJoinPrepare:
		return m.startPhase(phaseJoinCommit, m.isJoining)
	case phaseJoinCommit:
		return m.startPhase(phaseJoin, m.isJoining)
	case phaseJoin:
		return m.startTargetSwitch()
	case phasePrepare:
		return m.startPhase(phaseCommit, func(int) bool { return true })
	case phaseCommit:
		m.result = resultCommitted
		m.finish()
	}
	return nil
}

// findPendingSwitch finds the switch that some ranks have committed and others
// may not have: the highest epoch that is committed or active on some ranks but
// not on all.
func (m *machine) findPendingSwitch() {
	var active uint64
	for r := range m.ranks {
		active = max(active, m.states[r].ActiveEpoch)
	}
	for r := range m.ranks {
		s := m.states[r]
		if m.isActive(r) && s.PromisedEpoch != 0 && (s.Committed || s.PromisedEpoch == active) {
			m.pendingEpoch, m.pendingStep = s.PromisedEpoch, s.PromisedStep
		}
	}
}

// admitJoining starts the admission of joining ranks, if there are any. The
// other ranks have no unresolved promise at this point.
func (m *machine) admitJoining() []order {
	anyJoining := false
	for r := range m.ranks {
		if m.isActive(r) {
			m.joinStep = max(m.joinStep, m.states[r].Step)
			m.joinEpoch = max(m.joinEpoch, m.states[r].ActiveEpoch)
		} else {
			anyJoining = true
		}
	}
	if !anyJoining {
		return m.startTargetSwitch()
	}
	if m.joinEpoch >= m.pendingEpoch {
		m.pendingEpoch = 0 // already active
	}
	if m.joinEpoch == 0 {
		// No rank is active: the group starts with the newest map that is staged
		// on all ranks.
		for _, e := range m.states[0].StagedEpochs {
			stagedOnAll := true
			for r := range m.ranks {
				stagedOnAll = stagedOnAll && m.hasStaged(r, e)
			}
			if stagedOnAll {
				m.joinEpoch = max(m.joinEpoch, e)
			}
		}
		if m.joinEpoch == 0 {
			m.result = resultNotStaged
			m.finish()
			return nil
		}
	}
	return m.stageForJoining()
}

// stageForJoining stages the maps that joining ranks need and have not staged.
// Once there are none, it starts the next phase of the admission.
func (m *machine) stageForJoining() []order {
	out := m.startPhase(phaseStage, func(r int) bool {
		return m.isJoining(r) && (!m.hasStaged(r, m.joinEpoch) || m.pendingEpoch != 0 && !m.hasStaged(r, m.pendingEpoch))
	})
	if len(out) > 0 {
		return out
	}
	if m.pendingEpoch != 0 {
		return m.startPhase(phaseJoinPrepare, m.isJoining)
	}
	return m.startPhase(phaseJoin, m.isJoining)
}

// startTargetSwitch starts the requested switch, if there is one.
func (m *machine) startTargetSwitch() []order {
	if m.targetEpoch == 0 {
		m.finish()
		return nil
	}
	var newest, step uint64
	pending := false // a committed switch is not yet active
	for _, s := range m.states {
		newest = max(newest, s.ActiveEpoch, s.PromisedEpoch)
		step = max(step, s.Step)
		pending = pending || s.PromisedEpoch != 0
	}
	switch {
	case newest == m.targetEpoch:
		// After phaseResolve, a remaining promise is a committed switch.
		m.result = resultCommitted
	case newest > m.targetEpoch || m.ballot.Token != m.targetToken:
		m.result = resultSuperseded
	case m.attemptsLeft == 0:
		m.result = resultExhausted
	}
	for r := range m.ranks {
		if m.result == resultNone && !m.hasStaged(r, m.targetEpoch) {
			m.result = resultNotStaged
		}
	}
	if m.result != resultNone {
		m.finish()
		return nil
	}
	m.attemptsLeft--
	if pending {
		m.phase = phaseBackoff
		return nil
	}
	m.switchStep = step + m.marginSteps
	return m.startPhase(phasePrepare, func(int) bool { return true })
}

func (m *machine) finish() {
	m.phase, m.targetEpoch, m.targetToken = phaseIdle, 0, 0
	clear(m.awaitingReply)
}
