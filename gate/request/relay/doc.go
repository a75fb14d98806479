// Package relay forwards requests from callers to upstreams and returns the
// responses.
//
// A request that may run only once is retried only if nothing of it was sent or
// if the upstream states that it did not run it. A 503 response of the gate
// guarantees that the request has not run and will not run. If a stream can be
// resumed, it continues on another upstream within the same response.
package relay
