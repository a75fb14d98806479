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

// MaxFrameBytes is the maximum size of a frame.
const MaxFrameBytes = 4 << 20

// maxForeignFrames is the maximum number of frames of other attempts that a Reader
// drops, so that a stream of such frames cannot block a request forever.
const maxForeignFrames = 1024

// Reader reads the frames of the answer to one attempt.
type Reader struct {
	r         *bufio.Reader
	requestID string
	attempt   uint32
	seq       uint64
	foreign   int
	length    uint64
	hash      *xxhash.Digest
	// done is set after a valid tail. It is atomic because Finish may read it
	// while Next runs.
	done atomic.Bool
}

// NewReader returns a Reader for the attempt.
func NewReader(r io.Reader, requestID string, attempt uint32) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, 16<<10), requestID: requestID, attempt: attempt, hash: xxhash.New()}
}

// Length returns the number of body bytes read so far.
func (r *Reader) Length() uint64 { return r.length }

// Next returns the next frame of the attempt. After a valid tail it returns
// io.EOF. If the stream ends earlier, it returns a trace.ConnectionProblem. For a
// gap in the sequence numbers, a tail that does not match the data, a frame that
// is too large, or too many frames of other attempts it returns a *core.Refusal
// with core.ReasonCorruptAnswer.
func (r *Reader) Next() (*wire.Frame, error) {
	if r.done.Load() {
		return nil, io.EOF
	}
	for {
		f := &wire.Frame{}
		if err := (protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}).UnmarshalFrom(r.r, f); err != nil {
			return nil, readError(err)
		}
		if f.GetRequestId() != r.requestID || f.GetAttempt() != r.attempt {
			meter.Event("frame_foreign")
			if r.foreign++; r.foreign > maxForeignFrames {
				return nil, corruptAnswer("too many frames of other attempts")
			}
			continue
		}
		return r.check(f)
	}
}

// Finish reads the end of the source after a valid tail and reports whether
// nothing followed the tail. Without this read, the HTTP client cannot reuse the
// connection.
func (r *Reader) Finish() bool {
	if !r.done.Load() {
		return false
	}
	_, err := r.r.ReadByte()
	return errors.Is(err, io.EOF)
}

func (r *Reader) check(f *wire.Frame) (*wire.Frame, error) {
	if f.GetSequence() != r.seq {
		return nil, corruptAnswer("gap in the frame sequence numbers")
	}
	r.seq++
	switch k := f.GetKind().(type) {
	case *wire.Frame_Data:
		r.length += uint64(len(k.Data))
		_, _ = r.hash.Write(k.Data)
	case *wire.Frame_Tail:
		if k.Tail.GetLength() != r.length || k.Tail.GetXxhash() != r.hash.Sum64() {
			return nil, corruptAnswer("length or checksum of the answer does not match")
		}
		r.done.Store(true)
	}
	return f, nil
}

func corruptAnswer(message string) error {
	meter.Event("frame_corrupt")
	return &core.Refusal{Reason: core.ReasonCorruptAnswer, Message: message, Execution: core.ExecutionUnknown}
}

func readError(err error) error {
	var large *protodelim.SizeTooLargeError
	if errors.As(err, &large) {
		return corruptAnswer("frame is too large")
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		// The error must not wrap io.EOF, which marks a complete answer.
		return trace.ConnectionProblem(io.ErrUnexpectedEOF, "answer ended before its tail")
	}
	return trace.ConnectionProblem(err, "read frame")
}
