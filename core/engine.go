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
	Timeout        time.Duration
	Priority       int
	IdempotencyKey string
	// ResumeOffset is the number of bytes of the answer to skip when a stream is
	// resumed; zero for a new call.
	ResumeOffset uint64
	// OnRelease, if set, is called once when the upstream has let go of the call: its
	// answer was read to the end, the call was not sent, or the upstream has
	// closed the connection of a call that was given up. Until then the call
	// uses the upstream. It can come after Do and Close have returned.
	OnRelease func()
}

// Reply is an upstream's answer. The caller closes Body; closing it before its
// end cancels the work.
type Reply struct {
	Status  int
	Headers []Header
	// Resumable tells that the engine can resume the stream.
	Resumable bool
	Body      io.ReadCloser
}

// EngineReport is an engine's own load report. It lags behind the engine.
type EngineReport struct {
	// Incarnation changes whenever the engine restarts; zero if unknown.
	Incarnation uint64
	Inflight    int
	// CreatedAt is when the report was made.
	CreatedAt time.Time
}

// Engine is an upstream as its agent meets it: a model engine or a plain
// service. Its errors are trace.ConnectionProblem if the upstream may have run
// the call, and a *Refusal with RunNo if it has not.
type Engine interface {
	Do(ctx context.Context, call *Call) (*Reply, error)
	// Report returns the last load report; trace.NotImplemented for upstreams
	// that make none.
	Report(ctx context.Context) (EngineReport, error)
	// Command passes on a leader's order with its fencing token.
	Command(ctx context.Context, token uint64, verb, argument string) error
	// CacheEvents returns the prefix hashes announced after sequence from. A
	// gap in the sequence numbers means that events were lost.
	CacheEvents(ctx context.Context, from uint64) ([]CacheEvent, error)
}

// CacheEvent announces that an engine has stored or evicted a prompt prefix.
type CacheEvent struct {
	Sequence   uint64
	PrefixHash uint64
	Evicted    bool
}

// Load is an agent's report to an entry.
type Load struct {
	Inflight int
	Limit    int
	// Credit is the number of requests that the entry may have in flight.
	Credit      int
	ServiceTime time.Duration
	Draining    bool
	Incarnation uint64
	// OwnInflight is the number of the entry's own requests in flight at the agent when
	// it received the report. They are part of Inflight.
	OwnInflight int
	// ReceivedAt is when the entry received the report.
	ReceivedAt time.Time
}

// WeightStore is the rate-limited weight store.
type WeightStore interface {
	// Fetch returns when the expert's weights are at the rank.
	Fetch(ctx context.Context, group string, rank int, layer, expert uint32) error
}
