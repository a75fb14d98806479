// Package outlet holds the connections to upstreams and speaks HTTP/1.1 on
// them.
//
// A connection is used again only if the last answer on it was read to its end
// and nothing else has arrived since. The body of an answer ends with io.EOF
// only if it is complete.
package outlet
