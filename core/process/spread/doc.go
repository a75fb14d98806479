// Package spread replicates the configuration to all nodes. A node is one
// process of the system; it holds a set of versioned objects (package objset)
// whose versions never decrease.
//
// Up to three entries of each zone, the watchers, watch the store and list it
// again at intervals. They push changes at once to all peers of their zone and
// to two instances of every other zone, the relays of which forward them within
// their own zone. If both pushes fail, the change is pushed to a few other
// instances of that zone. Each second every node also exchanges digests with a
// random peer and fetches what differs, so a lost push only delays a change.
// The platform's instance list (the roster) is distributed as one object of
// kind core.KindRoster whose version is the list's revision.
//
// One goroutine owns the state of a node and publishes snapshots; network and
// store calls run outside it. Pushes are best effort: one that fails is dropped
// and counted, and an exchange of digests delivers the change later. Messages
// have at most 1 MB unless a single object is larger.
//
// Objects are immutable: neither OnChange nor callers of Objects may modify a
// Value.
package spread
