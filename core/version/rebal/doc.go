// Package rebal is the leader's control loop that rebalances the experts of one
// group.
//
// In each round, the holder of the group's lease collects the expert loads from
// the agents of the ranks, averages them, and asks the placer for a better map.
// It stages the new map on all ranks, has the coordinator switch to it, and
// records it in the store. Every order contains the fencing token of the lease,
// so that the agents refuse a leader that was paused and has lost its lease. The
// recorded map is a core.KindMap object with the name of the group; its value is
// a wire.ExpertMap.
//
// Errors are trace.CompareFailed if the lease is not held or a newer leader was
// seen, trace.ConnectionProblem if a rank or the store is unreachable,
// trace.BadParameter for loads or records that do not match the group's shape,
// and those of commit.Coordinator.Switch.
package rebal
