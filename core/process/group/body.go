package group

import (
	"fmt"

	"parsleyroute.example/core"
)

// Op is an operation of a rank, the last element of the path of a call.
type Op string

// The operations of a rank. The response body is a Map for OpMap, a Load for
// OpLoad, a StageResponse for OpStage, and a State for the others.
const (
	OpInspect Op = "inspect"
	OpStage   Op = "stage"
	OpPrepare Op = "prepare"
	OpDecide  Op = "decide"
	OpLoad    Op = "load"
	OpMap     Op = "map"
)

// Path returns the path of a call to a rank.
func Path(rank int, op Op) string { return fmt.Sprintf("/ranks/%d/%s", rank, op) }

// Ballot is a core.Ballot in JSON.
type Ballot struct {
	Token  uint64 `json:"token"`
	Number uint64 `json:"number"`
}

// Map is a core.ExpertMap in JSON.
type Map struct {
	Epoch        uint64   `json:"epoch"`
	Layers       int      `json:"layers"`
	Ranks        int      `json:"ranks"`
	SlotsPerRank int      `json:"slots_per_rank"`
	Experts      int      `json:"experts"`
	Slots        []uint32 `json:"slots"`
}

// Request is the request body of all operations. Each operation uses only the
// fields that it needs.
type Request struct {
	Ballot      Ballot `json:"ballot"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	Epoch       uint64 `json:"epoch,omitempty"`
	Step        uint64 `json:"step,omitempty"`
	Commit      bool   `json:"commit,omitempty"`
	Map         *Map   `json:"map,omitempty"`
}

// State is a core.RankState in JSON.
type State struct {
	Incarnation   uint64   `json:"incarnation"`
	Step          uint64   `json:"step"`
	ActiveEpoch   uint64   `json:"active_epoch"`
	Ballot        Ballot   `json:"ballot"`
	PromisedEpoch uint64   `json:"promised_epoch"`
	PromisedStep  uint64   `json:"promised_step"`
	Holding       bool     `json:"holding"`
	Committed     bool     `json:"committed"`
	Staged        []uint64 `json:"staged"`
}

// FromState converts a core.RankState to a State.
func FromState(s core.RankState) State {
	return State{
		Incarnation: s.Incarnation, Step: s.Step, ActiveEpoch: s.ActiveEpoch, Ballot: Ballot(s.PromisedBallot), PromisedEpoch: s.PromisedEpoch,
		PromisedStep: s.PromisedStep, Holding: s.Holding, Committed: s.Committed, Staged: s.StagedEpochs,
	}
}

// ToCore converts a State to a core.RankState.
func (s State) ToCore() core.RankState {
	return core.RankState{
		Incarnation: s.Incarnation, Step: s.Step, ActiveEpoch: s.ActiveEpoch, PromisedBallot: core.Ballot(s.Ballot), PromisedEpoch: s.PromisedEpoch,
		PromisedStep: s.PromisedStep, Holding: s.Holding, Committed: s.Committed, StagedEpochs: s.Staged,
	}
}

// StageResponse is the response body of OpStage. Moved is the number of experts
// that were loaded.
type StageResponse struct {
	Moved int `json:"moved"`
}

// Load is the response body of OpLoad: Load[layer][expert] is in tokens per step.
type Load struct {
	Load [][]float64 `json:"load"`
}
