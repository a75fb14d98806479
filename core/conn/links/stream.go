package links

import (
	"sync"

	"github.com/valyala/fasthttp"

	"parsleyroute.example/core/request/frame"
	"parsleyroute.example/core/wire"
)

// Stream is the response to one dispatch.
type Stream struct {
	link   *Link
	resp   *fasthttp.Response
	reader *frame.Reader
	once   sync.Once
}

func newStream(l *Link, resp *fasthttp.Response, a *wire.Attempt) *Stream {
	return &Stream{link: l, resp: resp, reader: frame.NewReader(resp.BodyStream(), a.GetRequestId(), a.GetNumber())}
}

// Next returns the next frame that is not a ping. Its errors are those of
// frame.Reader. It stores the load reports of the frames in the link, and a ping
// marks the agent as reachable.
func (s *Stream) Next() (*wire.Frame, error) {
	for {
		f, err := s.reader.Next()
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
func (s *Stream) Length() uint64 { return s.reader.Length() }

// Close ends the stream. If it was not read to its end, the connection is
// closed, so that the agent cancels the request. Close may be called while Next
// waits, which makes Next return.
func (s *Stream) Close() error {
	s.once.Do(func() {
		s.reader.Finish()
		_ = s.resp.CloseBodyStream()
		fasthttp.ReleaseResponse(s.resp)
	})
	return nil
}
