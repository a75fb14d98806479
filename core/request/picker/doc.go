// Package picker implements core.Picker and chooses the upstreams to which an
// entry keeps connections.
//
// TwoChoices is the default algorithm. RoundRobin, Random and LeastLoaded are
// baselines for comparison (docs/balance.md). All of them skip candidates
// without credit, that is, candidates whose agent does not allow the entry
// another request, so they differ only in the choice among the others. A load is
// the number of requests in flight divided by the limit. All types are safe for concurrent use.
package picker
