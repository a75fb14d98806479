// Package links holds an entry's connections to agents. A Link keeps what the
// entry knows about one agent: its own requests in flight, the last load
// report, and whether the agent is lost or full.
//
// An agent counts as lost after a failed connection or 2 s of silence on a
// stream. A lost agent is tried again after a pause that doubles with each
// failure. So is a full agent, with shorter pauses, until a request of the
// entry there ends.
package links
