// Package guard handles dispatches in an agent: it admits them up to the limit of
// the upstream, forwards them to the upstream, and streams the responses to the
// entries as frames.
//
// A repeatable request is canceled when its entry disconnects. A claimed request
// always runs to its end, and its outcome is recorded in the ledger and in the
// store.
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
	// PingInterval is the time between pings. Entries consider an agent
	// unreachable after 2 s without a frame.
	PingInterval = 500 * time.Millisecond
	// maxDataFrameSize is the maximum size of the data in a frame in bytes.
	maxDataFrameSize = 32 << 10
	// maxRecordedBodySize is the maximum size in bytes of a response body that is
	// recorded in a claim.
	maxRecordedBodySize = 64 << 10
)

// Recorder writes the outcome of a claimed attempt to the store. It returns
// once the outcome is written or the claim belongs to another attempt.
type Recorder interface {
	Record(ctx context.Context, attempt *wire.Attempt, answer *wire.Answer) error
}

// Handler handles the dispatches for one upstream. Exported fields must be set
// before use.
type Handler struct {
	Upstream string
	Limiter  *ramp.Limiter
	Ledger   *ledger.Ledger
	Engine   core.Engine
	// CacheFeed provides the cache events of the engine that are sent to entries.
	CacheFeed *cache.Feed
	Recorder  Recorder
	Logger    log.Logger
	// BaseContext is the parent context of all requests. It ends after the
	// process has drained, and it bounds claimed requests, which continue after
	// their entry disconnects.
	BaseContext context.Context

	// pendingRecords counts the outcomes that are not yet in the store.
	pendingRecords sync.WaitGroup
}

// Serve handles one dispatch, writes the response frames to w and returns at the end
// of the response. conn is the entry's connection; it is only used to detect that
// the entry disconnects.
func (h *Handler) Serve(conn net.Conn, w *bufio.Writer, d *wire.Dispatch, body []byte) {
	load := func() *wire.Load {
		l := codec.LoadToWire(h.Limiter.Load(d.GetEntry()))
		l.CacheEpoch, l.CacheEvents = h.CacheFeed.NextEvents(d.GetEntry())
		return l
	}
	out := frame.NewWriter(w, d.GetAttempt(), load)
	if d.GetUpstream() != h.Upstream {
		h.refuseUnstarted(out, d, core.NewRefusal(core.ReasonNotFound, "the agent serves another upstream"))
		return
	}
	slot, refusal := h.Limiter.Acquire(d.GetEntry())
	if refusal != nil {
		h.refuseUnstarted(out, d, refusal)
		return
	}
	if isClaimed(d) {
		if refusal := h.Ledger.Begin(d.GetAttempt()); refusal != nil {
			slot.Release(false)
			h.sendRefusal(out, refusal)
			return
		}
	}
	h.run(conn, out, slot, d, body)
}

// WaitRecorded waits until all outcomes are in the store. It returns an error if ctx
// ends before that.
func (h *Handler) WaitRecorded(ctx context.Context) error {
	done := make(chan struct{})
	go func() { h.pendingRecords.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return trace.LimitExceeded("outcomes of claimed requests are not in the store yet")
	}
}

// refuseUnstarted refuses a dispatch that was not started. It records a tombstone
// for a claimed attempt, so that the refused attempt cannot run later.
func (h *Handler) refuseUnstarted(out *frame.Writer, d *wire.Dispatch, refusal *core.Refusal) {
	if isClaimed(d) {
		if state, _ := h.Ledger.RecordRefusal(d.GetAttempt()); state != wire.AttemptState_ATTEMPT_STATE_TOMBSTONE {
			refusal.Execution = core.ExecutionUnknown
		}
	}
	h.sendRefusal(out, refusal)
}

// isClaimed reports whether the dispatch belongs to a claim, which is the case for
// requests that are not repeatable.
func isClaimed(d *wire.Dispatch) bool { return d.GetAttempt().GetKey() != "" }

// run sends the request to the upstream and the response to the entry.
func (h *Handler) run(conn net.Conn, out *frame.Writer, slot *ramp.Slot, d *wire.Dispatch, body []byte) {
	ctx, cancel := context.WithCancel(h.BaseContext)
	defer cancel()
	if d.GetTimeoutMs() > 0 {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(d.GetTimeoutMs())*time.Millisecond)
		defer cancel()
	}
	sender := &responseSender{out: out, detached: isClaimed(d), cancel: cancel}
	go probe.Watch(ctx, conn, sender.handleEntryLoss)
	stop := sender.startPings()
	released := make(chan struct{})
	err := h.call(ctx, sender, slot, d, body, func() { close(released) })
	stop()
	h.finish(slot, released, d, sender, err)
}

// call sends the request to the upstream and forwards the response. It returns nil
// if the response was complete. onRelease is called when the upstream no longer
// processes the request.
func (h *Handler) call(ctx context.Context, sender *responseSender, slot *ramp.Slot, d *wire.Dispatch, body []byte, onRelease func()) error {
	reply, err := h.Engine.Do(ctx, &core.Call{
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
	sender.sendHeader(reply)
	buf := make([]byte, maxDataFrameSize)
	for {
		n, err := reply.Body.Read(buf)
		if n > 0 {
			slot.RecordFirstByte()
			sender.sendData(buf[:n])
		}
		if errors.Is(err, io.EOF) {
			slot.RecordFirstByte()
			return nil
		}
		if err != nil {
			return trace.ConnectionProblem(err, "the response of the upstream was interrupted")
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// releaseSlot releases the slot once released is closed, which means that the
// upstream no longer processes the request. An upstream can continue to run a
// canceled request for some time; releasing the slot earlier would admit one
// request too many.
func releaseSlot(slot *ramp.Slot, released <-chan struct{}, failed bool) {
	select {
	case <-released:
		slot.Release(failed)
	default:
		go func() { <-released; slot.Release(failed) }()
	}
}

// finish releases the slot, records the outcome and sends the last frame.
func (h *Handler) finish(slot *ramp.Slot, released <-chan struct{}, d *wire.Dispatch, sender *responseSender, err error) {
	refusal, isRefusal := core.AsRefusal(err)
	switch {
	case err == nil:
		releaseSlot(slot, released, false)
		if isClaimed(d) {
			h.recordOutcome(d, sender.recordedAnswer())
		}
		if sender.out.Tail() != nil {
			meter.Event("entry_gone")
		}
		return
	case isRefusal && refusal.Execution == core.NotExecuted:
		if refusal.Reason == core.ReasonUpstreamBusy {
			// All requests to the upstream pass through this agent, so the
			// capacity of the upstream is below the limit. Halving the limit
			// instead let a cold upstream receive twice its capacity until five
			// responses had shown this.
			h.Limiter.ResetToCold()
		}
		releaseSlot(slot, released, refusal.Reason == core.ReasonUpstreamBusy)
		if isClaimed(d) {
			h.Ledger.UndoBegin(d.GetAttempt())
		}
	case sender.canceledByEntry() || errors.Is(err, context.Canceled):
		releaseSlot(slot, released, false)
		meter.Event("upstream_cancelled")
	case errors.Is(err, context.DeadlineExceeded):
		// The caller set the deadline, so it says nothing about the upstream. The
		// limiter detects missing responses itself.
		releaseSlot(slot, released, false)
		meter.Event("upstream_deadline")
	default:
		releaseSlot(slot, released, true)
		if trace.IsConnectionProblem(err) {
			// A broken connection may mean that the upstream has restarted.
			h.Limiter.ResetToCold()
		}
		_ = level.Warn(h.Logger).Log("msg", "upstream failed a request", "request", d.GetAttempt().GetRequestId(), "err", err)
	}
	if isClaimed(d) && !(isRefusal && refusal.Execution == core.NotExecuted) {
		// It is unknown whether the upstream ran the request.
		h.recordOutcome(d, nil)
	}
	h.sendRefusal(sender.out, asRefusal(err, refusal))
}

// asRefusal returns the refusal for a failed call. Unless the upstream refused the
// request itself, it is unknown whether the request has run.
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

// sendRefusal counts the refusal and sends it to the entry.
func (h *Handler) sendRefusal(out *frame.Writer, refusal *core.Refusal) {
	meter.Refusal(refusal.Reason)
	if out.Refusal(codec.RefusalToWire(refusal)) != nil {
		meter.Event("entry_gone")
	}
}

// recordOutcome records the outcome in the ledger and, in the background, in the
// store.
func (h *Handler) recordOutcome(d *wire.Dispatch, answer *wire.Answer) {
	h.Ledger.Complete(d.GetAttempt(), answer)
	h.pendingRecords.Add(1)
	go func() {
		defer h.pendingRecords.Done()
		if err := h.Recorder.Record(h.BaseContext, d.GetAttempt(), answer); err != nil {
			_ = level.Error(h.Logger).Log("msg", "outcome not recorded", "request", d.GetAttempt().GetRequestId(), "err", err)
			meter.Event("outcome_lost")
			return
		}
		h.Ledger.MarkRecorded(d.GetAttempt())
	}()
}
