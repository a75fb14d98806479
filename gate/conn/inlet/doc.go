// Package inlet is the HTTP/1.1 server for callers' connections.
//
// It reads complete requests, within the limits of the current configuration,
// and rejects messages whose framing is ambiguous. It detects when a caller
// closes the connection while its request is handled, and it ensures that an
// aborted response never looks complete.
package inlet
