package core

import "context"

// ExpertMap assigns replicas of experts to the slots of a group's ranks.
type ExpertMap struct {
	// Epoch is the version of the map. It increases with each switch.
	Epoch uint64
	// Layers, Ranks, SlotsPerRank and Experts define the shape.
	Layers       int
	Ranks        int
	SlotsPerRank int
	Experts      int
	// Slots has length Layers*Ranks*SlotsPerRank and holds the expert of each
	// slot, layer by layer and rank by rank.
	Slots []uint32
}

// At returns the expert in a slot.
func (m *ExpertMap) At(layer, rank, slot int) uint32 {
	return m.Slots[(layer*m.Ranks+rank)*m.SlotsPerRank+slot]
}

// Set assigns an expert to a slot.
func (m *ExpertMap) Set(layer, rank, slot int, expert uint32) {
	m.Slots[(layer*m.Ranks+rank)*m.SlotsPerRank+slot] = expert
}

// Clone returns a deep copy.
func (m *ExpertMap) Clone() *ExpertMap {
	c := *m
	c.Slots = append([]uint32(nil), m.Slots...)
	return &c
}

// ExpertLoad holds the decayed average load of each expert, in tokens per step.
// Its shape is Layers x Experts.
type ExpertLoad [][]float64

// Placer computes the next expert map from the current map and the load. A nil
// result means that the current map stays in use.
type Placer interface {
	Place(current *ExpertMap, load ExpertLoad) *ExpertMap
}

// Ballot identifies an attempt to switch a group's map. Ballots are ordered by
// the leader's fencing token, then by number.
type Ballot struct {
	Token  uint64
	Number uint64
}

// Less reports whether b is lower than o.
func (b Ballot) Less(o Ballot) bool {
	if b.Token != o.Token {
		return b.Token < o.Token
	}
	return b.Number < o.Number
}

// RankState is the state of map switches in a rank's engine process. It survives
// restarts of the rank's agent.
type RankState struct {
	// Incarnation changes whenever the engine process is replaced, which loses
	// its promise.
	Incarnation uint64
	// Step is the step that the rank runs or waits to run. A step is one forward
	// pass of the group.
	Step uint64
	// ActiveEpoch is zero while the rank is joining: a new engine process takes
	// part in no step until Decide admits it.
	ActiveEpoch uint64
	// PromisedBallot is the highest promised ballot; lower ones are refused.
	PromisedBallot Ballot
	// PromisedEpoch and PromisedStep are zero if no switch is prepared.
	PromisedEpoch uint64
	PromisedStep  uint64
	// Holding is set while the rank waits before PromisedStep for the outcome of
	// the switch.
	Holding bool
	// Committed is set once the promised switch is known to be committed.
	Committed    bool
	StagedEpochs []uint64
}

// RankEngine is the interface to the engine process of one rank of a group.
//
// Each call is atomic in the engine process. Calls with a stale ballot or for
// another incarnation fail with trace.CompareFailed.
type RankEngine interface {
	// Inspect returns the state. With a zero ballot it only reads. Any other
	// ballot must be higher than the promised one and becomes the promised one,
	// so that only one of two callers with the same ballot succeeds.
	Inspect(ctx context.Context, ballot Ballot) (RankState, error)
	// Stage loads the weights of a map without activating it. Only the token
	// of the ballot is compared.
	Stage(ctx context.Context, ballot Ballot, m *ExpertMap) (moved int, err error)
	// Prepare promises to wait before step until the outcome is known. It fails
	// with trace.CompareFailed if the step has begun, if the epoch is not staged
	// or not higher than the active one, or if another switch is committed and
	// not yet active. It is idempotent, and also succeeds for a joining rank.
	Prepare(ctx context.Context, ballot Ballot, incarnation, epoch, step uint64) (RankState, error)
	// Decide commits or aborts the prepared switch. It does nothing if the switch
	// to commit is already active, or if the switch to abort is not prepared.
	// With commit, a joining rank takes part in all steps from step on, with the
	// staged epoch. Decide fails with trace.CompareFailed if the switch to commit
	// was not prepared, and if the switch to abort is committed. A joining rank,
	// which has run no step, may abort a committed switch too.
	Decide(ctx context.Context, ballot Ballot, incarnation, epoch, step uint64, commit bool) (RankState, error)
	// Load returns the load of each expert at the rank since the last call.
	Load(ctx context.Context) (ExpertLoad, error)
}
