// Package spread keeps the configuration of one node up to date. A node is
// any of our processes; it holds a set of versioned objects (package objset)
// that only ever moves to higher versions.
//
// Up to three entries of each zone, the watchers, hold a watch at the store
// and relist at intervals. They push changes at once to all peers of their
// zone and to two instances of every other zone, whose watchers pass them on
// to their own zone. If neither takes a change, a few other instances of that
// zone get it. Every node exchanges digests with one random peer each
// second and fetches what differs, so pushes may be lost. The platform's
// instance list travels as one object of kind core.KindRoster whose version is
// the list's revision.
//
// One goroutine owns the state of a node and publishes snapshots; network and
// store calls run outside it. Pushes are best effort: one that fails is
// dropped and counted, and the digests make up for it. Messages have at most
// 1 MB unless a single object is larger.
//
// Objects are immutable: neither receivers of OnChange nor callers of Objects
// may change a Value.
package spread
