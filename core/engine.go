package core

import (
	"context"
	"io"
	"time"
)

// Header is one HTTP header field.
type Header struct {
	Name  string
	Value string
}

// Call is one request to an upstream.
type Call struct {
	RequestID string
	Method    string
	// Path includes the query string.
	Path    string
	Headers []Header
	Body    []byte
	// Timeout is the time left to the deadline; zero means none.
	Timeout time.Duration
	// Priority is the priority of the request; higher values come first.
	Priority       int
	IdempotencyKey string
	// ResumeOffset is the number of response bytes to skip when a stream is
	// resumed; zero for a new call.
	ResumeOffset uint64
	// OnRelease, if set, is called once, when the call no longer occupies the
	// upstream: its response was read to the end, the call was not sent, or the
	// upstream has closed the connection of a canceled call. This can be after
	// Do and Close have returned.
	OnRelease func()
}

// Reply is an upstream's response. The caller must close Body; closing it
// before its end cancels the call.
type Reply struct {
	Status  int
	Headers []Header
	// Resumable is set if the engine can resume the stream.
	Resumable bool
	Body      io.ReadCloser
}

// EngineReport is the load that an engine reports about itself. It lags behind
// the state of the engine.
type EngineReport struct {
	// Incarnation changes whenever the engine restarts; zero if unknown.
	Incarnation uint64
	Inflight    int
	// CreatedAt is when the engine created the report.
	CreatedAt time.Time
}

// Engine is the interface of an agent to its upstream, which is a model engine
// or a plain service. An error is trace.ConnectionProblem if the upstream may
// have executed the call, and a *Refusal with NotExecuted if it has not.
type Engine interface {
	Do(ctx context.Context, call *Call) (*Reply, error)
	// Report returns the last load report. The error is trace.NotImplemented for
	// upstreams that report no load.
	Report(ctx context.Context) (EngineReport, error)
	// Command forwards a leader's order with its fencing token.
	Command(ctx context.Context, token uint64, verb, argument string) error
	// CacheEvents returns the events after sequence number from. A gap in the
	// sequence numbers means that events were lost.
	CacheEvents(ctx context.Context, from uint64) ([]CacheEvent, error)
}

// CacheEvent reports that an engine has stored or evicted a prompt prefix.
type CacheEvent struct {
	Sequence   uint64
	PrefixHash uint64
	Evicted    bool
}

// Load is the load of an upstream, as its agent reports it to an entry.
type Load struct {
	Inflight int
	Limit    int
	// Credit is the number of requests that the entry may have in flight.
	Credit      int
	ServiceTime time.Duration
	Draining    bool
	Incarnation uint64
	// OwnInflight is the number of the entry's own requests that were in flight
	// at the agent when the entry received the report. Inflight includes them.
	OwnInflight int
	// ReceivedAt is when the entry received the report.
	ReceivedAt time.Time
}

// WeightStore is the rate-limited store of expert weights.
type WeightStore interface {
	// Fetch copies an expert's weights to the rank and returns when they are there.
	Fetch(ctx context.Context, group string, rank int, layer, expert uint32) error
}
