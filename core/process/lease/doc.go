// Package lease holds leases in the platform's store. A lease is one object of
// kind core.KindLease; its value names the holder, and the version of the
// write that acquired it is the fencing token.
//
// A holder measures its validity on its own monotonic clock from before the
// write that acquired or renewed the lease was sent, and ends it a tenth of
// the TTL early. A contender takes the lease over, by a conditional update,
// only when the object has not changed for the TTL as observed on its own
// clock. So two holders never consider themselves valid at once as long as
// their clocks' rates differ by less than a tenth; nothing depends on the
// clocks' absolute times.
//
// The monotonic clock of Linux goes on while a process is stopped but stands
// still while a whole machine is suspended; then only the token protects.
//
// Validity may end between a call of Held and the work that follows, for
// example when the process is paused. Work therefore carries the token, and
// its receivers refuse lower ones.
package lease
