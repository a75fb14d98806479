// Package event splits a stream of server-sent events into whole events and
// reads their ids. The bytes of an event are never changed.
package event

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/gravitational/trace"
)

// MaxSize bounds one event in bytes.
const MaxSize = 1 << 20

// Event is one whole event with the blank line that ends it.
type Event struct {
	Raw []byte
	// ID is the event's id; HasID is false for events without one, such as
	// comments.
	ID    uint64
	HasID bool
}

// Reader reads whole events. An event that the stream ends in the middle of is
// dropped.
type Reader struct {
	r   *bufio.Reader
	buf []byte
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader {
	// Events are some hundred bytes long.
	return &Reader{r: bufio.NewReaderSize(r, 2048)}
}

var idField = []byte("id:")

// Next returns the next event; it is valid until the next call. It returns
// io.EOF at the end of the stream between two events, io.ErrUnexpectedEOF if
// the stream ends inside an event, trace.LimitExceeded for an event above
// MaxSize, and otherwise the error of the underlying reader.
func (r *Reader) Next() (Event, error) {
	r.buf = r.buf[:0]
	e := Event{}
	for {
		line, err := r.line()
		if err != nil {
			if errors.Is(err, io.EOF) && len(r.buf) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		if len(r.buf) > MaxSize {
			return Event{}, trace.LimitExceeded("an event is larger than %d bytes", MaxSize)
		}
		if len(line) == 0 {
			// A blank line ends the event, unless nothing came before it.
			e.Raw = r.buf
			return e, nil
		}
		if value, ok := bytes.CutPrefix(line, idField); ok {
			if id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64); err == nil {
				e.ID, e.HasID = id, true
			}
		}
	}
}

// line appends one line to the buffer and returns it without its end.
func (r *Reader) line() ([]byte, error) {
	start := len(r.buf)
	for {
		part, err := r.r.ReadSlice('\n')
		r.buf = append(r.buf, part...)
		switch {
		case err == nil:
			return bytes.TrimRight(r.buf[start:], "\r\n"), nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(r.buf) > MaxSize:
			return nil, trace.LimitExceeded("an event is larger than %d bytes", MaxSize)
		}
	}
}

// Buffered reports whether a part of the next event is there already.
func (r *Reader) Buffered() bool { return r.r.Buffered() > 0 }
