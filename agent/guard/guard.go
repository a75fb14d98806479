// Package guard is the agent's part of a request: it admits dispatches at the
// upstream's limit, runs them, and streams the answer as frames.
//
// A repeatable request is cancelled when its entry goes away. A claimed
// request runs to its end whatever happens to the entry, and its outcome is
// recorded in the ledger and in the store.
package guard

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/gravitational/trace"

	"parsleyroute.example/agent/cache"
	"parsleyroute.example/core"
	"parsleyroute.example/core/conn/probe"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/process/ramp"
	"parsleyroute.example/core/request/codec"
	"parsleyroute.example/core/request/frame"
	"parsleyroute.example/core/request/ledger"
	"parsleyroute.example/core/wire"
)

const (
	// PingPeriod is the time between pings while nothing else is sent. An
	// entry takes 2 s of silence for the loss of the agent.
	PingPeriod = 500 * time.Millisecond
	// chunk is the greatest size of a data frame in bytes.
	chunk = 32 << 10
	// recordLimit is the greatest body that a claim records, in bytes.
	recordLimit = 64 << 10
)

// Recorder writes the outcome of a claimed attempt to the store. It returns
// once the outcome is written or the claim belongs to another attempt.
type Recorder interface {
	Record(ctx context.Context, attempt *wire.Attempt, answer *wire.Answer) error
}

// Guard runs dispatches at one upstream. Exported fields are set before use.
type Guard struct {
	Upstream string
	Gate     *ramp.Limiter
	Ledger   *ledger.Ledger
	Engine   core.Engine
	// Cache has the engine's cache events for entries.
	Cache    *cache.Feed
	Recorder Recorder
	Logger   log.Logger
	// Base ends when the process ends; it bounds claimed requests.
	Base context.Context

	// recording counts the outcomes that are not yet in the store.
	recording sync.WaitGroup
}

// Serve answers one dispatch on w and returns when the answer has ended. conn
// is the entry's connection; it is only probed.
func (g *Guard) Serve(conn net.Conn, w *bufio.Writer, d *wire.Dispatch, body []byte) {
	load := func() *wire.Load {
		l := codec.LoadToWire(g.Gate.Load(d.GetEntry()))
		l.CacheEpoch, l.CacheEvents = g.Cache.Since(d.GetEntry())
		return l
	}
	out := frame.NewWriter(w, d.GetAttempt(), load)
	if d.GetUpstream() != g.Upstream {
		g.reject(out, d, core.Refuse(core.ReasonNotFound, "the agent serves another upstream"))
		return
	}
	slot, refusal := g.Gate.Acquire(d.GetEntry())
	if refusal != nil {
		g.reject(out, d, refusal)
		return
	}
	if claimed(d) {
		if refusal := g.Ledger.Begin(d.GetAttempt()); refusal != nil {
			slot.Release(false)
			g.refuse(out, refusal)
			return
		}
	}
	g.run(conn, out, slot, d, body)
}

// Close waits until all outcomes are in the store or ctx ends.
func (g *Guard) Close(ctx context.Context) error {
	done := make(chan struct{})
	go func() { g.recording.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return trace.LimitExceeded("outcomes of claimed requests are not in the store yet")
	}
}

// reject refuses a dispatch that was not begun. A claimed attempt becomes a
// tombstone, so that the refusal stays true.
func (g *Guard) reject(out *frame.Writer, d *wire.Dispatch, refusal *core.Refusal) {
	if claimed(d) {
		if state, _ := g.Ledger.Refuse(d.GetAttempt()); state != wire.AttemptState_ATTEMPT_STATE_TOMBSTONE {
			refusal.Run = core.RunUnknown
		}
	}
	g.refuse(out, refusal)
}

func claimed(d *wire.Dispatch) bool { return d.GetAttempt().GetKey() != "" }

// run sends the request to the upstream and its answer to the entry.
func (g *Guard) run(conn net.Conn, out *frame.Writer, slot *ramp.Slot, d *wire.Dispatch, body []byte) {
	ctx, cancel := context.WithCancel(g.Base)
	defer cancel()
	if d.GetTimeoutMs() > 0 {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(d.GetTimeoutMs())*time.Millisecond)
		defer cancel()
	}
	a := &answer{out: out, detached: claimed(d), cancel: cancel}
	go probe.Watch(ctx, conn, a.entryGone)
	stop := a.ping()
	left := make(chan struct{})
	err := g.call(ctx, a, slot, d, body, func() { close(left) })
	stop()
	g.settle(slot, left, d, a, err)
}

// call runs the request and passes the answer on. It returns nil if the
// upstream's answer was whole. left is called when the upstream has let go of
// the request.
func (g *Guard) call(ctx context.Context, a *answer, slot *ramp.Slot, d *wire.Dispatch, body []byte, left func()) error {
	reply, err := g.Engine.Do(ctx, &core.Call{
		RequestID:      d.GetAttempt().GetRequestId(),
		Method:         d.GetMethod(),
		Path:           d.GetPath(),
		Headers:        codec.HeadersFromWire(d.GetHeaders()),
		Body:           body,
		Timeout:        time.Duration(d.GetTimeoutMs()) * time.Millisecond,
		Priority:       int(d.GetPriority()),
		IdempotencyKey: d.GetIdempotencyKey(),
		Offset:         d.GetResumeOffset(),
		Left:           left,
	})
	if err != nil {
		return err
	}
	defer func() { _ = reply.Body.Close() }()
	a.head(reply)
	buf := make([]byte, chunk)
	for {
		n, err := reply.Body.Read(buf)
		if n > 0 {
			slot.RecordFirstByte()
			a.data(buf[:n])
		}
		if errors.Is(err, io.EOF) {
			slot.RecordFirstByte()
			return nil
		}
		if err != nil {
			return trace.ConnectionProblem(err, "the upstream's answer was cut")
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// free gives the slot back once the upstream has let go of the request: it can
// run a cancelled request for some time after, and a slot that is free at once
// would let one request too many in.
func free(slot *ramp.Slot, left <-chan struct{}, failed bool) {
	select {
	case <-left:
		slot.Release(failed)
	default:
		go func() { <-left; slot.Release(failed) }()
	}
}

// settle frees the slot, records the outcome and ends the frames.
func (g *Guard) settle(slot *ramp.Slot, left <-chan struct{}, d *wire.Dispatch, a *answer, err error) {
	refusal, isRefusal := core.AsRefusal(err)
	switch {
	case err == nil:
		free(slot, left, false)
		if claimed(d) {
			g.record(d, a.recorded())
		}
		if a.out.Tail() != nil {
			meter.Event("entry_gone")
		}
		return
	case isRefusal && refusal.Run == core.RunNo:
		if refusal.Reason == core.ReasonUpstreamBusy {
			// The agent is the only way to the upstream, so it bears less than
			// the limit. Halving the limit let a cold upstream get twice what
			// it bears for as long as it took five answers to show it.
			g.Gate.ResetToCold()
		}
		free(slot, left, refusal.Reason == core.ReasonUpstreamBusy)
		if claimed(d) {
			g.Ledger.Forget(d.GetAttempt())
		}
	case a.gone() || errors.Is(err, context.Canceled):
		free(slot, left, false)
		meter.Event("upstream_cancelled")
	case errors.Is(err, context.DeadlineExceeded):
		// The deadline is the caller's and says nothing about the upstream; the
		// gate sees for itself when answers do not come.
		free(slot, left, false)
		meter.Event("upstream_deadline")
	default:
		free(slot, left, true)
		if trace.IsConnectionProblem(err) {
			// A broken connection may mean that the upstream has restarted.
			g.Gate.ResetToCold()
		}
		_ = level.Warn(g.Logger).Log("msg", "upstream failed a request", "request", d.GetAttempt().GetRequestId(), "err", err)
	}
	if claimed(d) && !(isRefusal && refusal.Run == core.RunNo) {
		// Nobody can tell whether the upstream ran it.
		g.record(d, nil)
	}
	g.refuse(a.out, asRefusal(err, refusal))
}

// asRefusal describes a failed call. Without the upstream's word that it did
// not run the request, it is unknown whether it did.
func asRefusal(err error, refusal *core.Refusal) *core.Refusal {
	switch {
	case refusal != nil:
		return refusal
	case errors.Is(err, context.DeadlineExceeded):
		return &core.Refusal{Reason: core.ReasonDeadline, Run: core.RunUnknown, Message: "the deadline passed at the upstream"}
	default:
		return &core.Refusal{Reason: core.ReasonUpstreamError, Run: core.RunUnknown, Message: "the upstream failed the request"}
	}
}

func (g *Guard) refuse(out *frame.Writer, refusal *core.Refusal) {
	meter.Refusal(refusal.Reason)
	if out.Refusal(codec.RefusalToWire(refusal)) != nil {
		meter.Event("entry_gone")
	}
}

// record puts the outcome into the ledger and, in the background, the store.
func (g *Guard) record(d *wire.Dispatch, answer *wire.Answer) {
	g.Ledger.Done(d.GetAttempt(), answer)
	g.recording.Add(1)
	go func() {
		defer g.recording.Done()
		if err := g.Recorder.Record(g.Base, d.GetAttempt(), answer); err != nil {
			_ = level.Error(g.Logger).Log("msg", "outcome not recorded", "request", d.GetAttempt().GetRequestId(), "err", err)
			meter.Event("outcome_lost")
			return
		}
		g.Ledger.Recorded(d.GetAttempt())
	}()
}
