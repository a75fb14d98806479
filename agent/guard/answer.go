package guard

import (
	"context"
	"sync/atomic"
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/core/request/codec"
	"parsleyroute.example/core/request/frame"
	"parsleyroute.example/core/wire"
)

// responseSender sends the response of the upstream to the entry. If detached is
// set, the request continues after the entry disconnects, and the body is kept for
// the record of the claim.
type responseSender struct {
	out          *frame.Writer
	detached     bool
	cancel       context.CancelFunc
	disconnected atomic.Bool // the entry has disconnected
	status       uint32
	headers      []*wire.Header
	body         []byte
	truncated    bool // the body exceeds maxRecordedBodySize and is not kept
}

func (s *responseSender) sendHeader(reply *core.Reply) {
	s.status = uint32(reply.Status)
	s.headers = codec.HeadersToWire(reply.Headers)
	s.handleSendError(s.out.Head(&wire.Head{Status: s.status, Headers: s.headers, Resumable: reply.Resumable}))
}

func (s *responseSender) sendData(p []byte) {
	if s.detached {
		s.appendBody(p)
	}
	if !s.disconnected.Load() {
		s.handleSendError(s.out.Data(p))
	}
}

func (s *responseSender) appendBody(p []byte) {
	if s.truncated = s.truncated || len(s.body)+len(p) > maxRecordedBodySize; s.truncated {
		s.body = nil
		return
	}
	s.body = append(s.body, p...)
}

func (s *responseSender) handleSendError(err error) {
	if err != nil {
		s.handleEntryLoss()
	}
}

func (s *responseSender) handleEntryLoss() {
	s.disconnected.Store(true)
	if !s.detached {
		s.cancel()
	}
}

// canceledByEntry reports whether the request was canceled because the entry
// disconnected.
func (s *responseSender) canceledByEntry() bool { return s.disconnected.Load() && !s.detached }

// recordedAnswer returns the response as it is recorded in the claim.
func (s *responseSender) recordedAnswer() *wire.Answer {
	return &wire.Answer{Status: s.status, Headers: s.headers, Body: s.body, Truncated: s.truncated}
}

// startPings sends pings until the returned function is called. The first one is
// sent immediately and informs the entry that the request was admitted.
func (s *responseSender) startPings() (stop func()) {
	done := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		t := time.NewTicker(PingInterval)
		defer t.Stop()
		for {
			if !s.disconnected.Load() {
				s.handleSendError(s.out.Ping())
			}
			select {
			case <-done:
				return
			case <-t.C:
			}
		}
	}()
	return func() { close(done); <-stopped }
}
