// Package view maintains a gate's copy of the objects in the platform's store
// that the gate needs: the configuration, the entries of the upstreams and the
// zones that operators have taken out of use.
//
// One watch per kind of object sends changes to the goroutine that owns the copy.
// A gate that does not watch, or whose watch is late or fails, pulls changes from
// a peer, another gate, that knows a later revision. An object is accepted only
// if its version is higher than the known one, so an outdated read never reverts
// the copy.
package view
