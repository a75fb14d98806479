package flow

import (
	"io"
	"time"

	"parsleyroute.example/core"
)

// Request is a caller's request after authentication.
type Request struct {
	ID      string
	Team    *core.TeamState
	Service *core.ServiceState
	Method  string
	// Path is the path and query below the service.
	Path    string
	Headers []core.Header
	Body    []byte
	// Deadline is zero if the caller gave none and the service has no timeout.
	Deadline time.Time
	Priority int
	// Key is the idempotency key; empty if the caller gave none.
	Key        string
	Repeatable bool
}

// Answer is what a caller gets. If Stream is nil, Body is the whole body.
// Otherwise the body is read from Stream, whose error other than io.EOF means
// that the answer is not whole and must not look so.
type Answer struct {
	Status  int
	Headers []core.Header
	Body    []byte
	Stream  io.ReadCloser
}
