package serve

import (
	"cmp"
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/twitchtv/twirp"

	"parsleyroute.example/core"
	"parsleyroute.example/core/conn/rest"
	"parsleyroute.example/core/version/commit"
)

const (
	// rankTimeout limits a call to the agent of another rank.
	rankTimeout = time.Second
	// minPollInterval is the minimum time between two polls of the ranks by the
	// coordinator.
	minPollInterval = time.Second
	// pollIntervalPerRank multiplied by the number of ranks is the poll interval of
	// large groups. Polling a rank costs about 400 bytes, and 25 ranks a second use
	// 10 KB/s of the 26 KB/s that a node may use for control traffic.
	pollIntervalPerRank = 40 * time.Millisecond
)

// rankService serves wire.Ranks for the rank of the agent. If that rank is 0, it
// also runs the coordinator. Agents of upstreams that are not ranks have a nil
// rankService, of which configure does nothing.
type rankService struct {
	engine core.RankEngine
	key    string
	clock  core.Clock
	logger log.Logger

	handler atomic.Pointer[http.Handler]
	updates chan groupMembers
}

// groupMembers holds the agents of a rank group in the order of their ranks.
type groupMembers struct {
	group   string
	ownRank int
	agents  []netip.AddrPort
}

// configure sets the group members from the table and the agent's upstream. It does
// not block.
func (r *rankService) configure(table *core.Table, u *core.UpstreamState) {
	if r == nil || u.Group == "" {
		return
	}
	m := groupMembers{group: u.Group, ownRank: u.Rank}
	var groupUpstreams []*core.UpstreamState
	for _, o := range table.Upstreams {
		if o.Group == u.Group {
			groupUpstreams = append(groupUpstreams, o)
		}
	}
	slices.SortFunc(groupUpstreams, func(a, b *core.UpstreamState) int { return cmp.Compare(a.Rank, b.Rank) })
	for i, o := range groupUpstreams {
		if o.Rank != i {
			_ = level.Warn(r.logger).Log("msg", "rank numbers of the group do not start at 0 or have gaps", "group", u.Group)
			return
		}
		m.agents = append(m.agents, o.Agent)
	}
	// Replace members that run has not received yet.
	select {
	case <-r.updates:
	default:
	}
	r.updates <- m
}

// run serves the latest group members until ctx ends.
func (r *rankService) run(ctx context.Context) {
	var current groupMembers
	stop := func() {}
	defer func() { stop() }()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-r.updates:
			if m.group == current.group && m.ownRank == current.ownRank && slices.Equal(m.agents, current.agents) {
				continue
			}
			stop()
			current = m
			stop = r.serve(ctx, m)
		}
	}
}

// serve starts the rank and, for rank 0, the coordinator. The returned function
// stops them and waits for them.
func (r *rankService) serve(ctx context.Context, m groupMembers) (stop func()) {
	rank := &commit.FencedRank{Engine: r.engine}
	go func() { _ = rank.Run(ctx) }()
	s := &commit.Server{Group: m.group, Rank: rank}
	stop = rank.Close
	if m.ownRank == 0 {
		client := &http.Client{Transport: &rest.LimitedTransport{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 30 * time.Second}}}
		poll := max(minPollInterval, time.Duration(len(m.agents))*pollIntervalPerRank)
		coordinator := &commit.Coordinator{Clock: r.clock, Ranks: []commit.RankAgent{rank}, PollInterval: poll}
		for _, addr := range m.agents[1:] {
			coordinator.Ranks = append(coordinator.Ranks, commit.NewClient("http://"+addr.String(), m.group, r.key, rankTimeout, client))
		}
		go func() { _ = coordinator.Run(ctx) }()
		s.Coordinator = coordinator
		stop = func() {
			coordinator.Close()
			rank.Close()
			client.CloseIdleConnections()
		}
	}
	h := s.Handler(r.key)
	r.handler.Store(&h)
	_ = level.Info(r.logger).Log("msg", "serving a rank", "group", m.group, "rank", m.ownRank, "ranks", len(m.agents))
	return stop
}

// ServeHTTP implements http.Handler.
func (r *rankService) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h := r.handler.Load()
	if h == nil {
		_ = twirp.WriteError(w, twirp.Unavailable.Error("the agent has no configuration of its rank group yet"))
		return
	}
	(*h).ServeHTTP(w, req)
}
