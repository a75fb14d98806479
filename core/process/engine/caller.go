package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"parsleyroute.example/core"
	"parsleyroute.example/core/conn/rest"
)

// caller makes calls on a pool of slots.
type caller struct {
	mu   sync.Mutex
	free []*slot
}

// do runs a call at addr.
func (c *caller) do(ctx context.Context, addr netip.AddrPort, call *core.Call) (*core.Reply, error) {
	left := call.Left
	if left == nil {
		left = func() {}
	}
	if !strings.HasPrefix(call.Path, "/") {
		left()
		return nil, core.Refuse(core.ReasonBadRequest, "the path of the call does not begin with a slash")
	}
	if ctx.Err() != nil {
		left()
		return nil, core.Refuse(core.ReasonCanceled, "the call was given up before it was sent")
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	fill(req, addr, call)
	s := c.take(addr)
	stop := context.AfterFunc(ctx, s.interrupt)
	resp := fasthttp.AcquireResponse()
	if err := s.client.Do(req, resp); err != nil {
		stop()
		s.close()
		s.left(left)
		if !s.sent() {
			return nil, &core.Refusal{Reason: core.ReasonUpstreamLost, Run: core.RunNo, Message: "no connection to the upstream: " + err.Error()}
		}
		return nil, problem(ctx, err)
	}
	b := &body{caller: c, slot: s, ctx: ctx, stop: stop, left: left, resp: resp, stream: resp.BodyStream()}
	if b.stream == nil {
		b.whole.Store(true)
	} else if resp.Header.ContentLength() == -2 {
		// Without a length or chunks, a cut answer looks like a whole one.
		_ = b.Close()
		return nil, trace.ConnectionProblem(nil, "the upstream's answer has no length")
	}
	reply := &core.Reply{Status: resp.StatusCode(), Body: b}
	for k, v := range resp.Header.All() {
		name := string(k)
		switch {
		case strings.EqualFold(name, HeaderResumable):
			reply.Resumable = string(v) == "true"
		case !hop(name):
			reply.Headers = append(reply.Headers, core.Header{Name: name, Value: string(v)})
		}
	}
	return reply, nil
}

func fill(req *fasthttp.Request, addr netip.AddrPort, call *core.Call) {
	req.SetRequestURI("http://" + addr.String() + call.Path)
	req.Header.SetMethod(call.Method)
	for _, h := range call.Headers {
		if !hop(h.Name) {
			req.Header.Add(h.Name, h.Value)
		}
	}
	req.Header.Set(HeaderRequestID, call.RequestID)
	req.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	if call.IdempotencyKey != "" {
		req.Header.Set(HeaderIdempotencyKey, call.IdempotencyKey)
	}
	if call.Offset > 0 {
		req.Header.Set(HeaderResumeOffset, strconv.FormatUint(call.Offset, 10))
	}
	if call.Timeout > 0 {
		req.Header.Set(HeaderDeadlineMs, strconv.FormatInt(call.Timeout.Milliseconds(), 10))
		req.SetTimeout(call.Timeout)
	}
	if len(call.Body) > 0 {
		req.SetBodyRaw(call.Body)
	}
}

// hop reports whether a header belongs to one connection or is set by the HTTP
// library (RFC 9110, section 7.6.1).
func hop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "host", "content-length":
		return true
	}
	return false
}

// problem is the failure of a call that the upstream may have run.
func problem(ctx context.Context, err error) error {
	switch {
	case ctx.Err() != nil:
		err = ctx.Err()
	case errors.Is(err, fasthttp.ErrTimeout):
		err = context.DeadlineExceeded
	}
	return trace.ConnectionProblem(err, "the upstream's answer was cut")
}

func (c *caller) take(addr netip.AddrPort) *slot {
	c.mu.Lock()
	n := len(c.free)
	if n == 0 {
		c.mu.Unlock()
		return newSlot(addr.String())
	}
	s := c.free[n-1]
	c.free = c.free[:n-1]
	c.mu.Unlock()
	s.ready()
	return s
}

func (c *caller) put(s *slot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.free = append(c.free, s)
}

// body is the streamed body of an answer.
type body struct {
	caller *caller
	slot   *slot
	ctx    context.Context
	stop   func() bool
	left   func()
	resp   *fasthttp.Response
	stream io.Reader
	whole  atomic.Bool
	once   sync.Once
}

// Read implements io.Reader. An answer that is cut ends in
// trace.ConnectionProblem.
func (b *body) Read(p []byte) (int, error) {
	if b.stream == nil {
		return 0, io.EOF
	}
	n, err := b.stream.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		b.whole.Store(true)
		return n, io.EOF
	default:
		return n, problem(b.ctx, err)
	}
}

// Close implements io.Closer. It closes the connection of an answer that has
// not been read to its end.
func (b *body) Close() error {
	b.once.Do(func() {
		stopped := b.stop()
		_ = b.resp.CloseBodyStream()
		if stopped && b.whole.Load() {
			b.caller.put(b.slot)
			b.left()
			return
		}
		b.slot.interrupt()
		b.slot.close()
		b.slot.left(b.left)
	})
	return nil
}

// decode reads a JSON answer of at most 4 MB and its failure.
func decode(reply *core.Reply, out any) error {
	defer func() { _ = reply.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(reply.Body, 4<<20))
	if err != nil {
		return err
	}
	if reply.Status/100 != 2 {
		return rest.Failed(reply.Status, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return trace.ConnectionProblem(err, "the upstream's answer cannot be decoded")
	}
	return nil
}

// timed returns d, or a second if it is zero.
func timed(d time.Duration) time.Duration {
	if d == 0 {
		return time.Second
	}
	return d
}
