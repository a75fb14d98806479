// Package strict reads HTTP/1.1 messages by the grammar of RFC 9112. Lenient parsers
// turn what they cannot read into a default: fasthttp takes status 000 for 200 and a
// field "Content-Length : 4" for the length of the body. A faulty peer's bytes then look
// like a response, and two parsers on the way of a request disagree about its end.
//
// ReadResponseHeader and ReadRequestHeader read a header, NewChunkedReader a chunked
// body, and Conn checks the responses on a connection whose reader is another parser.
// Errors are trace.BadParameter for bytes that are no message, trace.LimitExceeded for
// one that is too large, io.EOF if nothing was read, io.ErrUnexpectedEOF for a message
// that is cut off, and otherwise those of the connection.
package strict
