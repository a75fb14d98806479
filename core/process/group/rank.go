package group

import (
	"cmp"
	"context"
	"net/http"
	"net/netip"
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/core/conn/rest"
)

// Rank is a client of one rank of a group. In addition to the errors of
// core.RankEngine, it returns trace.ConnectionProblem for calls that may have taken
// effect. Map returns trace.NotFound for a rank that has not joined its group.
type Rank struct {
	Addr netip.AddrPort
	Rank int
	// Timeout limits a call; the default is 2 s.
	Timeout time.Duration
	// StageTimeout limits Stage, which loads weights; the default is 60 s.
	StageTimeout time.Duration

	client rest.Client
}

var _ core.RankEngine = (*Rank)(nil)

// Inspect implements core.RankEngine.
func (r *Rank) Inspect(ctx context.Context, ballot core.Ballot) (core.RankState, error) {
	return r.callState(ctx, OpInspect, Request{Ballot: Ballot(ballot)})
}

// Stage implements core.RankEngine.
func (r *Rank) Stage(ctx context.Context, ballot core.Ballot, m *core.ExpertMap) (int, error) {
	mapBody := Map(*m)
	var resp StageResponse
	req := Request{Ballot: Ballot(ballot), Map: &mapBody}
	err := r.client.Call(ctx, r.Addr, cmp.Or(r.StageTimeout, time.Minute), http.MethodPost, Path(r.Rank, OpStage), nil, req, &resp)
	return resp.Moved, err
}

// Prepare implements core.RankEngine.
func (r *Rank) Prepare(ctx context.Context, ballot core.Ballot, incarnation, epoch, step uint64) (core.RankState, error) {
	return r.callState(ctx, OpPrepare, Request{Ballot: Ballot(ballot), Incarnation: incarnation, Epoch: epoch, Step: step})
}

// Decide implements core.RankEngine.
func (r *Rank) Decide(ctx context.Context, ballot core.Ballot, incarnation, epoch, step uint64, commit bool) (core.RankState, error) {
	return r.callState(ctx, OpDecide, Request{Ballot: Ballot(ballot), Incarnation: incarnation, Epoch: epoch, Step: step, Commit: commit})
}

// Load implements core.RankEngine.
func (r *Rank) Load(ctx context.Context) (core.ExpertLoad, error) {
	var resp Load
	err := r.call(ctx, http.MethodPost, OpLoad, nil, &resp)
	return resp.Load, err
}

// Map returns the rank's active expert map.
func (r *Rank) Map(ctx context.Context) (*core.ExpertMap, error) {
	var resp Map
	if err := r.call(ctx, http.MethodGet, OpMap, nil, &resp); err != nil {
		return nil, err
	}
	m := core.ExpertMap(resp)
	return &m, nil
}

func (r *Rank) callState(ctx context.Context, op Op, req Request) (core.RankState, error) {
	var resp State
	err := r.call(ctx, http.MethodPost, op, req, &resp)
	return resp.ToCore(), err
}

func (r *Rank) call(ctx context.Context, method string, op Op, req, resp any) error {
	return r.client.Call(ctx, r.Addr, cmp.Or(r.Timeout, 2*time.Second), method, Path(r.Rank, op), nil, req, resp)
}
