// Package fleet holds what a gate knows of the upstreams: which may take new
// work, how loaded and how sound they are, and which of them are cold.
//
// The goroutine that calls Update, Beat and Tick owns the control state and
// publishes immutable snapshots. Requests read snapshots and change the
// counters of an upstream, which are atomic.
package fleet
