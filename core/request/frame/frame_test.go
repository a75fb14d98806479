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

func encode(t *rapid.T, id string, attempt uint32, parts [][]byte) []byte {
	var b bytes.Buffer
	w := frame.NewWriter(bufio.NewWriter(&b), &wire.Attempt{RequestId: id, Number: attempt}, nil)
	must(t, w.Head(&wire.Head{Status: 200}))
	for _, p := range parts {
		must(t, w.Data(p))
		must(t, w.Ping())
	}
	must(t, w.Tail())
	return b.Bytes()
}

func must(t *rapid.T, err error) {
	if err != nil {
		t.Fatal(err)
	}
}

// readAll returns the data of the answer and the error that ended it.
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

// Guards against an answer that is cut or altered on the way and still passes
// as whole.
func TestReaderAcceptsOnlyWholeAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 1, 40), 1, 6).Draw(t, "parts")
		want := bytes.Join(parts, nil)
		stream := encode(t, "r", 2, parts)
		got, err := readAll(stream, "r", 2)
		if !errors.Is(err, io.EOF) || !bytes.Equal(got, want) {
			t.Fatalf("whole answer refused: %v", err)
		}
		cut := rapid.IntRange(0, len(stream)-1).Draw(t, "cut")
		if _, err := readAll(stream[:cut], "r", 2); errors.Is(err, io.EOF) {
			t.Fatalf("answer cut at %d of %d passed as whole", cut, len(stream))
		} else if !trace.IsConnectionProblem(err) {
			t.Fatalf("cut answer gave %T", err)
		}
		i := rapid.IntRange(0, len(stream)-1).Draw(t, "flip")
		bad := bytes.Clone(stream)
		bad[i] ^= byte(rapid.IntRange(1, 255).Draw(t, "mask"))
		if got, err := readAll(bad, "r", 2); errors.Is(err, io.EOF) && !bytes.Equal(got, want) {
			t.Fatalf("altered answer passed as whole")
		}
	})
}

// Guards against crossed answers: frames of another request or attempt.
func TestReaderDropsForeignFrames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		other := encode(t, "r", 1, [][]byte{[]byte("old attempt")})
		mine := encode(t, "r", 2, [][]byte{[]byte("mine")})
		got, err := readAll(append(other, mine...), "r", 2)
		if !errors.Is(err, io.EOF) || string(got) != "mine" {
			t.Fatalf("got %q, %v", got, err)
		}
	})
}

// Guards against a reader that never ends on a stream of foreign frames.
func TestReaderBoundsForeignFrames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one := encode(t, "other", 1, [][]byte{{1}})
		_, err := readAll(bytes.Repeat(one, 1024), "r", 1)
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

// Guards against answers after which the connection cannot be used again,
// because the source was not read to its end.
func TestFinishReadsToTheEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := encode(t, "r", 1, [][]byte{{1}})
		src := bytes.NewReader(stream)
		r := frame.NewReader(src, "r", 1)
		if r.Finish() {
			t.Fatal("finished before the tail")
		}
		for {
			if _, err := r.Next(); err != nil {
				break
			}
		}
		if !r.Finish() || src.Len() != 0 {
			t.Fatal("not at the end after a whole answer")
		}
	})
}
