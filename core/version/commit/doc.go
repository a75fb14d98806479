// Package commit switches the expert map of a group with a two-phase commit, so
// that all ranks use the same map in every step. FencedRank runs in the agent of
// each rank, Coordinator in the agent of rank 0.
//
// # Protocol
//
// Every attempt has a ballot. The coordinator first inspects all ranks with the
// new ballot. A rank that has promised a ballot refuses all lower ones, and it
// promises only higher ones, so two coordinators cannot both use the same
// ballot. Once all ranks have replied, the coordinator resolves what earlier
// attempts left behind: if any rank has committed a switch or has its epoch
// active, it completes the switch on all ranks; otherwise it aborts it on all
// ranks. Only then does a new switch start: all ranks prepare, which is a promise
// to wait before step S, and once all have promised, all commit. If a rank cannot
// promise because S has begun, the coordinator starts a new attempt with a higher
// ballot, which aborts the current one.
//
// The outcome is determined by the first rank that accepts a commit, not by the
// coordinator, which stores nothing. A commit that reached no rank is aborted by
// the next ballot, and its late messages are refused by every rank that the
// ballot has reached. Success is reported only once every rank has accepted.
//
// An engine that is replaced loses its promises. Orders contain the engine's
// incarnation, so that late ones are refused. The new engine is joining: it takes
// part in no step until a coordinator admits it. Admission comes last: after all
// ranks, including joining ones, have acknowledged the resolution with the same
// ballot. Then no rank has an open promise, and no other coordinator has admitted
// or switched a rank since the inspection. The joining rank gets the active map,
// and also the committed map if that switch is still to come.
//
// A rank that holds waits without a time limit, because it cannot know the
// outcome. The group continues as soon as one coordinator reaches all ranks: the
// agent of rank 0 recovers when it starts and whenever a poll finds a rank that
// holds or joins.
//
// Refused orders fail with trace.CompareFailed, orders to unreachable ranks with
// trace.ConnectionProblem.
package commit
