// Package links manages an entry's connections to agents. A Link holds what the
// entry knows about one agent: the entry's own requests in flight there, the
// last load report, and whether the agent is unreachable or full.
//
// An agent counts as unreachable after a failed connection or 2 s without data
// on a stream. It gets no requests during a backoff that doubles with each
// failure. The same holds for a full agent, with a shorter backoff that also
// ends when a request of the entry at the agent ends.
package links
