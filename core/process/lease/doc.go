// Package lease implements leases with fencing tokens on top of the platform's
// store. A lease is one object of kind core.KindLease; its value names the
// holder, and the version of the write that acquired it is the fencing token.
//
// A holder measures the validity of its term on its own monotonic clock, starting
// before the write that acquired or renewed the lease is sent, and ends the term
// a tenth of the TTL early. A contender acquires the lease from another holder,
// by a conditional update, only if the object has not changed for the TTL on the
// contender's own clock. So two processes never hold the lease at once as long
// as their clock rates differ by less than a tenth. The absolute times of the
// clocks do not matter.
//
// The monotonic clock of Linux advances while a process is stopped, but not
// while the whole machine is suspended; in that case only the token protects.
//
// The term may end between a call of Held and the work that follows, for example
// if the process is paused. Requests therefore carry the token, and receivers
// reject lower tokens.
package lease
