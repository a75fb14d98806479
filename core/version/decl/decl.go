package decl

import "parsleyroute.example/core"

// Declaration is a service, upstream, zone, team or rule as an operator declares
// it.
type Declaration interface {
	// Key returns the kind and the name of the store object.
	Key() core.Key
}

// Service is a declared service, with zero for omitted fields.
type Service struct{ core.Service }

// Upstream is a declared upstream, with zero for omitted fields.
type Upstream struct{ core.Upstream }

// Zone is a declared availability zone.
type Zone struct{ core.Zone }

// Team is a declared team, with zero for omitted fields.
type Team struct{ core.Team }

// Rule is a declared rule, with zero for omitted fields.
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
