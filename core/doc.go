// Package core declares the interfaces through which parsleyroute meets the
// platform, the decision interfaces of the request path, and the domain types
// that they share. Implementations are in the packages below it.
//
// Conventions: times are time.Time or time.Duration, addresses are
// netip.AddrPort, and a setting's zero value selects its documented default.
// Errors are typed: a refusal is a *Refusal, and any other failure is one of
// the types of github.com/gravitational/trace.
package core
