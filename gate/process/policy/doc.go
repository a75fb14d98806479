// Package policy holds the decisions of a gate about waiting, refusing and
// returning: how long a silent stream is sound, whether a group of ranks runs,
// how many sequences it may run, and when a refused caller is to come back. Its
// types hold no connections and read no clock: the caller passes the time, so that
// a test or a simulation can play any load through them. The doc comment of each
// type says which load it answers. What a gate does with a decision is up to the
// packages fleet and relay.
package policy
