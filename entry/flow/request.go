package flow

import (
	"io"
	"time"

	"parsleyroute.example/core"
)

// Request is an authenticated request of a caller.
type Request struct {
	ID      string
	Team    *core.TeamState
	Service *core.ServiceState
	Method  string
	// Path is the path with the query, without the prefix of the service.
	Path    string
	Headers []core.Header
	Body    []byte
	// Deadline is zero if neither the caller nor the service sets a limit.
	Deadline time.Time
	Priority int
	// IdempotencyKey is empty if the caller sent none.
	IdempotencyKey string
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
}

// Response is the response to a caller. If Stream is nil, Body is the complete
// body. Otherwise the body is read from Stream. Any error of Stream other than
// io.EOF means that the response is incomplete, and the caller must be able to
// see this.
type Response struct {
	Status  int
	Headers []core.Header
	Body    []byte
	Stream  io.ReadCloser
}
