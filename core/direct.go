package core

import (
	"context"
	"net/netip"
	"time"
)

// The types in this file describe a system whose entries call the upstreams
// directly and whose operators keep one versioned configuration, in contrast
// to the declarations in domain.go.

// RouteKind tells how often a request on a route may run.
type RouteKind int

// The kinds of routes.
const (
	// RouteUnsafe requests run at most once.
	RouteUnsafe RouteKind = iota
	// RouteSafe requests may be repeated.
	RouteSafe
	// RouteStream requests are answered by a stream of events. They run at
	// most once, unless the route can resume them.
	RouteStream
)

// Config is one version of the operators' configuration.
type Config struct {
	Version uint64
	Routes  []RouteConfig
	Pools   map[string]*PoolConfig
	Limits  CallerLimits
	// Teams is nil if the configuration knows no teams, so that requests need
	// no key.
	Teams []TeamConfig
}

// RouteConfig sends the requests of a host below a path to pools.
type RouteConfig struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Resumable tells that a stream may go on at another upstream.
	Resumable bool
	// Timeout is the longest time for which a request may be kept waiting.
	Timeout time.Duration
	// LatencyObjective is the time to the answer, or to a stream's first event, that
	// earns full credit; Pause is the longest time between two events.
	LatencyObjective time.Duration
	MaxEventGap      time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// MaxAttempts is the greatest number of upstreams that one request is sent to.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	Split     []PoolShare
}

// PoolShare is the weight of one pool in a route's traffic.
type PoolShare struct {
	Pool   string
	Weight float64
}

// PoolConfig describes the upstreams of one service.
type PoolConfig struct {
	Name string
	// MaxConnections is the number of connections that an upstream takes from all
	// callers together.
	MaxConnections int
	// ColdRate is the number of requests a second that an upstream bears while
	// it is cold; zero means that it never is.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *EngineConfig
}

// EngineConfig describes a model engine.
type EngineConfig struct {
	// MaxSequences is the number of sequences that run at once.
	MaxSequences int
	// StepsPerPass is the number of token steps in one pass.
	StepsPerPass int
	// StepTime and PerSequence are the fixed time of a token step and that added by
	// each running sequence.
	StepTime        time.Duration
	TimePerSequence time.Duration
	// LayerSets is the number of layer sets, Experts the number of experts in each,
	// Places the number that a rank holds of a set, and Spare the number of
	// experts of a set that may be new to a rank in one map. LayerSets is zero for
	// engines that are not ranks of a group.
	LayerSets     int
	Experts       int
	SlotsPerRank  int
	MaxNewExperts int
	// ExpertShare is the part of a pass's work that the experts do.
	ExpertShare float64
}

// CallerLimits bound what a caller may send.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// TeamConfig is a team with its keys.
type TeamConfig struct {
	Name string
	Keys []string
	// Priority replaces the route's, if HasPriority is set.
	Priority    int
	HasPriority bool
}

// ListedUpstream is an upstream as the platform lists it.
type ListedUpstream struct {
	// ID names one incarnation of the upstream, or several if it restarts
	// under its old name; Born then differs.
	ID           string
	StartTime    int64
	Pool         string
	Addr         netip.AddrPort
	Zone         string
	MaxSequences int
	// Sequence increases with each entry that the upstream writes.
	Sequence uint64
	// Draining is set once the upstream has announced that it leaves.
	Draining bool
	// ColdDuration is how long the upstream stays cold after the entry was written.
	ColdDuration time.Duration
	// Group places a rank in its group; Group.Name is empty for others.
	Group GroupMembership
}

// GroupMembership is a rank's place in its group of ranks.
type GroupMembership struct {
	Name string
	// Epoch counts how often the group has formed.
	Epoch uint64
	Rank  int
	// Size is the number of ranks in the group.
	Size int
	// Broken is set while the group runs no passes, since a rank is missing.
	Broken bool
}

// The kinds of the platform's own objects.
const (
	KindConfig         Kind = "config"
	KindListedUpstream Kind = "peer"
	KindZoneOut        Kind = "zone_out"
	KindInstance       Kind = "instance"
)

// ActiveConfigName names the object of KindConfig that is in force.
const ActiveConfigName = "main"

// ListWatcher reads all objects of a kind and follows their changes. Its errors are
// those of Store; trace.CompareFailed means that the changes after a revision
// are no longer known, so that the caller lists again.
type ListWatcher interface {
	// ListKind returns the objects and the revision from which to watch.
	ListKind(ctx context.Context, kind Kind) ([]Object, uint64, error)
	// WatchKind waits at most wait for changes after a revision and returns
	// them with the revision from which to go on.
	WatchKind(ctx context.Context, kind Kind, from uint64, wait time.Duration) ([]Object, uint64, error)
}

// Decoder decodes the values of the platform's objects. Its errors are
// trace.BadParameter.
type Decoder interface {
	Config(value []byte) (*Config, error)
	ListedUpstream(name string, value []byte) (*ListedUpstream, error)
}
