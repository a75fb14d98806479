// Package rules compiles the declarations into the immutable core.Table that
// the request path reads.
//
// Rules have a total order: by action (out, admit, route, limit, priority),
// then by descending Order, then by name. Each action sets a different
// property. If several rules with the same action match an object, the first
// one in this order is in effect. An object that is out receives no requests,
// whatever the other actions set. An action on a zone applies to all upstreams
// of the zone.
//
// The result depends only on the newest version of each object, not on the
// order in which objects arrive. Invalid objects are left out and reported.
package rules
