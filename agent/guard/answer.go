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
type answer struct {
	out      *frame.Writer
	detached bool
	cancel   context.CancelFunc
	lost     atomic.Bool
	status   uint32
	headers  []*wire.Header
	body     []byte
	long     bool
}

func (a *answer) head(reply *core.Reply) {
	a.status = uint32(reply.Status)
	a.headers = codec.HeadersToWire(reply.Headers)
	a.sent(a.out.Head(&wire.Head{Status: a.status, Headers: a.headers, Resumable: reply.Resumable}))
}

func (a *answer) data(p []byte) {
	if a.detached {
		a.keep(p)
	}
	if !a.lost.Load() {
		a.sent(a.out.Data(p))
	}
}

func (a *answer) keep(p []byte) {
	if a.long = a.long || len(a.body)+len(p) > recordLimit; a.long {
		a.body = nil
		return
	}
	a.body = append(a.body, p...)
}

func (a *answer) sent(err error) {
	if err != nil {
		a.entryGone()
	}
}

func (a *answer) entryGone() {
	a.lost.Store(true)
	if !a.detached {
		a.cancel()
	}
}

// gone reports whether the entry went away and the work was cancelled for it.
func (a *answer) gone() bool { return a.lost.Load() && !a.detached }

// recorded returns the answer as the claim keeps it.
func (a *answer) recorded() *wire.Answer {
	return &wire.Answer{Status: a.status, Headers: a.headers, Body: a.body, Truncated: a.long}
}

// ping sends pings until the returned function is called. The first one goes
// out at once and tells the entry that the request was admitted.
func (a *answer) ping() (stop func()) {
	done := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		t := time.NewTicker(PingPeriod)
		defer t.Stop()
		for {
			if !a.lost.Load() {
				a.sent(a.out.Ping())
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
