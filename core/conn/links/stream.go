package links

import (
	"sync"

	"github.com/valyala/fasthttp"

	"parsleyroute.example/core/request/frame"
	"parsleyroute.example/core/wire"
)

// Stream is the answer to one dispatch.
type Stream struct {
	link  *Link
	resp  *fasthttp.Response
	reads *frame.Reader
	once  sync.Once
}

func newStream(l *Link, resp *fasthttp.Response, a *wire.Attempt) *Stream {
	return &Stream{link: l, resp: resp, reads: frame.NewReader(resp.BodyStream(), a.GetRequestId(), a.GetNumber())}
}

// Next returns the next frame that is not a ping, with the errors of
// frame.Reader.
func (s *Stream) Next() (*wire.Frame, error) {
	for {
		f, err := s.reads.Next()
		if err != nil {
			return nil, err
		}
		s.link.UpdateLoad(f.GetLoad())
		if f.GetPing() == nil {
			return f, nil
		}
		s.link.MarkReachable()
	}
}

// Length returns the number of body bytes read.
func (s *Stream) Length() uint64 { return s.reads.Length() }

// Close ends the stream. If it has not come to its end, the connection is
// closed, which tells the agent that the answer is no longer wanted. Close may
// be called while Next waits, and ends it.
func (s *Stream) Close() error {
	s.once.Do(func() {
		s.reads.Finish()
		_ = s.resp.CloseBodyStream()
		fasthttp.ReleaseResponse(s.resp)
	})
	return nil
}
