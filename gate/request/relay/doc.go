// Package relay carries a request from a caller to an upstream and the answer
// back.
//
// A request that may run only once is sent again only after an upstream has
// stated that it did not run it, or if nothing of it was sent. A refusal with
// status 503 is written only if the request has not run and never will.
// Streams that can be resumed go on at another upstream inside the same answer.
package relay
