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

func (a *responseSender) sendHeader(reply *core.Reply) {
	a.status = uint32(reply.Status)
	a.headers = codec.HeadersToWire(reply.Headers)
	a.handleSendError(a.out.Head(&wire.Head{Status: a.status, Headers: a.headers, Resumable: reply.Resumable}))
}

func (a *responseSender) sendData(p []byte) {
	if a.detached {
		a.appendBody(p)
	}
	if !a.disconnected.Load() {
		a.handleSendError(a.out.Data(p))
	}
}

func (a *responseSender) appendBody(p []byte) {
	if a.truncated = a.truncated || len(a.body)+len(p) > maxRecordedBodySize; a.truncated {
		a.body = nil
		return
	}
	a.body = append(a.body, p...)
}

func (a *responseSender) handleSendError(err error) {
	if err != nil {
		a.handleEntryLoss()
	}
}

func (a *responseSender) handleEntryLoss() {
	a.disconnected.Store(true)
	if !a.detached {
		a.cancel()
	}
}

// canceledByEntry reports whether the request was cancelled because the entry
// disconnected.
func (a *responseSender) canceledByEntry() bool { return a.disconnected.Load() && !a.detached }

// recordedAnswer returns the response as it is recorded in the claim.
func (a *responseSender) recordedAnswer() *wire.Answer {
	return &wire.Answer{Status: a.status, Headers: a.headers, Body: a.body, Truncated: a.truncated}
}

// startPings sends pings until the returned function is called. The first one is
// sent immediately and informs the entry that the request was admitted.
func (a *responseSender) startPings() (stop func()) {
	done := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		t := time.NewTicker(PingInterval)
		defer t.Stop()
		for {
			if !a.disconnected.Load() {
				a.handleSendError(a.out.Ping())
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
