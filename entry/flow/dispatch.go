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

// bufferLimit is the greatest body in bytes that is held back until it is
// whole. Longer bodies and event streams are passed on as they come.
const bufferLimit = 256 << 10

// dispatch sends the request to the place and returns once the answer is whole
// or its first byte may go to the caller. change, if set, completes the
// dispatch. On success the place is released when the answer ends.
func (r *Router) dispatch(ctx context.Context, t *trip, p *place, change func(*wire.Dispatch)) (*Answer, error) {
	d := r.message(t, p)
	if change != nil {
		change(d)
	}
	s, err := p.link.Dispatch(d, t.req.Body)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	answer, err := r.receive(ctx, t, p, s, stop)
	if err != nil {
		stop()
		_ = s.Close()
		return nil, err
	}
	return answer, nil
}

// receive reads the head and the body's beginning.
func (r *Router) receive(ctx context.Context, t *trip, p *place, s *links.Stream, stop func() bool) (*Answer, error) {
	head, err := next(s)
	if err != nil {
		return nil, err
	}
	if head.GetHead() == nil {
		return nil, &core.Refusal{Reason: core.ReasonCorruptAnswer, Run: core.RunUnknown, Message: "the answer has no head"}
	}
	p.link.MarkReachable()
	a := &Answer{Status: int(head.GetHead().GetStatus()), Headers: codec.HeadersFromWire(head.GetHead().GetHeaders())}
	b := &body{ctx: ctx, router: r, trip: t, place: p, stream: s, stop: stop}
	b.resumable = t.req.Repeatable && head.GetHead().GetResumable()
	if isStream(a.Headers) {
		if err := b.fill(); err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
		a.Stream = b
		return a, nil
	}
	return a, b.collect(a)
}

// next returns the next frame, and a refusal frame as an error.
func next(s *links.Stream) (*wire.Frame, error) {
	f, err := s.Next()
	if err != nil {
		return nil, err
	}
	if refusal := f.GetRefusal(); refusal != nil {
		return nil, codec.RefusalFromWire(refusal)
	}
	return f, nil
}

func isStream(headers []core.Header) bool {
	for _, h := range headers {
		if strings.EqualFold(h.Name, "Content-Type") {
			return strings.HasPrefix(h.Value, "text/event-stream")
		}
	}
	return false
}

// resumePause is doubled before each further try to resume a stream; the three
// tries span 600 ms.
const resumePause = 100 * time.Millisecond

// body reads the answer's data for the caller. A stream that breaks is resumed
// as long as it makes progress between the breaks.
type body struct {
	// ctx ends when the caller goes away.
	ctx       context.Context
	router    *Router
	trip      *trip
	place     *place
	stream    *links.Stream
	stop      func() bool
	resumable bool
	// offset is the number of bytes before the present stream.
	offset uint64
	rest   []byte
	err    error
	// resumes counts the tries to resume since the last progress.
	resumes int
}

// fill reads until there is data, the end, or an error.
func (b *body) fill() error {
	for len(b.rest) == 0 && b.err == nil {
		f, err := next(b.stream)
		switch {
		case err != nil:
			b.err = err
		case f.GetTail() != nil:
			b.err = io.EOF
		default:
			b.rest = f.GetData()
		}
	}
	if len(b.rest) > 0 {
		return nil
	}
	return b.err
}

// collect reads the whole body, or leaves a long one to the stream.
func (b *body) collect(a *Answer) error {
	for {
		err := b.fill()
		if errors.Is(err, io.EOF) {
			return b.Close()
		}
		if err != nil {
			return err
		}
		a.Body = append(a.Body, b.rest...)
		b.rest = nil
		if len(a.Body) > bufferLimit {
			b.rest, a.Body = a.Body, nil
			a.Stream = b
			return nil
		}
	}
}

// Read implements io.Reader. Its errors other than io.EOF are refusals.
func (b *body) Read(p []byte) (int, error) {
	for {
		err := b.fill()
		if err == nil {
			n := copy(p, b.rest)
			b.rest = b.rest[n:]
			return n, nil
		}
		if errors.Is(err, io.EOF) {
			return 0, io.EOF
		}
		if !b.resume() {
			return 0, broken(err)
		}
	}
}

// broken is the error of an answer that ended early. The upstream had begun to
// answer, so the request was run.
func broken(err error) *core.Refusal {
	refusal, ok := core.AsRefusal(err)
	if !ok {
		return &core.Refusal{Reason: core.ReasonUpstreamLost, Run: core.RunYes, Message: "the answer broke off"}
	}
	c := *refusal
	c.Run = core.RunYes
	return &c
}

// resume asks the same upstream for the rest of the answer. It tries again
// after a pause, because a connection that has just broken can often not be
// made again at once, and the agent may still hold the place of the old one.
func (b *body) resume() bool {
	if !b.resumable || b.ctx.Err() != nil || trace.IsBadParameter(b.err) {
		return false
	}
	if refusal, ok := core.AsRefusal(b.err); ok && refusal.Reason == core.ReasonCorruptAnswer {
		return false
	}
	if b.stream.Length() > 0 {
		b.resumes = 0
	}
	b.offset += b.stream.Length()
	_ = b.stream.Close()
	for ; b.resumes < maxAttempts; b.resumes++ {
		if b.resumes > 0 && b.router.Clock.Sleep(b.ctx, resumePause<<b.resumes) != nil {
			return false
		}
		if b.reopen() {
			b.resumes++
			meter.Retry(core.ReasonStreamBroken)
			return true
		}
	}
	return false
}

// reopen makes one try to resume the stream.
func (b *body) reopen() bool {
	d := b.router.message(b.trip, b.place)
	d.ResumeOffset = b.offset
	s, err := b.place.link.Dispatch(d, b.trip.req.Body)
	if err != nil {
		return false
	}
	if head, err := next(s); err != nil || head.GetHead() == nil {
		_ = s.Close()
		return false
	}
	b.stop()
	b.stop = context.AfterFunc(b.ctx, func() { _ = s.Close() })
	b.stream, b.err = s, nil
	return true
}

// Close ends the answer and gives its place back.
func (b *body) Close() error {
	b.stop()
	err := b.stream.Close()
	b.place.link.ClearFull()
	b.place.release()
	return err
}
