// Package picker implements core.Picker and chooses the upstreams to which an
// entry keeps connections.
//
// TwoChoices is the algorithm in use; RoundRobin, Random and LeastLoaded are
// the baselines against which it is measured (docs/balance.md). All of them
// skip candidates without credit, so they differ only in the choice among
// candidates that may take a request. Loads are requests in flight divided by
// the limit, without unit. All types are safe for concurrent use.
package picker
