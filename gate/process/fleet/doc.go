// Package fleet holds a gate's state of the upstreams: which of them accept new
// requests, their load and health, and which of them are cold. A cold upstream
// has just started and accepts only a limited rate of requests.
//
// The control goroutine of the gate, the one that calls Fleet.Update, owns the
// state and publishes immutable snapshots. Request goroutines read the snapshots
// and update the counters of the upstreams, which are safe for concurrent use.
package fleet
