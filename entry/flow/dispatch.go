package flow

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/conn/links"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/request/codec"
	"parsleyroute.example/core/wire"
)

// maxBufferedBody is the maximum size in bytes of a body that is buffered until it
// is complete. Longer bodies and event streams are streamed to the caller.
const maxBufferedBody = 256 << 10

// dispatch sends the request to the upstream of the slot. It returns when the
// response is complete or can be streamed to the caller. modify, if not nil, is
// called on the dispatch message before it is sent. On success the slot is
// released at the end of the response; on an error the caller releases it.
func (r *Router) dispatch(ctx context.Context, t *transaction, slot *upstreamSlot, modify func(*wire.Dispatch)) (*Response, error) {
	d := r.newDispatch(t, slot)
	if modify != nil {
		modify(d)
	}
	s, err := slot.link.Dispatch(d, t.req.Body)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	resp, err := r.receive(ctx, t, slot, s, stop)
	if err != nil {
		stop()
		_ = s.Close()
		return nil, err
	}
	return resp, nil
}

// receive reads the response header and the body, or the first part of a body
// that is streamed.
func (r *Router) receive(ctx context.Context, t *transaction, slot *upstreamSlot, s *links.Stream, stop func() bool) (*Response, error) {
	first, err := nextFrame(s)
	if err != nil {
		return nil, err
	}
	if first.GetHead() == nil {
		return nil, &core.Refusal{Reason: core.ReasonCorruptAnswer, Execution: core.ExecutionUnknown, Message: "the response has no header"}
	}
	slot.link.MarkReachable()
	resp := &Response{Status: int(first.GetHead().GetStatus()), Headers: codec.HeadersFromWire(first.GetHead().GetHeaders())}
	b := &responseBody{ctx: ctx, router: r, tx: t, slot: slot, stream: s, stop: stop}
	b.resumable = t.req.Repeatable && first.GetHead().GetResumable()
	if isEventStream(resp.Headers) {
		if err := b.fill(); err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
		resp.Stream = b
		return resp, nil
	}
	return resp, b.bufferOrStream(resp)
}

// nextFrame returns the next frame. It returns a refusal frame as an error.
func nextFrame(s *links.Stream) (*wire.Frame, error) {
	f, err := s.Next()
	if err != nil {
		return nil, err
	}
	if refusal := f.GetRefusal(); refusal != nil {
		return nil, codec.RefusalFromWire(refusal)
	}
	return f, nil
}

func isEventStream(headers []core.Header) bool {
	for _, h := range headers {
		if strings.EqualFold(h.Name, "Content-Type") {
			return strings.HasPrefix(h.Value, "text/event-stream")
		}
	}
	return false
}

// resumeDelay is the unit of the delays between attempts to resume a stream. The
// second attempt is delayed by twice and the third by four times resumeDelay, so
// the three attempts (maxAttempts) span 600 ms.
const resumeDelay = 100 * time.Millisecond

// responseBody reads the body of the response from the agent. An interrupted
// stream is resumed; the number of consecutive attempts without new data is
// limited.
type responseBody struct {
	// ctx ends when the caller disconnects.
	ctx    context.Context
	router *Router
	tx     *transaction
	slot   *upstreamSlot
	stream *links.Stream
	// stop ends the wait for the end of ctx, at which the stream is closed.
	stop      func() bool
	resumable bool
	// offset is the number of body bytes received before the current stream.
	offset uint64
	unread []byte
	err    error
	// resumeAttempts counts the attempts since data was last received.
	resumeAttempts int
}

// fill reads frames until unread is not empty, and returns io.EOF at the end of
// the body.
func (b *responseBody) fill() error {
	for len(b.unread) == 0 && b.err == nil {
		f, err := nextFrame(b.stream)
		switch {
		case err != nil:
			b.err = err
		case f.GetTail() != nil:
			b.err = io.EOF
		default:
			b.unread = f.GetData()
		}
	}
	if len(b.unread) > 0 {
		return nil
	}
	return b.err
}

// bufferOrStream reads the complete body into resp.Body. If the body exceeds
// maxBufferedBody, it sets resp.Stream instead.
func (b *responseBody) bufferOrStream(resp *Response) error {
	for {
		err := b.fill()
		if errors.Is(err, io.EOF) {
			return b.Close()
		}
		if err != nil {
			return err
		}
		resp.Body = append(resp.Body, b.unread...)
		b.unread = nil
		if len(resp.Body) > maxBufferedBody {
			b.unread, resp.Body = resp.Body, nil
			resp.Stream = b
			return nil
		}
	}
}

// Read implements io.Reader. All errors except io.EOF are refusals.
func (b *responseBody) Read(p []byte) (int, error) {
	for {
		err := b.fill()
		if err == nil {
			n := copy(p, b.unread)
			b.unread = b.unread[n:]
			return n, nil
		}
		if errors.Is(err, io.EOF) {
			return 0, io.EOF
		}
		if !b.resume() {
			return 0, interruptedRefusal(err)
		}
	}
}

// interruptedRefusal returns the refusal for an interrupted response. The upstream
// had started to respond, so the request has run.
func interruptedRefusal(err error) *core.Refusal {
	refusal, ok := core.AsRefusal(err)
	if !ok {
		return &core.Refusal{Reason: core.ReasonUpstreamLost, Execution: core.Executed, Message: "the response was interrupted"}
	}
	c := *refusal
	c.Execution = core.Executed
	return &c
}

// resume requests the rest of the response from the same upstream. It retries
// after a delay, because reconnecting often fails right after a connection has
// broken, and the agent may not have released the slot of the old stream yet.
func (b *responseBody) resume() bool {
	if !b.resumable || b.ctx.Err() != nil || trace.IsBadParameter(b.err) {
		return false
	}
	if refusal, ok := core.AsRefusal(b.err); ok && refusal.Reason == core.ReasonCorruptAnswer {
		return false
	}
	if b.stream.Length() > 0 {
		b.resumeAttempts = 0
	}
	b.offset += b.stream.Length()
	_ = b.stream.Close()
	for ; b.resumeAttempts < maxAttempts; b.resumeAttempts++ {
		if b.resumeAttempts > 0 && b.router.Clock.Sleep(b.ctx, resumeDelay<<b.resumeAttempts) != nil {
			return false
		}
		if b.tryResume() {
			b.resumeAttempts++
			meter.Retry(core.ReasonStreamBroken)
			return true
		}
	}
	return false
}

// tryResume makes one attempt to resume the stream.
func (b *responseBody) tryResume() bool {
	d := b.router.newDispatch(b.tx, b.slot)
	d.ResumeOffset = b.offset
	s, err := b.slot.link.Dispatch(d, b.tx.req.Body)
	if err != nil {
		return false
	}
	if first, err := nextFrame(s); err != nil || first.GetHead() == nil {
		_ = s.Close()
		return false
	}
	b.stop()
	b.stop = context.AfterFunc(b.ctx, func() { _ = s.Close() })
	b.stream, b.err = s, nil
	return true
}

// Close closes the stream and releases the slot.
func (b *responseBody) Close() error {
	b.stop()
	err := b.stream.Close()
	b.slot.link.ClearFull()
	b.slot.release()
	return err
}
