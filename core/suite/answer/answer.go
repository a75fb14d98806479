// Package answer generates the response bodies of the fake upstreams. A body
// depends only on the body, the idempotency key and the id of the request, so
// that a caller can verify each byte of its response.
package answer

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// EventSize is the size in bytes of each event of a stream except the last.
const EventSize = len("id: 00000000\ndata: {\"token\":\"0123456789abcdef\"}\n\n")

// doneEvent is the last event of a stream.
const doneEvent = "data: [DONE]\n\n"

// Seed determines the tokens of a response.
type Seed uint64

// NewSeed returns the seed for the response to a request.
func NewSeed(body []byte, idempotencyKey, requestID string) Seed {
	h := xxhash.New()
	_, _ = h.Write(body)
	_, _ = h.WriteString("\x00" + idempotencyKey + "\x00" + requestID)
	return Seed(h.Sum64())
}

// Token returns the text of token i.
func (s Seed) Token(i int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(s))
	binary.LittleEndian.PutUint64(b[8:], uint64(i))
	return fmt.Sprintf("%016x", xxhash.Sum64(b[:]))
}

// Stream appends the server-sent events of the tokens i with from <= i < to.
func (s Seed) Stream(p []byte, from, to int) []byte {
	for i := from; i < to; i++ {
		p = fmt.Appendf(p, "id: %08d\ndata: {\"token\":\"%s\"}\n\n", i, s.Token(i))
	}
	return p
}

// AppendEnd appends the last event of a stream.
func AppendEnd(p []byte) []byte { return append(p, doneEvent...) }

// CompleteStream returns a stream of n tokens with its last event.
func (s Seed) CompleteStream(n int) []byte { return AppendEnd(s.Stream(nil, 0, n)) }

// JSON returns a response of n tokens as one JSON document.
func (s Seed) JSON(n int) []byte {
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = s.Token(i)
	}
	// Strings always marshal without error.
	p, _ := json.Marshal(map[string][]string{"tokens": tokens})
	return p
}
