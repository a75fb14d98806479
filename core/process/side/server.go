// Package side is the client and server of the sidecar beside a rank, a process on
// the same instance as the engine. The controller of a rank group calls each rank
// through its sidecar. Calls from the engine's own instance return current reports,
// and orders from there add no cost.
//
// Server is the sidecar's side and forwards calls to the engine. Client is the
// controller's side; it calls the engine directly if the sidecar is unreachable.
package side

import (
	"context"
	"net/netip"

	"github.com/gravitational/trace"
	"github.com/twitchtv/twirp"

	"parsleyroute.example/core"
	"parsleyroute.example/core/wire"
)

// Server implements wire.RankAgent. It forwards the calls to the engine at Engine
// through Client.
type Server struct {
	Client core.RankClient
	Engine netip.AddrPort
}

var _ wire.RankAgent = (*Server)(nil)

// Status implements wire.RankAgent.
func (s *Server) Status(ctx context.Context, r *wire.RankStatusRequest) (*wire.RankStatus, error) {
	addr := core.RankAddr{Instance: r.GetInstance(), Engine: s.Engine}
	report, err := s.Client.Report(ctx, addr, r.GetCounts())
	if err != nil {
		return nil, toTwirpError(err)
	}
	status := &wire.RankStatus{
		Born: report.StartTime, Group: report.Group, Epoch: report.Epoch, Rank: uint32(report.Rank), Size: uint32(report.GroupSize),
		Open: report.Open, Step: report.Step, Map: report.Map, Prepared: report.PreparedMap,
		Armed: report.Armed, ArmedMap: report.ArmedMap, ArmedStep: report.ArmedStep, Held: report.Held, HeldStep: report.HeldStep,
		Running: uint32(report.Running), Waiting: uint32(report.Waiting), Pace: report.Slowdown, Counts: report.ExpertCounts,
	}
	if r.GetPlacement() {
		version, sets, err := s.Client.Placement(ctx, addr)
		if err != nil {
			return nil, toTwirpError(err)
		}
		status.PlacementMap = version
		status.Placement = toExpertLists(sets)
	}
	return status, nil
}

// Command implements wire.RankAgent.
func (s *Server) Command(ctx context.Context, c *wire.RankCommand) (*wire.RankCommandResponse, error) {
	o := core.RankOrder{Verb: core.RankVerb(c.GetVerb()), Token: c.GetToken(), Epoch: c.GetEpoch(), Map: c.GetMap(), Step: c.GetStep()}
	for _, set := range c.GetPlacement() {
		o.Placement = append(o.Placement, fromExpertLists(set.GetRanks()))
	}
	if err := s.Client.Order(ctx, core.RankAddr{Instance: c.GetInstance(), Engine: s.Engine}, o); err != nil {
		return nil, toTwirpError(err)
	}
	return &wire.RankCommandResponse{}, nil
}

func toExpertLists(ranks [][]int) []*wire.ExpertList {
	out := make([]*wire.ExpertList, len(ranks))
	for i, list := range ranks {
		out[i] = &wire.ExpertList{Experts: make([]uint32, len(list))}
		for j, e := range list {
			out[i].Experts[j] = uint32(e)
		}
	}
	return out
}

func fromExpertLists(in []*wire.ExpertList) [][]int {
	out := make([][]int, len(in))
	for i, list := range in {
		out[i] = make([]int, len(list.GetExperts()))
		for j, e := range list.GetExperts() {
			out[i][j] = int(e)
		}
	}
	return out
}

// errorCodes maps the kinds of errors of core.RankClient to Twirp error codes. A
// call that failed with any other error may have taken effect.
var errorCodes = []struct {
	is   func(error) bool
	code twirp.ErrorCode
	make func(string, ...any) error
}{
	{trace.IsCompareFailed, twirp.FailedPrecondition, func(f string, a ...any) error { return trace.CompareFailed(f, a...) }},
	{trace.IsAccessDenied, twirp.PermissionDenied, func(f string, a ...any) error { return trace.AccessDenied(f, a...) }},
	{trace.IsNotFound, twirp.NotFound, func(f string, a ...any) error { return trace.NotFound(f, a...) }},
	{trace.IsBadParameter, twirp.InvalidArgument, func(f string, a ...any) error { return trace.BadParameter(f, a...) }},
}

func toTwirpError(err error) error {
	for _, c := range errorCodes {
		if c.is(err) {
			return twirp.NewError(c.code, trace.UserMessage(err))
		}
	}
	return twirp.NewError(twirp.Aborted, trace.UserMessage(err))
}
