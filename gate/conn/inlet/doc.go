// Package inlet serves callers' connections with HTTP/1.1.
//
// It reads requests whole, within the limits of the configuration in force, and
// refuses messages whose framing is ambiguous. It notices when the caller
// closes the connection while its request is handled, and it never makes an
// answer that was broken off look complete.
package inlet
