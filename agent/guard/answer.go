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

// answer passes an upstream's answer on to the entry. If it is detached, a
// lost entry does not stop it, and it keeps the body for the record.
type responseSender struct {
	out          *frame.Writer
	detached     bool
	cancel       context.CancelFunc
	disconnected atomic.Bool
	status       uint32
	headers      []*wire.Header
	body         []byte
	truncated    bool
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

// gone reports whether the entry went away and the work was cancelled for it.
func (a *responseSender) canceledByEntry() bool { return a.disconnected.Load() && !a.detached }

// recorded returns the answer as the claim keeps it.
func (a *responseSender) recordedAnswer() *wire.Answer {
	return &wire.Answer{Status: a.status, Headers: a.headers, Body: a.body, Truncated: a.truncated}
}

// ping sends pings until the returned function is called. The first one goes
// out at once and tells the entry that the request was admitted.
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
