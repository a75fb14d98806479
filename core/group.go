package core

import "context"

// ExpertMap places replicas of experts on the slots of a group's ranks.
type ExpertMap struct {
	Epoch uint64
	// Layers, Ranks, SlotsPerRank and Experts give the shape.
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

// Set places an expert in a slot.
func (m *ExpertMap) Set(layer, rank, slot int, expert uint32) {
	m.Slots[(layer*m.Ranks+rank)*m.SlotsPerRank+slot] = expert
}

// Clone returns a deep copy.
func (m *ExpertMap) Clone() *ExpertMap {
	c := *m
	c.Slots = append([]uint32(nil), m.Slots...)
	return &c
}

// ExpertLoad holds the decayed average load of each expert, in tokens a step.
// It has shape Layers x Experts.
type ExpertLoad [][]float64

// Placer computes the next expert map from the current one and the load. A nil
// map means that the current one stays.
type Placer interface {
	Place(current *ExpertMap, load ExpertLoad) *ExpertMap
}

// Ballot orders the attempts to switch a group's map: first by the leader's
// fencing token, then by number.
type Ballot struct {
	Token  uint64
	Number uint64
}

// Less reports whether b is older than o.
func (b Ballot) Less(o Ballot) bool {
	if b.Token != o.Token {
		return b.Token < o.Token
	}
	return b.Number < o.Number
}

// RankState is what a rank's engine process keeps of a switch. It outlives
// restarts of the rank's agent.
type RankState struct {
	// Incarnation changes whenever the engine process is replaced and thereby
	// loses its promise.
	Incarnation uint64
	Step        uint64
	// ActiveEpoch is zero while the rank joins: a new engine process takes part
	// in no step until Decide admits it.
	ActiveEpoch uint64
	// PromisedBallot is the highest ballot promised.
	PromisedBallot Ballot
	// PromisedEpoch and PromisedStep are zero if no switch is prepared.
	PromisedEpoch uint64
	PromisedStep  uint64
	// Holding is set while the rank waits at PromisedStep for the outcome.
	Holding bool
	// Committed is set once the promised switch is known to be committed.
	Committed    bool
	StagedEpochs []uint64
}

// RankEngine is one rank of a group, as its agent meets it.
//
// Each call is atomic in the rank's engine process. Stale ballots and orders
// for another incarnation are refused with trace.CompareFailed.
type RankEngine interface {
	// Inspect returns the state. A zero ballot only reads. Any other ballot
	// must be above the promised one and is promised, so that of two callers
	// with one ballot only one succeeds.
	Inspect(ctx context.Context, ballot Ballot) (RankState, error)
	// Stage loads the weights of a map without activating it. Only the token
	// of the ballot is compared.
	Stage(ctx context.Context, ballot Ballot, m *ExpertMap) (moved int, err error)
	// Prepare promises to hold at step until the outcome is known. It fails
	// with trace.CompareFailed if the step has begun, the epoch is not staged
	// or not above the active one, or another switch is committed and not yet
	// active. It succeeds if repeated, and for a joining rank.
	Prepare(ctx context.Context, ballot Ballot, incarnation, epoch, step uint64) (RankState, error)
	// Decide commits the prepared switch or gives it up. It does nothing if a
	// switch to commit is active, or a switch to give up is not prepared. With
	// commit, a joining rank takes part from step on with the staged epoch. It
	// fails with trace.CompareFailed for a commit that was not prepared and for
	// giving up a committed switch. A joining rank, which has run nothing, may
	// give up a committed one too.
	Decide(ctx context.Context, ballot Ballot, incarnation, epoch, step uint64, commit bool) (RankState, error)
	// Load returns the load of each expert that the rank has seen since the
	// last call.
	Load(ctx context.Context) (ExpertLoad, error)
}
