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
	"parsleyroute.example/core/version/commit"
)

const (
	// rankTimeout bounds a call to another rank's agent.
	rankTimeout = time.Second
	// pollPeriod is the least time between the decider's looks at the ranks, and
	// pollShare the time for each rank: the looks cost about 400 bytes a rank,
	// and 25 ranks a second are 10 KB/s of the 26 KB/s for control.
	pollPeriod = time.Second
	pollShare  = 40 * time.Millisecond
)

// ranks serves wire.Ranks for the agent's rank, and runs the decider while the
// agent's rank is 0. It does nothing for upstreams that are not ranks.
type ranks struct {
	engine core.RankEngine
	key    string
	clock  core.Clock
	logger log.Logger

	handler atomic.Pointer[http.Handler]
	members chan members
}

// members are the agents of a group, by rank.
type members struct {
	group  string
	own    int
	agents []netip.AddrPort
}

// configure takes the agent's upstream in force. It does not block.
func (r *ranks) configure(table *core.Table, u *core.UpstreamState) {
	if r == nil || u.Group == "" {
		return
	}
	m := members{group: u.Group, own: u.Rank}
	var all []*core.UpstreamState
	for _, o := range table.Upstreams {
		if o.Group == u.Group {
			all = append(all, o)
		}
	}
	slices.SortFunc(all, func(a, b *core.UpstreamState) int { return cmp.Compare(a.Rank, b.Rank) })
	for i, o := range all {
		if o.Rank != i {
			_ = level.Warn(r.logger).Log("msg", "ranks of the group are not numbered from 0 without gaps", "group", u.Group)
			return
		}
		m.agents = append(m.agents, o.Agent)
	}
	// Only the latest members count.
	select {
	case <-r.members:
	default:
	}
	r.members <- m
}

// run serves the members in force until ctx ends.
func (r *ranks) run(ctx context.Context) {
	var now members
	stop := func() {}
	defer func() { stop() }()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-r.members:
			if m.group == now.group && m.own == now.own && slices.Equal(m.agents, now.agents) {
				continue
			}
			stop()
			now = m
			stop = r.serve(ctx, m)
		}
	}
}

// serve starts the rank and, for rank 0, the decider. The returned function
// ends them and waits.
func (r *ranks) serve(ctx context.Context, m members) (stop func()) {
	rank := &commit.FencedRank{Engine: r.engine}
	go func() { _ = rank.Run(ctx) }()
	s := &commit.Server{Group: m.group, Rank: rank}
	stop = rank.Close
	if m.own == 0 {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 30 * time.Second}}
		poll := max(pollPeriod, time.Duration(len(m.agents))*pollShare)
		d := &commit.Coordinator{Clock: r.clock, Ranks: []commit.RankAgent{rank}, PollInterval: poll}
		for _, addr := range m.agents[1:] {
			d.Ranks = append(d.Ranks, commit.NewClient("http://"+addr.String(), m.group, r.key, rankTimeout, client))
		}
		go func() { _ = d.Run(ctx) }()
		s.Coordinator = d
		stop = func() {
			d.Close()
			rank.Close()
			client.CloseIdleConnections()
		}
	}
	h := s.Handler(r.key)
	r.handler.Store(&h)
	_ = level.Info(r.logger).Log("msg", "serving a rank", "group", m.group, "rank", m.own, "ranks", len(m.agents))
	return stop
}

// ServeHTTP implements http.Handler.
func (r *ranks) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h := r.handler.Load()
	if h == nil {
		_ = twirp.WriteError(w, twirp.Unavailable.Error("the agent has no configuration of its group yet"))
		return
	}
	(*h).ServeHTTP(w, req)
}
