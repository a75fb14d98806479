// Package client calls the operators' API of the entries.
//
// A call goes to one entry, and to the next one if the first cannot be reached.
// A write keeps its nonce when it is retried, so that the API does not report a
// conflict with the earlier attempt if only the response to it was lost. Failed
// calls return an *Error.
package client
