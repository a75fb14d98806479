package serve

import (
	"context"
	"sync"

	"github.com/twitchtv/twirp"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/wire"
)

// fencingTokens holds the highest fencing token seen for each rank group.
type fencingTokens struct {
	mu     sync.Mutex
	tokens map[string]uint64
}

// accept reports whether no higher token has been seen for the group, and records
// the token if so. highest is the highest token seen.
func (f *fencingTokens) accept(group string, token uint64) (highest uint64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.tokens == nil {
		f.tokens = map[string]uint64{}
	}
	if token < f.tokens[group] {
		return f.tokens[group], false
	}
	f.tokens[group] = token
	return token, true
}

// upstreamService implements wire.Upstream.
type upstreamService struct{ agent *Agent }

// Query implements wire.Upstream.
func (s upstreamService) Query(_ context.Context, req *wire.AttemptRequest) (*wire.AttemptResponse, error) {
	state, answer := s.agent.ledger.Query(req.GetAttempt())
	return &wire.AttemptResponse{State: state, Answer: answer}, nil
}

// Tombstone implements wire.Upstream.
func (s upstreamService) Tombstone(_ context.Context, req *wire.AttemptRequest) (*wire.AttemptResponse, error) {
	state, answer := s.agent.ledger.Tombstone(req.GetAttempt())
	return &wire.AttemptResponse{State: state, Answer: answer}, nil
}

// Command implements wire.Upstream.
func (s upstreamService) Command(ctx context.Context, req *wire.OrderRequest) (*wire.OrderResponse, error) {
	o := req.GetOrder()
	if highest, ok := s.agent.fencingTokens.accept(o.GetGroup(), o.GetToken()); !ok {
		meter.Refusal(core.ReasonStaleToken)
		return nil, twirp.FailedPrecondition.Errorf("token %d is older than %d", o.GetToken(), highest)
	}
	if err := s.agent.engine.Command(ctx, o.GetToken(), o.GetVerb(), o.GetArgument()); err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	return &wire.OrderResponse{Token: o.GetToken()}, nil
}

// Drain implements wire.Upstream.
func (s upstreamService) Drain(context.Context, *wire.DrainRequest) (*wire.DrainResponse, error) {
	s.agent.limiter.Drain()
	return &wire.DrainResponse{Inflight: uint32(s.agent.limiter.Load("").Inflight)}, nil
}
