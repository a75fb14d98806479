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
type responseStream struct {
	src           io.ReadCloser
	id            string
	isEventStream bool
	cancel        context.CancelFunc
	closeOnce     sync.Once
	err           error
	errorEvent    []byte
}

// Read implements io.Reader.
func (s *responseStream) Read(p []byte) (int, error) {
	if s.err == nil {
		n, err := s.src.Read(p)
		if err == nil || errors.Is(err, io.EOF) {
			return n, err
		}
		s.fail(err)
		if n > 0 {
			return n, nil
		}
	}
	if len(s.errorEvent) == 0 {
		return 0, s.err
	}
	n := copy(p, s.errorEvent)
	s.errorEvent = s.errorEvent[n:]
	return n, nil
}

func (s *responseStream) fail(err error) {
	r := asRefusal(err)
	meter.Refusal(r.Reason)
	s.err = r
	if s.isEventStream {
		s.errorEvent = append([]byte("event: error\ndata: "), marshal(newErrorResponse(s.id, r))...)
		s.errorEvent = append(s.errorEvent, "\n\n"...)
	}
}

// Close implements io.Closer. It also runs when the caller has gone.
func (s *responseStream) Close() error {
	s.closeOnce.Do(func() {
		s.cancel()
		_ = s.src.Close()
	})
	return nil
}
