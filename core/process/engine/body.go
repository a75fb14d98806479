package engine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleyroute.example/core/conn/rest"
)

// The headers between an agent and its upstream.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderPriority       = "X-Priority"
	HeaderDeadlineMs     = "X-Deadline-Ms"
	HeaderResumeOffset   = "X-Resume-Offset"
	HeaderResumable      = "X-Resumable"
)

// The paths of an engine's own API.
const (
	PathLoad   = "/v1/load"
	PathOrders = "/v1/orders"
	PathEvents = "/v1/cache/events"
)

// ReasonOverloaded is the reason of a 503 for a call that was not run.
const ReasonOverloaded rest.Reason = "overloaded"

// LoadReport answers a request for the load report.
type LoadReport struct {
	Incarnation uint64    `json:"incarnation"`
	Inflight    int       `json:"inflight"`
	At          time.Time `json:"at"`
}

// Order is a leader's order.
type Order struct {
	Token    uint64 `json:"token"`
	Verb     string `json:"verb"`
	Argument string `json:"argument"`
}

// CacheEvent is a core.CacheEvent in JSON. Prefix is text, because JSON numbers lose
// digits above 2^53 in many decoders.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix,string"`
	Evicted  bool   `json:"evicted,omitempty"`
}

// CacheEvents answers a request for cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// BlockSize is the unit of the prefix cache, in bytes of the request body.
const BlockSize = 256

// PrefixHashes returns the hashes by which engines announce the whole blocks of a
// request body: element i is the xxhash64 of the first (i+1)*BlockSize bytes.
func PrefixHashes(body []byte) []uint64 {
	d := xxhash.New()
	out := make([]uint64, 0, len(body)/BlockSize)
	for len(body) >= BlockSize {
		_, _ = d.Write(body[:BlockSize])
		out = append(out, d.Sum64())
		body = body[BlockSize:]
	}
	return out
}
