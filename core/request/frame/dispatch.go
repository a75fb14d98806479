package frame

import (
	"bufio"
	"bytes"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protodelim"

	"parsleyroute.example/core/wire"
)

// MaxBodyBytes is the maximum size of a request body.
const MaxBodyBytes = 8 << 20

// maxDispatchBytes is the maximum size of a dispatch without its body.
const maxDispatchBytes = 256 << 10

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
	if err := (protodelim.UnmarshalOptions{MaxSize: maxDispatchBytes}).UnmarshalFrom(r, d); err != nil {
		return nil, nil, trace.BadParameter("decode dispatch: %v", err)
	}
	bodyLength := r.Buffered() + src.Len()
	if uint64(bodyLength) != d.GetBodyLength() || bodyLength > MaxBodyBytes {
		return nil, nil, trace.BadParameter("dispatch declares a body of %d bytes but has one of %d", d.GetBodyLength(), bodyLength)
	}
	if d.GetAttempt().GetRequestId() == "" || d.GetAttempt().GetNumber() == 0 {
		return nil, nil, trace.BadParameter("dispatch has no request ID or attempt number")
	}
	return d, p[len(p)-bodyLength:], nil
}
