package core

import (
	"net/netip"
	"time"
)

// Role is the program that an instance runs.
type Role string

// The roles of instances.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Instance is a machine that runs an entry or an agent.
type Instance struct {
	Name string
	Role Role
	Zone string
	// PeerAddr is the address at which the instance serves other instances.
	PeerAddr netip.AddrPort
	// Leaving is set once the platform has announced the instance's shutdown.
	Leaving bool
}

// Labels are the labels of a declaration.
type Labels map[string]string

// Service is a named service that callers use.
type Service struct {
	Name   string
	Labels Labels
	Routes []Route
	// Timeout applies to requests that set no deadline.
	Timeout time.Duration
	// MaxQueued is the maximum number of requests that wait at one entry.
	MaxQueued int
	// RetryRatio is the fraction of a retry that each first attempt adds to the
	// retry budget.
	RetryRatio float64
	// Layers, Experts and SlotsPerRank are the numbers of layers, of experts in
	// a layer, and of expert slots of a rank in a layer, for services whose
	// upstreams are ranks. If they are zero, the leader manages no expert map.
	Layers       int
	Experts      int
	SlotsPerRank int
}

// Route declares whether requests with a path prefix may be retried after they
// ran. The longest matching prefix applies; an empty Method matches any.
type Route struct {
	Prefix     string
	Method     string
	Repeatable bool
}

// Upstream is a backend: a model engine or a plain service.
type Upstream struct {
	Name    string
	Labels  Labels
	Service string
	Zone    string
	// Agent is the address of the upstream's agent.
	Agent netip.AddrPort
	// Limit and ColdLimit are the maximum numbers of concurrent requests while
	// the upstream is warm and while it is cold.
	Limit     int
	ColdLimit int
	// LimitStep is the number of requests that must complete at the current
	// limit before the limit grows by one.
	LimitStep int
	// Group and Rank are the upstream's group and its rank there. Group is
	// empty for upstreams that are not ranks.
	Group string
	Rank  int
}

// Zone is an availability zone.
type Zone struct {
	Name   string
	Labels Labels
	Region string
}

// Team is a customer with its credentials, rate limit and share of capacity.
type Team struct {
	Name   string
	Labels Labels
	// Keys holds the SHA-256 of each credential in hexadecimal.
	Keys []string
	// Rate is the maximum number of requests per second over all entries; zero
	// means no limit. Burst is the maximum number of requests at once.
	Rate  float64
	Burst int
	// Weight is the team's share of the capacity relative to that of other teams.
	Weight float64
	// Priority orders waiting requests of the team; higher values come first. It
	// is the maximum that a caller may request.
	Priority int
}

// Action is what a rule does.
type Action string

// The actions, in descending order of precedence.
const (
	ActionOut      Action = "out"
	ActionAdmit    Action = "admit"
	ActionRoute    Action = "route"
	ActionLimit    Action = "limit"
	ActionPriority Action = "priority"
)

// Rule applies one action to the objects that its selector matches.
type Rule struct {
	Name   string
	Labels Labels
	// Kind is the kind of the objects that Selector matches.
	Kind     Kind
	Selector string
	Action   Action
	// Order is the precedence among rules with the same action; the rule with
	// the higher value applies.
	Order int
	// Share is the fraction of the limit that ActionAdmit allows, in (0, 1].
	Share float64
	// To is the selector of the upstreams for ActionRoute.
	To string
	// Limit is the maximum concurrency of an upstream or the maximum rate of a
	// team for ActionLimit.
	Limit float64
	// Priority is the new Team.Priority (0 to 9) for ActionPriority.
	Priority int
}

// Table is the effective configuration, compiled from the declarations by
// version/rules. It is immutable.
type Table struct {
	// Version is the highest version among the compiled objects.
	Version   uint64
	Services  map[string]*ServiceState
	Upstreams map[string]*UpstreamState
	Zones     map[string]*ZoneState
	Teams     map[string]*TeamState
	// Keys maps the SHA-256 of a credential to its team.
	Keys map[[32]byte]*TeamState
}

// ServiceState is a service with its upstreams and the rules in effect.
type ServiceState struct {
	Service
	Upstreams []*UpstreamState
	// RoutedUpstreams holds the upstreams that a route rule selects for the
	// service; nil means that all upstreams serve it.
	RoutedUpstreams map[string]bool
}

// UpstreamState is an upstream with the rules in effect.
type UpstreamState struct {
	Upstream
	// Out is set if a rule takes the upstream or its zone out of service;
	// OutRule is the name of that rule.
	Out     bool
	OutRule string
	// Share is the allowed fraction of the limit, 1 without a rule.
	Share float64
}

// ZoneState is a zone with the rules in effect.
type ZoneState struct {
	Zone
	// Out is set if a rule takes the zone out of service; OutRule is the name of
	// that rule.
	Out     bool
	OutRule string
}

// TeamState is a team with the rules in effect.
type TeamState struct {
	Team
	// RoutedUpstreams holds the upstreams that a route rule selects for the
	// team; nil means that all upstreams of the service serve it.
	RoutedUpstreams map[string]bool
}
