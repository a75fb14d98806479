// Package event splits a stream of server-sent events into single events and
// parses their ids. It never changes the bytes of an event.
package event

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/gravitational/trace"
)

// MaxSize is the maximum size of an event in bytes.
const MaxSize = 1 << 20

// Event is one complete event, including the blank line that ends it.
type Event struct {
	Raw []byte
	// ID is the event's id. HasID is false for events without a numeric id, such
	// as comments.
	ID    uint64
	HasID bool
	// HasData is set if the event has a data field, so that it is more than a
	// comment.
	HasData bool
}

// Reader reads complete events. It discards an event that is incomplete at the
// end of the stream.
type Reader struct {
	// Reserve, if set, reserves memory for n more bytes of an event, if there is room.
	Reserve func(n int) bool

	r   *bufio.Reader
	buf []byte
	// reserved is the size for which memory was reserved.
	reserved int
}

// minReserved is the size in bytes up to which no memory is reserved for an event.
const minReserved = 8 << 10

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	// Events are a few hundred bytes long.
	return &Reader{r: bufio.NewReaderSize(r, 2048)}
}

var (
	idField   = []byte("id:")
	dataField = []byte("data")
)

// Next returns the next event, which is valid until the next call. It returns
// io.EOF if the stream ends between two events, io.ErrUnexpectedEOF if it ends
// within an event, trace.LimitExceeded if an event exceeds MaxSize or the memory, and
// otherwise the error of the underlying reader.
func (r *Reader) Next() (Event, error) {
	r.buf = r.buf[:0]
	e := Event{}
	for {
		line, err := r.readLine()
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
			// A blank line ends the event. If nothing precedes it, it is returned
			// as an event of its own.
			e.Raw = r.buf
			return e, nil
		}
		e.HasData = e.HasData || bytes.HasPrefix(line, dataField)
		if value, ok := bytes.CutPrefix(line, idField); ok {
			if id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64); err == nil {
				e.ID, e.HasID = id, true
			}
		}
	}
}

// readLine appends one line to the buffer and returns it without the line end.
func (r *Reader) readLine() ([]byte, error) {
	start := len(r.buf)
	for {
		part, err := r.r.ReadSlice('\n')
		if !r.grow(len(r.buf) + len(part)) {
			return nil, trace.LimitExceeded("no memory is left for an event of more than %d bytes", len(r.buf))
		}
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

// grow makes room for an event of the given size.
func (r *Reader) grow(size int) bool {
	if size <= cap(r.buf) {
		return true
	}
	next := max(2*cap(r.buf), size)
	if more := next - max(r.reserved, minReserved); more > 0 && r.Reserve != nil {
		if !r.Reserve(more) {
			return false
		}
		r.reserved = next
	}
	r.buf = append(make([]byte, 0, next), r.buf...)
	return true
}

// Buffered reports whether part of the next event has already been read from the
// underlying reader.
func (r *Reader) Buffered() bool { return r.r.Buffered() > 0 }
