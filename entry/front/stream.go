package front

import (
	"context"
	"errors"
	"io"
	"sync"

	"parsleyroute.example/core/process/meter"
)

// responseStream is a streamed body. If the response is interrupted, Read first
// returns an error event (for server-sent events only) and then an error. The
// server then closes the connection without the final chunk, so that the caller
// can see that the response is incomplete.
type responseStream struct {
	src           io.ReadCloser
	id            string
	isEventStream bool
	cancel        context.CancelFunc
	closeOnce     sync.Once
	err           error  // error after which src is not read any more
	errorEvent    []byte // unread part of the error event
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

// fail counts the failure and prepares the error event.
func (s *responseStream) fail(err error) {
	r := asRefusal(err)
	meter.Refusal(r.Reason)
	s.err = r
	if s.isEventStream {
		s.errorEvent = append([]byte("event: error\ndata: "), marshal(newErrorResponse(s.id, r))...)
		s.errorEvent = append(s.errorEvent, "\n\n"...)
	}
}

// Close implements io.Closer. It is also called when the caller disconnects.
func (s *responseStream) Close() error {
	s.closeOnce.Do(func() {
		s.cancel()
		_ = s.src.Close()
	})
	return nil
}
