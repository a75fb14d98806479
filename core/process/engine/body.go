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

// The paths of the control API of an engine.
const (
	PathLoad   = "/v1/load"
	PathOrders = "/v1/orders"
	PathEvents = "/v1/cache/events"
)

// ReasonOverloaded is the reason in a 503 response to a call that was not
// executed.
const ReasonOverloaded rest.Reason = "overloaded"

// LoadReport is the response body for PathLoad.
type LoadReport struct {
	Incarnation uint64    `json:"incarnation"`
	Inflight    int       `json:"inflight"`
	CreatedAt   time.Time `json:"at"`
}

// Order is the request body for PathOrders: a command of the group's leader.
type Order struct {
	Token    uint64 `json:"token"`
	Verb     string `json:"verb"`
	Argument string `json:"argument"`
}

// CacheEvent is a core.CacheEvent in JSON. The prefix is encoded as a string,
// because many decoders lose digits of JSON numbers above 2^53.
type CacheEvent struct {
	Sequence   uint64 `json:"sequence"`
	PrefixHash uint64 `json:"prefix,string"`
	Evicted    bool   `json:"evicted,omitempty"`
}

// CacheEvents is the response body for PathEvents.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// BlockSize is the unit of the prefix cache, in bytes of the request body.
const BlockSize = 256

// PrefixHashes returns the hashes by which engines identify cached prefixes of a
// request body: element i is the xxhash64 of the first (i+1)*BlockSize bytes. An
// incomplete last block has no hash.
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
