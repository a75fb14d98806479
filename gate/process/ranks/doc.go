// Package ranks balances the experts of groups of ranks. The gate that holds
// the lease reads how often each expert is chosen, plans a better map and has
// all ranks of a group switch to it as one pass begins.
//
// # Protocol of a switch
//
// A switch has a version that no other switch has, since it is made from the
// lease's token, and four phases:
//
//  1. prepare: each rank copies its part of the map. The phase ends when all
//     ranks report the copy complete.
//  2. hold: one rank keeps the group from beginning pass S.
//  3. arm: each rank promises to switch as pass S begins. Nothing is armed
//     before the hold is confirmed.
//  4. release: the hold ends. It is ordered only after every rank has confirmed
//     its promise.
//
// So pass S begins either with all ranks armed, or not at all. An order whose
// answer is lost is repeated until it is confirmed; one that is carried out late
// meets a rank that has passed S and is refused, or repeats what holds already.
//
// A leader that finds a rank armed or held which it has not ordered itself
// completes that switch: it arms the remaining ranks and releases the hold. It
// never takes a promise back, because the former leader may have confirmed all
// of them and its release may be on the way. There is one exception: a rank
// that no longer has the version prepared can never be armed with it, so that
// the former leader cannot have released the hold and never will. Only then are
// the promises taken back, and the hold is released when no rank can be armed
// any more.
//
// Restarted or reconnected ranks form a group of a new epoch, in which nothing is
// prepared, armed or held. Every order carries the epoch.
package ranks
