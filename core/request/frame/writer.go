package frame

import (
	"bufio"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protodelim"

	"parsleyroute.example/core/wire"
)

// Writer writes the frames of the answer to one attempt. It is safe for concurrent
// use, so that pings can be sent while the answer is written.
type Writer struct {
	mu      sync.Mutex
	w       *bufio.Writer
	attempt *wire.Attempt
	load    func() *wire.Load
	seq     uint64
	length  uint64
	hash    *xxhash.Digest
}

// NewWriter returns a Writer for the attempt. load returns the load report that is
// sent with heads, tails, refusals and pings; it may be nil.
func NewWriter(w *bufio.Writer, attempt *wire.Attempt, load func() *wire.Load) *Writer {
	return &Writer{w: w, attempt: attempt, load: load, hash: xxhash.New()}
}

// Head writes the answer's status and headers.
func (w *Writer) Head(head *wire.Head) error {
	return w.write(&wire.Frame{Kind: &wire.Frame_Head{Head: head}})
}

// Data writes a part of the body of the answer.
func (w *Writer) Data(p []byte) error {
	return w.write(&wire.Frame{Kind: &wire.Frame_Data{Data: p}})
}

// Tail ends a complete answer.
func (w *Writer) Tail() error {
	w.mu.Lock()
	tail := &wire.Tail{Length: w.length, Xxhash: w.hash.Sum64()}
	w.mu.Unlock()
	return w.write(&wire.Frame{Kind: &wire.Frame_Tail{Tail: tail}})
}

// Refusal ends an answer with a refusal.
func (w *Writer) Refusal(refusal *wire.Refusal) error {
	return w.write(&wire.Frame{Kind: &wire.Frame_Refusal{Refusal: refusal}})
}

// Ping signals that the agent is alive.
func (w *Writer) Ping() error {
	return w.write(&wire.Frame{Kind: &wire.Frame_Ping{Ping: &wire.Ping{}}})
}

func (w *Writer) write(f *wire.Frame) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	f.RequestId = w.attempt.GetRequestId()
	f.Attempt = w.attempt.GetNumber()
	f.Sequence = w.seq
	w.seq++
	if d, ok := f.Kind.(*wire.Frame_Data); ok {
		w.length += uint64(len(d.Data))
		_, _ = w.hash.Write(d.Data)
	} else if w.load != nil {
		f.Load = w.load()
	}
	if _, err := protodelim.MarshalTo(w.w, f); err != nil {
		return trace.ConnectionProblem(err, "write frame")
	}
	if err := w.w.Flush(); err != nil {
		return trace.ConnectionProblem(err, "flush frame")
	}
	return nil
}
