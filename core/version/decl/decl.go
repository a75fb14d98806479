package decl

import "parsleyroute.example/core"

// Declaration is a declaration of any kind.
type Declaration interface {
	// Key returns the kind and the name of the store object.
	Key() core.Key
}

// Service is the declaration of a service.
type Service struct{ core.Service }

// Upstream is the declaration of an upstream.
type Upstream struct{ core.Upstream }

// Zone is the declaration of an availability zone.
type Zone struct{ core.Zone }

// Team is the declaration of a team.
type Team struct{ core.Team }

// Rule is the declaration of a rule.
type Rule struct{ core.Rule }

// Key implements Declaration.
func (s Service) Key() core.Key { return core.Key{Kind: core.KindService, Name: s.Name} }

// Key implements Declaration.
func (u Upstream) Key() core.Key { return core.Key{Kind: core.KindUpstream, Name: u.Name} }

// Key implements Declaration.
func (z Zone) Key() core.Key { return core.Key{Kind: core.KindZone, Name: z.Name} }

// Key implements Declaration.
func (t Team) Key() core.Key { return core.Key{Kind: core.KindTeam, Name: t.Name} }

// Key implements Declaration.
func (r Rule) Key() core.Key { return core.Key{Kind: core.KindRule, Name: r.Name} }
