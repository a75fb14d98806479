package frame

import (
	"bufio"
	"bytes"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protodelim"

	"parsleyroute.example/core/wire"
)

// MaxBodyBytes is the greatest size of a request body in bytes.
const MaxBodyBytes = 8 << 20

// maxDispatch is the greatest size of a dispatch without its body in bytes.
const maxDispatch = 256 << 10

// EncodeDispatch returns the dispatch followed by the body.
func EncodeDispatch(d *wire.Dispatch, body []byte) ([]byte, error) {
	d.BodyLength = uint64(len(body))
	var b bytes.Buffer
	b.Grow(512 + len(body))
	if _, err := protodelim.MarshalTo(&b, d); err != nil {
		return nil, trace.BadParameter("encode dispatch: %v", err)
	}
	b.Write(body)
	return b.Bytes(), nil
}

// DecodeDispatch is the inverse of EncodeDispatch. The body shares p's memory.
func DecodeDispatch(p []byte) (*wire.Dispatch, []byte, error) {
	src := bytes.NewReader(p)
	r := bufio.NewReader(src)
	d := &wire.Dispatch{}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxDispatch}).UnmarshalFrom(r, d); err != nil {
		return nil, nil, trace.BadParameter("decode dispatch: %v", err)
	}
	rest := r.Buffered() + src.Len()
	if uint64(rest) != d.GetBodyLength() || rest > MaxBodyBytes {
		return nil, nil, trace.BadParameter("dispatch declares a body of %d bytes and has %d", d.GetBodyLength(), rest)
	}
	if d.GetAttempt().GetRequestId() == "" || d.GetAttempt().GetNumber() == 0 {
		return nil, nil, trace.BadParameter("dispatch without request id or attempt number")
	}
	return d, p[len(p)-rest:], nil
}
