// Package ranks balances the experts of rank groups. The gate that holds the
// lease reads how often each expert is selected, plans a better expert map and
// has all ranks of a group switch to it at the start of the same forward pass.
//
// # Switch protocol
//
// Each switch has a version, derived from the versions seen and the nonce of the
// process so that two are very unlikely to be equal, and four phases:
//
//  1. prepare: each rank copies the experts that the map assigns to it. The
//     phase ends when all ranks report that the copy is complete.
//  2. hold: one rank keeps the group from beginning forward pass S.
//  3. arm: each rank promises to switch when pass S begins. No rank is armed
//     before the hold is confirmed.
//  4. release: the hold ends. The release is ordered only after every rank has
//     confirmed its promise.
//
// Pass S therefore begins either with all ranks armed or not at all. An order
// whose response is lost is repeated until it is confirmed. An order that is
// executed late is either refused, because the rank has passed S, or has no
// effect, because the rank is already in the requested state.
//
// A leader that finds a rank armed or held by an order of another process
// completes that switch: it arms the remaining ranks and releases the hold. It
// does not roll the switch back, because the former leader may have received
// all confirmations and its release may be in transit. There is one exception:
// a rank that no longer has the version prepared can never be armed with it, so
// the former leader cannot have released the hold and never will. Only then are
// the armed ranks disarmed, and the group switches to the map in use under a new
// version instead.
//
// A hold thus always ends with all ranks armed with one version before the held
// pass. No other switch can hold that pass again, so that several gates may recover
// a switch at once and late copies of their orders have no effect. The leader and the
// contenders use the same token, and ranks do not count these orders in their sequence.
//
// Restarted or reconnected ranks form a group with a new epoch, in which nothing
// is prepared, armed or held. Every order carries the epoch.
package ranks
