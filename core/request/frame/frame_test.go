package frame_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/gravitational/trace"
	"pgregory.net/rapid"

	"parsleyroute.example/core"
	"parsleyroute.example/core/request/frame"
	_ "parsleyroute.example/core/suite/seed"
	"parsleyroute.example/core/wire"
)

func encodeAnswer(t *rapid.T, id string, attempt uint32, parts [][]byte) []byte {
	var b bytes.Buffer
	w := frame.NewWriter(bufio.NewWriter(&b), &wire.Attempt{RequestId: id, Number: attempt}, nil)
	requireNoError(t, w.Head(&wire.Head{Status: 200}))
	for _, p := range parts {
		requireNoError(t, w.Data(p))
		requireNoError(t, w.Ping())
	}
	requireNoError(t, w.Tail())
	return b.Bytes()
}

func requireNoError(t *rapid.T, err error) {
	if err != nil {
		t.Fatal(err)
	}
}

// readAll returns the data of the answer and the error at its end.
func readAll(p []byte, id string, attempt uint32) ([]byte, error) {
	r := frame.NewReader(bytes.NewReader(p), id, attempt)
	var data []byte
	for {
		f, err := r.Next()
		if err != nil {
			return data, err
		}
		data = append(data, f.GetData()...)
	}
}

// Guards against an answer that is truncated or corrupted in transit but accepted
// as complete.
func TestReaderAcceptsOnlyCompleteAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 1, 40), 1, 6).Draw(t, "parts")
		want := bytes.Join(parts, nil)
		stream := encodeAnswer(t, "r", 2, parts)
		got, err := readAll(stream, "r", 2)
		if !errors.Is(err, io.EOF) || !bytes.Equal(got, want) {
			t.Fatalf("complete answer refused: %v", err)
		}
		cut := rapid.IntRange(0, len(stream)-1).Draw(t, "cut")
		if _, err := readAll(stream[:cut], "r", 2); errors.Is(err, io.EOF) {
			t.Fatalf("answer truncated to %d of %d bytes was accepted", cut, len(stream))
		} else if !trace.IsConnectionProblem(err) {
			t.Fatalf("truncated answer returned error of type %T", err)
		}
		i := rapid.IntRange(0, len(stream)-1).Draw(t, "flip")
		bad := bytes.Clone(stream)
		bad[i] ^= byte(rapid.IntRange(1, 255).Draw(t, "mask"))
		if got, err := readAll(bad, "r", 2); errors.Is(err, io.EOF) && !bytes.Equal(got, want) {
			t.Fatalf("corrupted answer was accepted")
		}
	})
}

// Guards against mixed-up answers: frames of another request or attempt.
func TestReaderDropsForeignFrames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		other := encodeAnswer(t, "r", 1, [][]byte{[]byte("old attempt")})
		mine := encodeAnswer(t, "r", 2, [][]byte{[]byte("mine")})
		got, err := readAll(append(other, mine...), "r", 2)
		if !errors.Is(err, io.EOF) || string(got) != "mine" {
			t.Fatalf("got %q, %v", got, err)
		}
	})
}

// Guards against a Reader that never returns on a stream of frames of other
// attempts.
func TestReaderBoundsForeignFrames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		foreign := encodeAnswer(t, "other", 1, [][]byte{{1}})
		_, err := readAll(bytes.Repeat(foreign, 1024), "r", 1)
		if r, ok := core.AsRefusal(err); !ok || r.Reason != core.ReasonCorruptAnswer {
			t.Fatalf("got %v", err)
		}
	})
}

func FuzzDecodeDispatch(f *testing.F) {
	p, _ := frame.EncodeDispatch(&wire.Dispatch{Attempt: &wire.Attempt{RequestId: "r", Number: 1}}, []byte("body"))
	f.Add(p)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, p []byte) {
		d, body, err := frame.DecodeDispatch(p)
		if err == nil && uint64(len(body)) != d.GetBodyLength() {
			t.Fatal("body length differs from the declared length")
		}
	})
}

func FuzzReader(f *testing.F) {
	f.Add([]byte{0x02, 0x0a, 0x00})
	f.Fuzz(func(_ *testing.T, p []byte) {
		_, _ = readAll(p, "r", 1)
	})
}

// Guards against answers after which the connection cannot be reused because the
// source was not read to its end.
func TestFinishReadsToTheEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := encodeAnswer(t, "r", 1, [][]byte{{1}})
		src := bytes.NewReader(stream)
		r := frame.NewReader(src, "r", 1)
		if r.Finish() {
			t.Fatal("Finish succeeded before the tail")
		}
		for {
			if _, err := r.Next(); err != nil {
				break
			}
		}
		if !r.Finish() || src.Len() != 0 {
			t.Fatal("source not at its end after a complete answer")
		}
	})
}
