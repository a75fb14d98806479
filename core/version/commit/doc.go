// Package commit switches the expert map of a group in two phases, so that in
// every step all ranks use the same map. Rank is the side of each rank's agent;
// Decider runs in the agent of rank 0.
//
// # Protocol
//
// Every attempt has a ballot. The decider first inspects all ranks with the new
// ballot; a rank that has promised it refuses all lower ones, and since only a
// higher ballot is promised, two deciders cannot both use one. With all answers
// it resolves what earlier attempts left: if any rank has committed a switch or
// has its epoch active, the switch is completed on all ranks; otherwise it is
// given up on all. Only then does a new switch begin: all ranks prepare (they
// promise to hold at step S), and once all have promised, all commit. A rank
// that cannot promise, because S has begun, makes the decider start over under
// a higher ballot, which gives the attempt up.
//
// The outcome is fixed by the first rank that accepts a commit, not by the
// decider, which keeps nothing. A commit that reached no rank is given up by
// the next ballot, and its late messages are refused by every rank that the
// ballot has reached. Success is reported only once every rank has accepted.
//
// A replaced engine has lost its promises. Orders name the engine's
// incarnation, so that late ones are refused. The new engine takes part in no
// step until a decider admits it. This comes last: after all ranks, joining ones
// included, have acknowledged the resolution under the same ballot, so that none
// has an open promise and none was admitted or switched by another decider. The joining rank gets the active map, and also the committed
// one if that is still to come.
//
// A rank that holds waits without limit, since it cannot know the outcome. The
// group goes on as soon as one decider reaches all ranks: the agent of rank 0
// recovers when it starts and whenever a poll finds a rank that holds or joins.
//
// Refused orders are trace.CompareFailed, unreachable ranks
// trace.ConnectionProblem.
package commit
