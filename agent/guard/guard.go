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
	PingInterval = 500 * time.Millisecond
	// chunk is the greatest size of a data frame in bytes.
	maxDataFrameSize = 32 << 10
	// recordLimit is the greatest body that a claim records, in bytes.
	maxRecordedBodySize = 64 << 10
)

// Recorder writes the outcome of a claimed attempt to the store. It returns
// once the outcome is written or the claim belongs to another attempt.
type Recorder interface {
	Record(ctx context.Context, attempt *wire.Attempt, answer *wire.Answer) error
}

// Guard runs dispatches at one upstream. Exported fields are set before use.
type Handler struct {
	Upstream string
	Gate     *ramp.Gate
	Ledger   *ledger.Ledger
	Engine   core.Engine
	// Cache has the engine's cache events for entries.
	CacheFeed *cache.Feed
	Recorder  Recorder
	Logger    log.Logger
	// Base ends when the process ends; it bounds claimed requests.
	BaseContext context.Context

	// recording counts the outcomes that are not yet in the store.
	pendingRecords sync.WaitGroup
}

// Serve answers one dispatch on w and returns when the answer has ended. conn
// is the entry's connection; it is only probed.
func (g *Handler) Serve(conn net.Conn, w *bufio.Writer, d *wire.Dispatch, body []byte) {
	load := func() *wire.Load {
		l := codec.LoadToWire(g.Gate.Load(d.GetEntry()))
		l.CacheEpoch, l.CacheEvents = g.CacheFeed.NextEvents(d.GetEntry())
		return l
	}
	out := frame.NewWriter(w, d.GetAttempt(), load)
	if d.GetUpstream() != g.Upstream {
		g.refuseUnstarted(out, d, core.NewRefusal(core.ReasonNotFound, "the agent serves another upstream"))
		return
	}
	slot, refusal := g.Gate.Acquire(d.GetEntry())
	if refusal != nil {
		g.refuseUnstarted(out, d, refusal)
		return
	}
	if isClaimed(d) {
		if refusal := g.Ledger.Begin(d.GetAttempt()); refusal != nil {
			slot.Release(false)
			g.sendRefusal(out, refusal)
			return
		}
	}
	g.run(conn, out, slot, d, body)
}

// Close waits until all outcomes are in the store or ctx ends.
func (g *Handler) WaitRecorded(ctx context.Context) error {
	done := make(chan struct{})
	go func() { g.pendingRecords.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return trace.LimitExceeded("outcomes of claimed requests are not in the store yet")
	}
}

// reject refuses a dispatch that was not begun. A claimed attempt becomes a
// tombstone, so that the refusal stays true.
func (g *Handler) refuseUnstarted(out *frame.Writer, d *wire.Dispatch, refusal *core.Refusal) {
	if isClaimed(d) {
		if state, _ := g.Ledger.RecordRefusal(d.GetAttempt()); state != wire.AttemptState_ATTEMPT_STATE_TOMBSTONE {
			refusal.Execution = core.ExecutionUnknown
		}
	}
	g.sendRefusal(out, refusal)
}

func isClaimed(d *wire.Dispatch) bool { return d.GetAttempt().GetKey() != "" }

// run sends the request to the upstream and its answer to the entry.
func (g *Handler) run(conn net.Conn, out *frame.Writer, slot *ramp.Slot, d *wire.Dispatch, body []byte) {
	ctx, cancel := context.WithCancel(g.BaseContext)
	defer cancel()
	if d.GetTimeoutMs() > 0 {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(d.GetTimeoutMs())*time.Millisecond)
		defer cancel()
	}
	a := &responseSender{out: out, detached: isClaimed(d), cancel: cancel}
	go probe.Watch(ctx, conn, a.handleEntryLoss)
	stop := a.startPings()
	released := make(chan struct{})
	err := g.call(ctx, a, slot, d, body, func() { close(released) })
	stop()
	g.finish(slot, released, d, a, err)
}

// call runs the request and passes the answer on. It returns nil if the
// upstream's answer was whole. left is called when the upstream has let go of
// the request.
func (g *Handler) call(ctx context.Context, a *responseSender, slot *ramp.Slot, d *wire.Dispatch, body []byte, onRelease func()) error {
	reply, err := g.Engine.Do(ctx, &core.Call{
		RequestID:      d.GetAttempt().GetRequestId(),
		Method:         d.GetMethod(),
		Path:           d.GetPath(),
		Headers:        codec.HeadersFromWire(d.GetHeaders()),
		Body:           body,
		Timeout:        time.Duration(d.GetTimeoutMs()) * time.Millisecond,
		Priority:       int(d.GetPriority()),
		IdempotencyKey: d.GetIdempotencyKey(),
		ResumeOffset:   d.GetResumeOffset(),
		OnRelease:      onRelease,
	})
	if err != nil {
		return err
	}
	defer func() { _ = reply.Body.Close() }()
	a.sendHeader(reply)
	buf := make([]byte, maxDataFrameSize)
	for {
		n, err := reply.Body.Read(buf)
		if n > 0 {
			slot.FirstByte()
			a.sendData(buf[:n])
		}
		if errors.Is(err, io.EOF) {
			slot.FirstByte()
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
func releaseSlot(slot *ramp.Slot, released <-chan struct{}, failed bool) {
	select {
	case <-released:
		slot.Release(failed)
	default:
		go func() { <-released; slot.Release(failed) }()
	}
}

// settle frees the slot, records the outcome and ends the frames.
func (g *Handler) finish(slot *ramp.Slot, released <-chan struct{}, d *wire.Dispatch, a *responseSender, err error) {
	refusal, isRefusal := core.AsRefusal(err)
	switch {
	case err == nil:
		releaseSlot(slot, released, false)
		if isClaimed(d) {
			g.recordOutcome(d, a.recordedAnswer())
		}
		if a.out.Tail() != nil {
			meter.Event("entry_gone")
		}
		return
	case isRefusal && refusal.Execution == core.NotExecuted:
		if refusal.Reason == core.ReasonUpstreamBusy {
			// The agent is the only way to the upstream, so it bears less than
			// the limit. Halving the limit let a cold upstream get twice what
			// it bears for as long as it took five answers to show it.
			g.Gate.Cool()
		}
		releaseSlot(slot, released, refusal.Reason == core.ReasonUpstreamBusy)
		if isClaimed(d) {
			g.Ledger.UndoBegin(d.GetAttempt())
		}
	case a.canceledByEntry() || errors.Is(err, context.Canceled):
		releaseSlot(slot, released, false)
		meter.Event("upstream_cancelled")
	case errors.Is(err, context.DeadlineExceeded):
		// The deadline is the caller's and says nothing about the upstream; the
		// gate sees for itself when answers do not come.
		releaseSlot(slot, released, false)
		meter.Event("upstream_deadline")
	default:
		releaseSlot(slot, released, true)
		if trace.IsConnectionProblem(err) {
			// A broken connection may mean that the upstream has restarted.
			g.Gate.Cool()
		}
		_ = level.Warn(g.Logger).Log("msg", "upstream failed a request", "request", d.GetAttempt().GetRequestId(), "err", err)
	}
	if isClaimed(d) && !(isRefusal && refusal.Execution == core.NotExecuted) {
		// Nobody can tell whether the upstream ran it.
		g.recordOutcome(d, nil)
	}
	g.sendRefusal(a.out, asRefusal(err, refusal))
}

// asRefusal describes a failed call. Without the upstream's word that it did
// not run the request, it is unknown whether it did.
func asRefusal(err error, refusal *core.Refusal) *core.Refusal {
	switch {
	case refusal != nil:
		return refusal
	case errors.Is(err, context.DeadlineExceeded):
		return &core.Refusal{Reason: core.ReasonDeadline, Execution: core.ExecutionUnknown, Message: "the deadline passed at the upstream"}
	default:
		return &core.Refusal{Reason: core.ReasonUpstreamError, Execution: core.ExecutionUnknown, Message: "the upstream failed the request"}
	}
}

func (g *Handler) sendRefusal(out *frame.Writer, refusal *core.Refusal) {
	meter.Refusal(refusal.Reason)
	if out.Refusal(codec.RefusalToWire(refusal)) != nil {
		meter.Event("entry_gone")
	}
}

// record puts the outcome into the ledger and, in the background, the store.
func (g *Handler) recordOutcome(d *wire.Dispatch, answer *wire.Answer) {
	g.Ledger.Complete(d.GetAttempt(), answer)
	g.pendingRecords.Add(1)
	go func() {
		defer g.pendingRecords.Done()
		if err := g.Recorder.Record(g.BaseContext, d.GetAttempt(), answer); err != nil {
			_ = level.Error(g.Logger).Log("msg", "outcome not recorded", "request", d.GetAttempt().GetRequestId(), "err", err)
			meter.Event("outcome_lost")
			return
		}
		g.Ledger.MarkRecorded(d.GetAttempt())
	}()
}
