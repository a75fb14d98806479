package core

import (
	"context"
	"net/netip"
	"time"
)

// The types in this file describe a system whose entries call the upstreams
// directly and whose operators maintain one versioned configuration. domain.go
// describes the system with agents and separate declarations.

// RouteKind determines how often a request on a route may run.
type RouteKind int

// The kinds of routes.
const (
	// RouteUnsafe requests run at most once.
	RouteUnsafe RouteKind = iota
	// RouteSafe requests may be retried after they ran.
	RouteSafe
	// RouteStream requests get a stream of events as response. They run at most
	// once, unless the route is resumable.
	RouteStream
)

// Config is one version of the operators' configuration.
type Config struct {
	Version uint64
	Routes  []RouteConfig
	Pools   map[string]*PoolConfig
	Limits  CallerLimits
	// Teams is nil if the configuration has no teams; requests then need no key.
	Teams []TeamConfig
}

// RouteConfig routes requests by host and path prefix to pools.
type RouteConfig struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Resumable is set if another upstream can continue an interrupted stream.
	Resumable bool
	// Timeout is the maximum time that a request may wait for its response.
	Timeout time.Duration
	// LatencyObjective is the target time to the response, or to the first event
	// of a stream; a response within it earns full credit. MaxEventGap is the
	// maximum time between two events.
	LatencyObjective time.Duration
	MaxEventGap      time.Duration
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of upstreams to which a request is sent.
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
	// MaxConnections is the maximum number of connections that an upstream
	// accepts from all callers together.
	MaxConnections int
	// ColdRate is the maximum number of requests per second for a cold upstream;
	// zero means that upstreams of the pool are never cold.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *EngineConfig
}

// EngineConfig describes a model engine.
type EngineConfig struct {
	// MaxSequences is the maximum number of sequences that run at once.
	MaxSequences int
	// StepsPerPass is the number of token steps in one forward pass.
	StepsPerPass int
	// StepTime is the fixed time of a token step. TimePerSequence is added to it
	// for each running sequence.
	StepTime        time.Duration
	TimePerSequence time.Duration
	// LayerSets is the number of layer sets, each of which has its own experts and
	// its own placement of them on the ranks. Experts is the number of experts in
	// a set, SlotsPerRank the number of experts of a set that a rank holds, and
	// MaxNewExperts the maximum number of experts of a set that one map may add
	// to a rank. LayerSets is zero for engines that are not ranks of a group.
	LayerSets     int
	Experts       int
	SlotsPerRank  int
	MaxNewExperts int
	// ExpertCopyTime is the time in which a rank copies one expert, zero if unknown.
	ExpertCopyTime time.Duration
	// ExpertShare is the share of a forward pass's work that the experts do.
	ExpertShare float64
}

// CallerLimits limits the size and duration of callers' requests.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// TeamConfig is a team with its API keys.
type TeamConfig struct {
	Name string
	Keys []string
	// Priority replaces the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// ListedUpstream is an upstream as the platform lists it.
type ListedUpstream struct {
	// ID identifies one incarnation of the upstream. If an upstream restarts
	// under its old name, StartTime tells the incarnations apart.
	ID           string
	StartTime    int64
	Pool         string
	Addr         netip.AddrPort
	Zone         string
	MaxSequences int
	// Sequence increases each time the upstream writes its entry in the list.
	Sequence uint64
	// Draining is set once the upstream has announced its shutdown.
	Draining bool
	// ColdDuration is how long the upstream stays cold after it wrote its entry.
	ColdDuration time.Duration
	// Group is the rank's place in its group; Group.Name is empty for upstreams
	// that are not ranks.
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
	// Broken is set while the group runs no passes because a rank is missing.
	Broken bool
}

// The kinds of the objects that the platform defines.
const (
	KindConfig         Kind = "config"
	KindListedUpstream Kind = "peer"
	KindZoneOut        Kind = "zone_out"
	KindInstance       Kind = "instance"
)

// ActiveConfigName is the name of the KindConfig object that is in effect.
const ActiveConfigName = "main"

// ListWatcher lists all objects of a kind and watches for changes. Its errors
// are those of Store. trace.CompareFailed means that the changes after the
// revision are no longer available; the caller must list again.
type ListWatcher interface {
	// ListKind returns the objects and the revision at which to start watching.
	ListKind(ctx context.Context, kind Kind) ([]Object, uint64, error)
	// WatchKind waits up to wait for changes after revision from. It returns
	// them with the revision at which to continue.
	WatchKind(ctx context.Context, kind Kind, from uint64, wait time.Duration) ([]Object, uint64, error)
}

// Decoder decodes the values of the platform's objects. Its errors are
// trace.BadParameter.
type Decoder interface {
	Config(value []byte) (*Config, error)
	ListedUpstream(name string, value []byte) (*ListedUpstream, error)
}
