package front

import (
	"context"
	"errors"
	"io"
	"sync"

	"parsleyroute.example/core/process/meter"
)

// stream is a streamed body. If the answer breaks off, it sends an error event
// (server-sent events only) and then fails, so that the server closes the
// connection without the final chunk and the answer does not look whole.
type stream struct {
	src    io.ReadCloser
	id     string
	events bool
	cancel context.CancelFunc
	once   sync.Once
	broken error
	tail   []byte
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) {
	if s.broken == nil {
		n, err := s.src.Read(p)
		if err == nil || errors.Is(err, io.EOF) {
			return n, err
		}
		s.fail(err)
		if n > 0 {
			return n, nil
		}
	}
	if len(s.tail) == 0 {
		return 0, s.broken
	}
	n := copy(p, s.tail)
	s.tail = s.tail[n:]
	return n, nil
}

func (s *stream) fail(err error) {
	r := asRefusal(err)
	meter.Refusal(r.Reason)
	s.broken = r
	if s.events {
		s.tail = append([]byte("event: error\ndata: "), marshal(detail(s.id, r))...)
		s.tail = append(s.tail, "\n\n"...)
	}
}

// Close implements io.Closer. It also runs when the caller has gone.
func (s *stream) Close() error {
	s.once.Do(func() {
		s.cancel()
		_ = s.src.Close()
	})
	return nil
}
