package frame

import (
	"bufio"
	"errors"
	"io"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protodelim"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/wire"
)

// MaxFrame is the greatest size of a frame in bytes.
const MaxFrame = 4 << 20

// maxForeign bounds the frames of other attempts that one Reader drops, so
// that a stream of foreign frames cannot hold a request for ever.
const maxForeign = 1024

// Reader reads the frames of one attempt's answer.
type Reader struct {
	r         *bufio.Reader
	requestID string
	attempt   uint32
	seq       uint64
	foreign   int
	length    uint64
	sum       *xxhash.Digest
	// done is read by Finish while Next may still run.
	done atomic.Bool
}

// NewReader returns a Reader for the attempt.
func NewReader(r io.Reader, requestID string, attempt uint32) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, 16<<10), requestID: requestID, attempt: attempt, sum: xxhash.New()}
}

// Length returns the number of body bytes read so far.
func (r *Reader) Length() uint64 { return r.length }

// Next returns the next frame of the attempt. After a valid tail it returns
// io.EOF. A stream that ends earlier is a trace.ConnectionProblem; a gap or a
// tail that does not match is a *core.Refusal with ReasonCorruptAnswer.
func (r *Reader) Next() (*wire.Frame, error) {
	if r.done.Load() {
		return nil, io.EOF
	}
	for {
		f := &wire.Frame{}
		if err := (protodelim.UnmarshalOptions{MaxSize: MaxFrame}).UnmarshalFrom(r.r, f); err != nil {
			return nil, readError(err)
		}
		if f.GetRequestId() != r.requestID || f.GetAttempt() != r.attempt {
			meter.Event("frame_foreign")
			if r.foreign++; r.foreign > maxForeign {
				return nil, corrupt("too many frames of other attempts")
			}
			continue
		}
		return r.check(f)
	}
}

// Finish reads to the end of the source after a valid tail and reports whether
// nothing followed. Without it the HTTP client cannot reuse the connection.
func (r *Reader) Finish() bool {
	if !r.done.Load() {
		return false
	}
	_, err := r.r.ReadByte()
	return errors.Is(err, io.EOF)
}

func (r *Reader) check(f *wire.Frame) (*wire.Frame, error) {
	if f.GetSequence() != r.seq {
		return nil, corrupt("gap in the frame sequence")
	}
	r.seq++
	switch k := f.GetKind().(type) {
	case *wire.Frame_Data:
		r.length += uint64(len(k.Data))
		_, _ = r.sum.Write(k.Data)
	case *wire.Frame_Tail:
		if k.Tail.GetLength() != r.length || k.Tail.GetXxhash() != r.sum.Sum64() {
			return nil, corrupt("length or check sum of the answer does not match")
		}
		r.done.Store(true)
	}
	return f, nil
}

func corrupt(message string) error {
	meter.Event("frame_corrupt")
	return &core.Refusal{Reason: core.ReasonCorruptAnswer, Message: message, Execution: core.ExecutionUnknown}
}

func readError(err error) error {
	var large *protodelim.SizeTooLargeError
	if errors.As(err, &large) {
		return corrupt("frame is too large")
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		// io.EOF itself must not be in the chain: it marks a whole answer.
		return trace.ConnectionProblem(io.ErrUnexpectedEOF, "answer ended before its tail")
	}
	return trace.ConnectionProblem(err, "read frame")
}
