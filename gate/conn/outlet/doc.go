// Package outlet is an HTTP/1.1 client with a pool of connections to each
// upstream.
//
// A connection is reused only if the last response on it was read to its end
// and no other bytes have arrived since. The body of a response ends with
// io.EOF only if it is complete, except that a body without a length ends when
// the upstream closes the connection.
package outlet
