package commit

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/twitchtv/twirp"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/spread"
	"parsleyroute.example/core/version/expert"
	"parsleyroute.example/core/wire"
)

// Server serves wire.Ranks for one rank. Coordinator is nil except on rank 0.
type Server struct {
	Group       string
	Rank        *FencedRank
	Coordinator *Coordinator
}

// Handler returns the HTTP handler. It refuses calls without the peer key.
func (s *Server) Handler(key string) http.Handler {
	return spread.RequirePeerKey(key, wire.NewRanksServer(s))
}

func (s *Server) checkGroup(group string) error {
	if group != s.Group {
		return twirp.NewError(twirp.NotFound, "this rank belongs to another group")
	}
	return nil
}

// Stage implements wire.Ranks.
func (s *Server) Stage(ctx context.Context, q *wire.StageRequest) (*wire.StageResponse, error) {
	if err := s.checkGroup(q.GetGroup()); err != nil {
		return nil, err
	}
	m := MapFromWire(q.GetMap())
	if m.Epoch == 0 {
		return nil, twirp.RequiredArgumentError("map.epoch")
	}
	if err := expert.Check(m); err != nil {
		return nil, toTwirp(err)
	}
	n, err := s.Rank.Stage(ctx, ballotFromWire(q.GetBallot()), m)
	if err == nil && s.Coordinator != nil {
		err = s.Coordinator.RememberMap(ctx, m)
	}
	return &wire.StageResponse{Moved: uint32(n)}, toTwirp(err)
}

// Prepare implements wire.Ranks.
func (s *Server) Prepare(ctx context.Context, q *wire.PrepareRequest) (*wire.PrepareResponse, error) {
	if err := s.checkGroup(q.GetGroup()); err != nil {
		return nil, err
	}
	st, err := s.Rank.Prepare(ctx, ballotFromWire(q.GetBallot()), q.GetIncarnation(), q.GetEpoch(), q.GetStep())
	return &wire.PrepareResponse{State: stateToWire(st)}, toTwirp(err)
}

// Decide implements wire.Ranks.
func (s *Server) Decide(ctx context.Context, q *wire.DecideRequest) (*wire.DecideResponse, error) {
	if err := s.checkGroup(q.GetGroup()); err != nil {
		return nil, err
	}
	st, err := s.Rank.Decide(ctx, ballotFromWire(q.GetBallot()), q.GetIncarnation(), q.GetEpoch(), q.GetStep(), q.GetCommit())
	return &wire.DecideResponse{State: stateToWire(st)}, toTwirp(err)
}

// Inspect implements wire.Ranks.
func (s *Server) Inspect(ctx context.Context, q *wire.InspectRequest) (*wire.RankState, error) {
	if err := s.checkGroup(q.GetGroup()); err != nil {
		return nil, err
	}
	st, err := s.Rank.Inspect(ctx, ballotFromWire(q.GetBallot()))
	return stateToWire(st), toTwirp(err)
}

// Switch implements wire.Ranks.
func (s *Server) Switch(ctx context.Context, q *wire.SwitchRequest) (*wire.SwitchResponse, error) {
	if err := s.checkGroup(q.GetGroup()); err != nil {
		return nil, err
	}
	if s.Coordinator == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "only the agent of rank 0 coordinates switches")
	}
	if err := s.Coordinator.Switch(ctx, q.GetToken(), q.GetEpoch()); err != nil {
		return nil, toTwirp(err)
	}
	return &wire.SwitchResponse{Committed: true}, nil
}

// Load implements wire.Ranks.
func (s *Server) Load(ctx context.Context, q *wire.LoadRequest) (*wire.ExpertLoad, error) {
	if err := s.checkGroup(q.GetGroup()); err != nil {
		return nil, err
	}
	load, err := s.Rank.Load(ctx)
	if err != nil {
		return nil, toTwirp(err)
	}
	out := &wire.ExpertLoad{Layers: uint32(len(load))}
	for _, row := range load {
		out.Experts = append(out.Experts, row...)
	}
	return out, nil
}

// Client calls a rank's agent over twirp. It implements core.RankEngine.
type Client struct {
	group   string
	key     string
	timeout time.Duration
	ranks   wire.Ranks
}

// NewClient returns a client of the agent at url. The timeout applies to each
// call except Stage and Switch, which are limited only by their context.
func NewClient(url, group, key string, timeout time.Duration, c *http.Client) *Client {
	return &Client{group: group, key: key, timeout: timeout, ranks: wire.NewRanksProtobufClient(url, c)}
}

func (c *Client) withPeerKey(ctx context.Context) context.Context {
	// WithHTTPRequestHeaders fails only for reserved headers.
	out, err := twirp.WithHTTPRequestHeaders(ctx, http.Header{spread.PeerKeyHeader: {c.key}})
	if err != nil {
		return ctx
	}
	return out
}

func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.withPeerKey(ctx), c.timeout)
}

// Inspect implements core.RankEngine.
func (c *Client) Inspect(ctx context.Context, b core.Ballot) (core.RankState, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	s, err := c.ranks.Inspect(ctx, &wire.InspectRequest{Group: c.group, Ballot: ballotToWire(b)})
	return stateFromWire(s), fromTwirp(err)
}

// Stage implements core.RankEngine.
func (c *Client) Stage(ctx context.Context, b core.Ballot, m *core.ExpertMap) (int, error) {
	s, err := c.ranks.Stage(c.withPeerKey(ctx), &wire.StageRequest{Group: c.group, Ballot: ballotToWire(b), Map: MapToWire(m)})
	return int(s.GetMoved()), fromTwirp(err)
}

// Prepare implements core.RankEngine.
func (c *Client) Prepare(ctx context.Context, b core.Ballot, incarnation, epoch, step uint64) (core.RankState, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	s, err := c.ranks.Prepare(ctx, &wire.PrepareRequest{
		Group: c.group, Ballot: ballotToWire(b), Incarnation: incarnation, Epoch: epoch, Step: step,
	})
	return stateFromWire(s.GetState()), fromTwirp(err)
}

// Decide implements core.RankEngine.
func (c *Client) Decide(ctx context.Context, b core.Ballot, incarnation, epoch, step uint64, commit bool) (core.RankState, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	s, err := c.ranks.Decide(ctx, &wire.DecideRequest{
		Group: c.group, Ballot: ballotToWire(b), Incarnation: incarnation, Epoch: epoch, Step: step, Commit: commit,
	})
	return stateFromWire(s.GetState()), fromTwirp(err)
}

// Switch calls Coordinator.Switch at the agent of rank 0.
func (c *Client) Switch(ctx context.Context, token, epoch uint64) error {
	_, err := c.ranks.Switch(c.withPeerKey(ctx), &wire.SwitchRequest{Group: c.group, Token: token, Epoch: epoch})
	return fromTwirp(err)
}

// Load implements core.RankEngine.
func (c *Client) Load(ctx context.Context) (core.ExpertLoad, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	w, err := c.ranks.Load(ctx, &wire.LoadRequest{Group: c.group})
	if err != nil {
		return nil, fromTwirp(err)
	}
	layers := int(w.GetLayers())
	if layers == 0 || len(w.GetExperts())%layers != 0 {
		return nil, trace.BadParameter("%d expert loads cannot be divided into %d layers", len(w.GetExperts()), layers)
	}
	n := len(w.GetExperts()) / layers
	load := make(core.ExpertLoad, layers)
	for l := range load {
		load[l] = w.GetExperts()[l*n : (l+1)*n]
	}
	return load, nil
}

// MapToWire converts a map to its wire format.
func MapToWire(m *core.ExpertMap) *wire.ExpertMap {
	return &wire.ExpertMap{
		Epoch: m.Epoch, Layers: uint32(m.Layers), Ranks: uint32(m.Ranks),
		SlotsPerRank: uint32(m.SlotsPerRank), Experts: uint32(m.Experts), Slots: m.Slots,
	}
}

// MapFromWire converts a map from its wire format without validating it.
func MapFromWire(w *wire.ExpertMap) *core.ExpertMap {
	return &core.ExpertMap{
		Epoch: w.GetEpoch(), Layers: int(w.GetLayers()), Ranks: int(w.GetRanks()),
		SlotsPerRank: int(w.GetSlotsPerRank()), Experts: int(w.GetExperts()), Slots: w.GetSlots(),
	}
}

func ballotToWire(b core.Ballot) *wire.Ballot { return &wire.Ballot{Token: b.Token, Number: b.Number} }

func ballotFromWire(w *wire.Ballot) core.Ballot {
	return core.Ballot{Token: w.GetToken(), Number: w.GetNumber()}
}

func stateToWire(s core.RankState) *wire.RankState {
	return &wire.RankState{
		Incarnation: s.Incarnation, Step: s.Step, ActiveEpoch: s.ActiveEpoch, Ballot: ballotToWire(s.PromisedBallot),
		PromisedEpoch: s.PromisedEpoch, PromisedStep: s.PromisedStep, Holding: s.Holding,
		Committed: s.Committed, Staged: s.StagedEpochs,
	}
}

func stateFromWire(w *wire.RankState) core.RankState {
	return core.RankState{
		Incarnation: w.GetIncarnation(), Step: w.GetStep(), ActiveEpoch: w.GetActiveEpoch(),
		PromisedBallot: ballotFromWire(w.GetBallot()), PromisedEpoch: w.GetPromisedEpoch(),
		PromisedStep: w.GetPromisedStep(), Holding: w.GetHolding(), Committed: w.GetCommitted(), StagedEpochs: w.GetStaged(),
	}
}

// toTwirp converts an error to a twirp error whose code preserves its type.
func toTwirp(err error) error {
	switch {
	case err == nil:
		return nil
	case trace.IsCompareFailed(err):
		return twirp.NewError(twirp.FailedPrecondition, err.Error())
	case trace.IsNotFound(err):
		return twirp.NewError(twirp.NotFound, err.Error())
	case trace.IsBadParameter(err):
		return twirp.NewError(twirp.InvalidArgument, err.Error())
	case trace.IsLimitExceeded(err):
		return twirp.NewError(twirp.ResourceExhausted, err.Error())
	}
	return twirp.NewError(twirp.Unavailable, err.Error())
}

// fromTwirp converts an error of a twirp call back to its type.
func fromTwirp(err error) error {
	if err == nil {
		return nil
	}
	te, ok := err.(twirp.Error)
	if !ok {
		return trace.ConnectionProblem(err, "call to peer failed")
	}
	switch te.Code() {
	case twirp.FailedPrecondition:
		return trace.CompareFailed("%s", te.Msg())
	case twirp.NotFound:
		return trace.NotFound("%s", te.Msg())
	case twirp.InvalidArgument, twirp.Malformed:
		return trace.BadParameter("%s", te.Msg())
	case twirp.ResourceExhausted:
		return trace.LimitExceeded("%s", te.Msg())
	case twirp.Unauthenticated:
		return trace.AccessDenied("%s", te.Msg())
	}
	return trace.ConnectionProblem(err, "call to peer failed")
}
