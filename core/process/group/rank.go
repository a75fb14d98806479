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

// Rank is one rank of a group. Beside the errors of core.Group it gives
// trace.ConnectionProblem for calls that may have taken effect. Map gives
// trace.NotFound for ranks that have not joined.
type Rank struct {
	Addr netip.AddrPort
	Rank int
	// Timeout bounds a call; the default is 2 s.
	Timeout time.Duration
	// StageTimeout bounds Stage, which loads weights; the default is 60 s.
	StageTimeout time.Duration

	client rest.Client
}

var _ core.Group = (*Rank)(nil)

// Inspect implements core.Group.
func (r *Rank) Inspect(ctx context.Context, ballot core.Ballot) (core.RankState, error) {
	return r.state(ctx, OpInspect, Request{Ballot: Ballot(ballot)})
}

// Stage implements core.Group.
func (r *Rank) Stage(ctx context.Context, ballot core.Ballot, m *core.ExpertMap) (int, error) {
	b := Map(*m)
	var out StageResponse
	in := Request{Ballot: Ballot(ballot), Map: &b}
	err := r.client.Call(ctx, r.Addr, cmp.Or(r.StageTimeout, time.Minute), http.MethodPost, Path(r.Rank, OpStage), nil, in, &out)
	return out.Moved, err
}

// Prepare implements core.Group.
func (r *Rank) Prepare(ctx context.Context, ballot core.Ballot, incarnation, epoch, step uint64) (core.RankState, error) {
	return r.state(ctx, OpPrepare, Request{Ballot: Ballot(ballot), Incarnation: incarnation, Epoch: epoch, Step: step})
}

// Decide implements core.Group.
func (r *Rank) Decide(ctx context.Context, ballot core.Ballot, incarnation, epoch, step uint64, commit bool) (core.RankState, error) {
	return r.state(ctx, OpDecide, Request{Ballot: Ballot(ballot), Incarnation: incarnation, Epoch: epoch, Step: step, Commit: commit})
}

// Load implements core.Group.
func (r *Rank) Load(ctx context.Context) (core.ExpertLoad, error) {
	var out Load
	err := r.call(ctx, http.MethodPost, OpLoad, nil, &out)
	return out.Load, err
}

// Map returns the rank's active map.
func (r *Rank) Map(ctx context.Context) (*core.ExpertMap, error) {
	var out Map
	if err := r.call(ctx, http.MethodGet, OpMap, nil, &out); err != nil {
		return nil, err
	}
	m := core.ExpertMap(out)
	return &m, nil
}

func (r *Rank) state(ctx context.Context, op Op, in Request) (core.RankState, error) {
	var out State
	err := r.call(ctx, http.MethodPost, op, in, &out)
	return out.ToCore(), err
}

func (r *Rank) call(ctx context.Context, method string, op Op, in, out any) error {
	return r.client.Call(ctx, r.Addr, cmp.Or(r.Timeout, 2*time.Second), method, Path(r.Rank, op), nil, in, out)
}
