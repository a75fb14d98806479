// Package beside lets the controller of a group of ranks reach each rank through
// the process beside it, where reports are fresh and orders cost nothing.
//
// Server passes calls on to the engine. Client is the controller's side; it
// falls back on direct calls to the engine where no process answers beside it.
package beside

import (
	"context"
	"net/netip"

	"github.com/gravitational/trace"
	"github.com/twitchtv/twirp"

	"parsleyroute.example/core"
	"parsleyroute.example/core/wire"
)

// Server implements wire.RankAgent for the engine at Engine.
type Server struct {
	Ranks  core.RankClient
	Engine netip.AddrPort
}

var _ wire.RankAgent = (*Server)(nil)

// Status implements wire.RankAgent.
func (s *Server) Status(ctx context.Context, r *wire.RankStatusRequest) (*wire.RankStatus, error) {
	addr := core.RankAddr{Instance: r.GetInstance(), Engine: s.Engine}
	report, err := s.Ranks.Report(ctx, addr, r.GetCounts())
	if err != nil {
		return nil, toWire(err)
	}
	a := &wire.RankStatus{
		Born: report.StartTime, Group: report.Group, Epoch: report.Epoch, Rank: uint32(report.Rank), Size: uint32(report.GroupSize),
		Open: report.Open, Step: report.Step, Map: report.Map, Prepared: report.PreparedMap,
		Armed: report.Armed, ArmedMap: report.ArmedMap, ArmedStep: report.ArmedStep, Held: report.Held, HeldStep: report.HeldStep,
		Running: uint32(report.Running), Waiting: uint32(report.Waiting), Pace: report.Slowdown, Counts: report.ExpertCounts,
	}
	if r.GetPlacement() {
		version, sets, err := s.Ranks.Placement(ctx, addr)
		if err != nil {
			return nil, toWire(err)
		}
		a.PlacementMap = version
		a.Placement = lists(sets)
	}
	return a, nil
}

// Command implements wire.RankAgent.
func (s *Server) Command(ctx context.Context, c *wire.RankCommand) (*wire.RankCommandResponse, error) {
	o := core.RankOrder{Verb: core.RankVerb(c.GetVerb()), Token: c.GetToken(), Epoch: c.GetEpoch(), Map: c.GetMap(), Step: c.GetStep()}
	for _, set := range c.GetPlacement() {
		o.Placement = append(o.Placement, experts(set.GetRanks()))
	}
	if err := s.Ranks.Order(ctx, core.RankAddr{Instance: c.GetInstance(), Engine: s.Engine}, o); err != nil {
		return nil, toWire(err)
	}
	return &wire.RankCommandResponse{}, nil
}

func lists(ranks [][]int) []*wire.ExpertList {
	out := make([]*wire.ExpertList, len(ranks))
	for i, list := range ranks {
		out[i] = &wire.ExpertList{Experts: make([]uint32, len(list))}
		for j, e := range list {
			out[i].Experts[j] = uint32(e)
		}
	}
	return out
}

func experts(in []*wire.ExpertList) [][]int {
	out := make([][]int, len(in))
	for i, list := range in {
		out[i] = make([]int, len(list.GetExperts()))
		for j, e := range list.GetExperts() {
			out[i][j] = int(e)
		}
	}
	return out
}

// codes pairs the kinds of errors of core.RankClient with those on the wire. Others
// may have taken effect.
var codes = []struct {
	is   func(error) bool
	code twirp.ErrorCode
	make func(string, ...any) error
}{
	{trace.IsCompareFailed, twirp.FailedPrecondition, func(f string, a ...any) error { return trace.CompareFailed(f, a...) }},
	{trace.IsAccessDenied, twirp.PermissionDenied, func(f string, a ...any) error { return trace.AccessDenied(f, a...) }},
	{trace.IsNotFound, twirp.NotFound, func(f string, a ...any) error { return trace.NotFound(f, a...) }},
	{trace.IsBadParameter, twirp.InvalidArgument, func(f string, a ...any) error { return trace.BadParameter(f, a...) }},
}

func toWire(err error) error {
	for _, c := range codes {
		if c.is(err) {
			return twirp.NewError(c.code, trace.UserMessage(err))
		}
	}
	return twirp.NewError(twirp.Aborted, trace.UserMessage(err))
}
