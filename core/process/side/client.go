package side

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/twitchtv/twirp"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/wire"
)

// unreachableBackoff is how long a sidecar is not called after it could not be
// reached.
const unreachableBackoff = 2 * time.Second

// Client implements core.RankClient by calls to the sidecars of the ranks. Its
// exported fields must be set before use.
type Client struct {
	// Port is the port of the sidecars. If it is zero, all calls are direct.
	Port uint16
	// Direct calls the engines directly.
	Direct core.RankClient
	// HTTP sends the calls to the sidecars.
	HTTP wire.HTTPClient

	mu               sync.Mutex
	unreachableUntil map[netip.Addr]time.Time
}

var _ core.RankClient = (*Client)(nil)

// Report implements core.RankClient. The report has no expert counts if the
// sidecar is unreachable.
func (c *Client) Report(ctx context.Context, rank core.RankAddr, counts bool) (core.RankReport, error) {
	if sidecar := c.sidecar(rank); sidecar != nil {
		s, err := sidecar.Status(ctx, &wire.RankStatusRequest{Instance: rank.Instance, Counts: counts})
		if err == nil {
			return toReport(s), nil
		}
		if final, err := c.convertError(ctx, rank, err, true); final {
			return core.RankReport{}, err
		}
	}
	// Reading the counts from another instance is expensive and delays the group.
	return c.Direct.Report(ctx, rank, false)
}

// Placement implements core.RankClient.
func (c *Client) Placement(ctx context.Context, rank core.RankAddr) (uint64, [][]int, error) {
	if sidecar := c.sidecar(rank); sidecar != nil {
		s, err := sidecar.Status(ctx, &wire.RankStatusRequest{Instance: rank.Instance, Placement: true})
		if err == nil {
			return s.GetPlacementMap(), fromExpertLists(s.GetPlacement()), nil
		}
		if final, err := c.convertError(ctx, rank, err, true); final {
			return 0, nil, err
		}
	}
	return c.Direct.Placement(ctx, rank)
}

// Order implements core.RankClient. An order that the sidecar may have forwarded is
// not retried directly.
func (c *Client) Order(ctx context.Context, rank core.RankAddr, o core.RankOrder) error {
	sidecar := c.sidecar(rank)
	if sidecar == nil {
		return c.Direct.Order(ctx, rank, o)
	}
	m := &wire.RankCommand{Instance: rank.Instance, Verb: string(o.Verb), Token: o.Token, Epoch: o.Epoch, Map: o.Map, Step: o.Step}
	for _, set := range o.Placement {
		m.Placement = append(m.Placement, &wire.ExpertSet{Ranks: toExpertLists(set)})
	}
	_, err := sidecar.Command(ctx, m)
	if err == nil {
		return nil
	}
	// If an order gets no response, the engine may be the cause, so a timeout does
	// not mark the sidecar as unreachable.
	_, err = c.convertError(ctx, rank, err, false)
	return err
}

// sidecar returns a client of the rank's sidecar, or nil during the backoff after
// the sidecar could not be reached.
func (c *Client) sidecar(rank core.RankAddr) wire.RankAgent {
	ip := rank.Engine.Addr()
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.unreachableUntil[ip]) || c.Port == 0 {
		return nil
	}
	return wire.NewRankAgentProtobufClient("http://"+netip.AddrPortFrom(ip, c.Port).String(), c.HTTP)
}

// convertError converts an error of a call to the rank's sidecar and starts the
// backoff if the sidecar could not be reached. final is set if the error comes from
// the engine. It is unset if the sidecar did not respond, so that the caller can
// call the engine directly. With backoffOnTimeout, the backoff also starts if the
// sidecar has not responded in time: it may be frozen while the engine still runs.
func (c *Client) convertError(ctx context.Context, rank core.RankAddr, err error, backoffOnTimeout bool) (final bool, converted error) {
	var twirpErr twirp.Error
	if errors.As(err, &twirpErr) {
		for _, mapping := range errorCodes {
			if twirpErr.Code() == mapping.code {
				return true, mapping.make("%s", twirpErr.Msg())
			}
		}
		if twirpErr.Code() == twirp.Aborted {
			return true, trace.ConnectionProblem(err, "the engine did not respond")
		}
	}
	meter.Event("agent_unreachable")
	if ctx.Err() == nil || backoffOnTimeout && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.mu.Lock()
		if c.unreachableUntil == nil {
			c.unreachableUntil = map[netip.Addr]time.Time{}
		}
		c.unreachableUntil[rank.Engine.Addr()] = time.Now().Add(unreachableBackoff)
		c.mu.Unlock()
	}
	return false, trace.ConnectionProblem(err, "the rank's sidecar did not respond")
}

func toReport(s *wire.RankStatus) core.RankReport {
	return core.RankReport{
		StartTime: s.GetBorn(), Group: s.GetGroup(), Epoch: s.GetEpoch(), Rank: int(s.GetRank()), GroupSize: int(s.GetSize()),
		Open: s.GetOpen(), Step: s.GetStep(), Map: s.GetMap(), PreparedMap: s.GetPrepared(),
		Armed: s.GetArmed(), ArmedMap: s.GetArmedMap(), ArmedStep: s.GetArmedStep(), Held: s.GetHeld(), HeldStep: s.GetHeldStep(),
		Running: int(s.GetRunning()), Waiting: int(s.GetWaiting()), Slowdown: s.GetPace(), ExpertCounts: s.GetCounts(),
	}
}
