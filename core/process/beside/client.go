package beside

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

// absentTime is how long the process beside a rank is not asked again after it
// could not be reached.
const absentTime = 2 * time.Second

// Client implements core.RankClient through the processes beside the ranks. The
// exported fields are set before use.
type Client struct {
	// Port is that of the processes beside the ranks.
	Port uint16
	// Direct calls the engines.
	Direct core.RankClient
	// HTTP carries the calls.
	HTTP wire.HTTPClient

	mu     sync.Mutex
	absent map[netip.Addr]time.Time
}

var _ core.RankClient = (*Client)(nil)

// Report implements core.RankClient. It has no counts if no process answers beside
// the rank.
func (c *Client) Report(ctx context.Context, rank core.RankAddr, counts bool) (core.RankReport, error) {
	if agent := c.agent(rank); agent != nil {
		s, err := agent.Status(ctx, &wire.RankStatusRequest{Instance: rank.Instance, Counts: counts})
		if err == nil {
			return report(s), nil
		}
		if final, err := c.failed(ctx, rank, err, true); final {
			return core.RankReport{}, err
		}
	}
	// Counts read from afar are dear and hold the group up.
	return c.Direct.Report(ctx, rank, false)
}

// Placement implements core.RankClient.
func (c *Client) Placement(ctx context.Context, rank core.RankAddr) (uint64, [][]int, error) {
	if agent := c.agent(rank); agent != nil {
		s, err := agent.Status(ctx, &wire.RankStatusRequest{Instance: rank.Instance, Placement: true})
		if err == nil {
			return s.GetPlacementMap(), experts(s.GetPlacement()), nil
		}
		if final, err := c.failed(ctx, rank, err, true); final {
			return 0, nil, err
		}
	}
	return c.Direct.Placement(ctx, rank)
}

// Order implements core.RankClient. An order that the process beside the rank may
// have passed on is not repeated here.
func (c *Client) Order(ctx context.Context, rank core.RankAddr, o core.RankOrder) error {
	agent := c.agent(rank)
	if agent == nil {
		return c.Direct.Order(ctx, rank, o)
	}
	m := &wire.RankCommand{Instance: rank.Instance, Verb: string(o.Verb), Token: o.Token, Epoch: o.Epoch, Map: o.Map, Step: o.Step}
	for _, set := range o.Placement {
		m.Placement = append(m.Placement, &wire.ExpertSet{Ranks: lists(set)})
	}
	_, err := agent.Command(ctx, m)
	if err == nil {
		return nil
	}
	// An order without answer may be due to the engine.
	_, err = c.failed(ctx, rank, err, false)
	return err
}

// agent returns the client of the process beside the rank, or nil if it could
// not be reached lately.
func (c *Client) agent(rank core.RankAddr) wire.RankAgent {
	ip := rank.Engine.Addr()
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.absent[ip]) || c.Port == 0 {
		return nil
	}
	return wire.NewRankAgentProtobufClient("http://"+netip.AddrPortFrom(ip, c.Port).String(), c.HTTP)
}

// failed converts an error of the process beside the rank. final is set if the
// answer is the engine's, and unset if the process could not be reached, so
// that the engine itself can be asked. With silent, a process that has not
// answered in time counts as absent: it may be frozen while the engine goes on.
func (c *Client) failed(ctx context.Context, rank core.RankAddr, err error, silent bool) (final bool, converted error) {
	var t twirp.Error
	if errors.As(err, &t) {
		for _, code := range codes {
			if t.Code() == code.code {
				return true, code.make("%s", t.Msg())
			}
		}
		if t.Code() == twirp.Aborted {
			return true, trace.ConnectionProblem(err, "the engine did not answer")
		}
	}
	meter.Event("agent_unreachable")
	if ctx.Err() == nil || silent && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.mu.Lock()
		if c.absent == nil {
			c.absent = map[netip.Addr]time.Time{}
		}
		c.absent[rank.Engine.Addr()] = time.Now().Add(absentTime)
		c.mu.Unlock()
	}
	return false, trace.ConnectionProblem(err, "the process beside the rank did not answer")
}

func report(s *wire.RankStatus) core.RankReport {
	return core.RankReport{
		StartTime: s.GetBorn(), Group: s.GetGroup(), Epoch: s.GetEpoch(), Rank: int(s.GetRank()), GroupSize: int(s.GetSize()),
		Open: s.GetOpen(), Step: s.GetStep(), Map: s.GetMap(), PreparedMap: s.GetPrepared(),
		Armed: s.GetArmed(), ArmedMap: s.GetArmedMap(), ArmedStep: s.GetArmedStep(), Held: s.GetHeld(), HeldStep: s.GetHeldStep(),
		Running: int(s.GetRunning()), Waiting: int(s.GetWaiting()), Slowdown: s.GetPace(), ExpertCounts: s.GetCounts(),
	}
}
