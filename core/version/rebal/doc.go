// Package rebal is the leader's loop that rebalances the experts of one group.
//
// In each round the holder of the group's lease gathers the loads from the
// ranks' agents, averages them, asks the placer for a better map, stages it on
// all ranks, has the decider switch to it, and records it in the store. Every
// order carries the lease's fencing token, so that a leader that was paused past
// its lease is refused by the agents. The recorded map is a core.KindMap object
// named as the group, whose value is a wire.ExpertMap.
//
// Errors are trace.CompareFailed if the lease is not held or a newer leader has
// been seen, trace.ConnectionProblem if a rank or the store cannot be reached,
// trace.BadParameter for loads or records that do not fit the group, and those
// of commit.Decider.Switch.
package rebal
