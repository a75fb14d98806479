// Package view keeps a gate's copy of what the platform's store holds: the
// configuration, the upstreams and the zones that are out.
//
// A watch for each kind feeds the owner goroutine. A gate whose own watch lags
// or fails takes the state from a peer that knows more. An object is accepted
// only at a higher version than the one that is known, so nothing reverts.
package view
