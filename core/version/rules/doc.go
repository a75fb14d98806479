// Package rules compiles the declarations into the immutable core.Table that
// the request path reads.
//
// Rules have a total order: by action (out, admit, route, limit, priority),
// then by falling Order, then by name. Each action sets a property of its own,
// and of all rules of one action that match an object the first one is in
// force. An object that is out gets no work whatever the other actions say. An
// action on a zone holds for all upstreams of the zone.
//
// The result depends only on the newest version of each object, never on the
// order in which objects arrive. A bad object is left out and reported.
package rules
