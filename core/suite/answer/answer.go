// Package answer computes the answers of the stand-in upstreams, so that a
// caller can check each byte of its own answer. An answer depends on the
// request's body, idempotency key and request id only.
package answer

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// EventSize is the length of each event of a stream but the last, in bytes.
const EventSize = len("id: 00000000\ndata: {\"token\":\"0123456789abcdef\"}\n\n")

// end closes a stream.
const end = "data: [DONE]\n\n"

// Seed identifies an answer.
type Seed uint64

// NewSeed returns the seed of a request's answer.
func NewSeed(body []byte, key, request string) Seed {
	d := xxhash.New()
	_, _ = d.Write(body)
	_, _ = d.WriteString("\x00" + key + "\x00" + request)
	return Seed(d.Sum64())
}

// Token returns the text of token i.
func (s Seed) Token(i int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(s))
	binary.LittleEndian.PutUint64(b[8:], uint64(i))
	return fmt.Sprintf("%016x", xxhash.Sum64(b[:]))
}

// Stream appends the server-sent events of the tokens from up to, but not
// including, to.
func (s Seed) Stream(p []byte, from, to int) []byte {
	for i := from; i < to; i++ {
		p = fmt.Appendf(p, "id: %08d\ndata: {\"token\":\"%s\"}\n\n", i, s.Token(i))
	}
	return p
}

// AppendEnd appends the last event of a stream.
func AppendEnd(p []byte) []byte { return append(p, end...) }

// CompleteStream returns a whole stream of n tokens.
func (s Seed) CompleteStream(n int) []byte { return AppendEnd(s.Stream(nil, 0, n)) }

// JSON returns the answer of n tokens as one JSON document.
func (s Seed) JSON(n int) []byte {
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = s.Token(i)
	}
	// Strings always encode.
	p, _ := json.Marshal(map[string][]string{"tokens": tokens})
	return p
}
