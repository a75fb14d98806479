package core

import (
	"net/netip"
	"time"
)

// Role tells which program an instance runs.
type Role string

// The roles of instances.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Instance is a machine that runs one of our processes.
type Instance struct {
	Name string
	Role Role
	Zone string
	// PeerAddr is the address at which the instance serves its peers.
	PeerAddr netip.AddrPort
	// Leaving is set once the platform has announced the instance's end.
	Leaving bool
}

// Labels are the labels of a declaration.
type Labels map[string]string

// Service is a named service that callers use.
type Service struct {
	Name   string
	Labels Labels
	Routes []Route
	// Timeout bounds a request without a deadline of its own.
	Timeout time.Duration
	// MaxQueued is the greatest number of requests that wait at one entry.
	MaxQueued int
	// RetryRatio is the part of a retry that each first attempt earns.
	RetryRatio float64
	// Layers, Experts and Slots are the layers, the experts in a layer and the
	// expert slots of a rank in a layer, for services whose upstreams are
	// ranks. The leader keeps no expert map where they are zero.
	Layers       int
	Experts      int
	SlotsPerRank int
}

// Route declares whether the requests below a path may be repeated. The
// longest matching prefix decides; an empty Method matches any.
type Route struct {
	Prefix     string
	Method     string
	Repeatable bool
}

// Upstream is a back end: a model engine or a plain service.
type Upstream struct {
	Name    string
	Labels  Labels
	Service string
	Zone    string
	// Agent is the address of the agent beside the upstream.
	Agent netip.AddrPort
	// Limit and Cold are the greatest numbers of concurrent requests when the
	// upstream is warm and cold.
	Limit     int
	ColdLimit int
	// LimitStep is the number of completions at the current limit for which the
	// limit grows by one.
	LimitStep int
	// Group and Rank place the upstream in a group of ranks; Group is empty
	// for others.
	Group string
	Rank  int
}

// Zone is an availability zone.
type Zone struct {
	Name   string
	Labels Labels
	Region string
}

// Team is a customer.
type Team struct {
	Name   string
	Labels Labels
	// Keys holds the SHA-256 of each credential in hexadecimal.
	Keys []string
	// Rate is the number of requests a second of the whole fleet; zero means
	// no limit. Burst is the greatest number of requests at once.
	Rate     float64
	Burst    int
	Weight   float64
	Priority int
}

// Action is what a rule does.
type Action string

// The actions, in falling order of precedence.
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
	// Order ranks rules of one action; the higher one wins.
	Order int
	// Share is the admitted share of the limit for ActionAdmit, in (0, 1].
	Share float64
	// To selects upstreams for ActionRoute.
	To string
	// Limit is the concurrency (upstream) or rate (team) for ActionLimit.
	Limit float64
	// Priority is the priority (0 to 9) for ActionPriority.
	Priority int
}

// Table is the effective configuration, compiled from the declarations by
// version/rules. It is immutable.
type Table struct {
	// Version is the highest version of the objects compiled.
	Version   uint64
	Services  map[string]*ServiceState
	Upstreams map[string]*UpstreamState
	Zones     map[string]*ZoneState
	Teams     map[string]*TeamState
	// Keys maps the SHA-256 of a credential to its team.
	Keys map[[32]byte]*TeamState
}

// ServiceState is a service with its upstreams.
type ServiceState struct {
	Service
	Upstreams []*UpstreamState
	// RoutedUpstreams holds the upstreams of a route rule for the service; nil means
	// that all upstreams serve it.
	RoutedUpstreams map[string]bool
}

// UpstreamState is an upstream with the rules in force.
type UpstreamState struct {
	Upstream
	// Out is set if the upstream or its zone is out; OutBy names the rule.
	Out     bool
	OutRule string
	// Share is the admitted share of the limit, 1 without a rule.
	Share float64
}

// ZoneState is a zone with the rules in force.
type ZoneState struct {
	Zone
	Out     bool
	OutRule string
}

// TeamState is a team with the rules in force.
type TeamState struct {
	Team
	// RoutedUpstreams holds the upstreams of a route rule for the team; nil means that
	// all upstreams of the service serve it.
	RoutedUpstreams map[string]bool
}
