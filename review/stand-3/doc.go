// Package stand holds the stand-ins of the cases of the third review: the platform's store, a
// worker and a client, which do what PROTOCOL.md says, and what starts gates beside them. It
// needs the standard library only.
package stand
