// Package core declares the interfaces to the platform, the interfaces of the
// request path, and the domain types that they share. Implementations are in
// its subpackages.
//
// Conventions: times are time.Time or time.Duration, addresses are
// netip.AddrPort, and a setting's zero value selects its documented default.
// Errors are typed: a refusal is a *Refusal, and any other failure is one of
// the types of github.com/gravitational/trace.
package core
