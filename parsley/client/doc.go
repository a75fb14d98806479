// Package client calls the operators' API of the entries.
//
// A call goes to one entry, and to the next one if that cannot be reached. A
// write keeps its nonce when it is repeated, so that a write whose answer was
// lost is not taken for a conflict with itself. Failures are *Error.
package client
