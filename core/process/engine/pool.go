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

// connPool makes calls on a pool of connections.
type connPool struct {
	mu   sync.Mutex
	idle []*clientConn
}

// do sends a call to addr.
func (p *connPool) do(ctx context.Context, addr netip.AddrPort, call *core.Call) (*core.Reply, error) {
	onRelease := call.OnRelease
	if onRelease == nil {
		onRelease = func() {}
	}
	if !strings.HasPrefix(call.Path, "/") {
		onRelease()
		return nil, core.NewRefusal(core.ReasonBadRequest, "the path of the call does not begin with a slash")
	}
	if ctx.Err() != nil {
		onRelease()
		return nil, core.NewRefusal(core.ReasonCanceled, "the call was canceled before it was sent")
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	setRequest(req, addr, call)
	conn := p.acquire(addr)
	stop := context.AfterFunc(ctx, conn.interrupt)
	resp := fasthttp.AcquireResponse()
	if err := conn.client.Do(req, resp); err != nil {
		stop()
		conn.close()
		conn.closeAndRelease(onRelease)
		if !conn.connected() {
			return nil, &core.Refusal{Reason: core.ReasonUpstreamLost, Execution: core.NotExecuted, Message: "no connection to the upstream: " + err.Error()}
		}
		return nil, callError(ctx, err)
	}
	b := &body{pool: p, conn: conn, ctx: ctx, stop: stop, onRelease: onRelease, resp: resp, stream: resp.BodyStream()}
	if b.stream == nil {
		b.complete.Store(true)
	} else if resp.Header.ContentLength() == -2 {
		// Without a length or chunked encoding, an interrupted response looks
		// like a complete one.
		_ = b.Close()
		return nil, trace.ConnectionProblem(nil, "the upstream's response has no length")
	}
	reply := &core.Reply{Status: resp.StatusCode(), Body: b}
	for k, v := range resp.Header.All() {
		name := string(k)
		switch {
		case strings.EqualFold(name, HeaderResumable):
			reply.Resumable = string(v) == "true"
		case !isHopByHop(name):
			reply.Headers = append(reply.Headers, core.Header{Name: name, Value: string(v)})
		}
	}
	return reply, nil
}

func setRequest(req *fasthttp.Request, addr netip.AddrPort, call *core.Call) {
	req.SetRequestURI("http://" + addr.String() + call.Path)
	req.Header.SetMethod(call.Method)
	for _, h := range call.Headers {
		if !isHopByHop(h.Name) {
			req.Header.Add(h.Name, h.Value)
		}
	}
	req.Header.Set(HeaderRequestID, call.RequestID)
	req.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	if call.IdempotencyKey != "" {
		req.Header.Set(HeaderIdempotencyKey, call.IdempotencyKey)
	}
	if call.ResumeOffset > 0 {
		req.Header.Set(HeaderResumeOffset, strconv.FormatUint(call.ResumeOffset, 10))
	}
	if call.Timeout > 0 {
		req.Header.Set(HeaderDeadlineMs, strconv.FormatInt(call.Timeout.Milliseconds(), 10))
		req.SetTimeout(call.Timeout)
	}
	if len(call.Body) > 0 {
		req.SetBodyRaw(call.Body)
	}
}

// isHopByHop reports whether a header applies to a single connection (RFC 9110,
// section 7.6.1) or is set by the HTTP library.
func isHopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "host", "content-length":
		return true
	}
	return false
}

// callError returns the error of a call that the upstream may have executed.
func callError(ctx context.Context, err error) error {
	switch {
	case ctx.Err() != nil:
		err = ctx.Err()
	case errors.Is(err, fasthttp.ErrTimeout):
		err = context.DeadlineExceeded
	}
	return trace.ConnectionProblem(err, "the upstream's response was interrupted")
}

func (p *connPool) acquire(addr netip.AddrPort) *clientConn {
	p.mu.Lock()
	n := len(p.idle)
	if n == 0 {
		p.mu.Unlock()
		return newClientConn(addr.String())
	}
	conn := p.idle[n-1]
	p.idle = p.idle[:n-1]
	p.mu.Unlock()
	conn.dropIfClosed()
	return conn
}

func (p *connPool) release(conn *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, conn)
}

// body is the streamed body of a response.
type body struct {
	pool *connPool
	conn *clientConn
	ctx  context.Context
	// stop ends the wait for the end of ctx, at which conn is interrupted. It
	// returns false if ctx has already ended.
	stop      func() bool
	onRelease func()
	resp      *fasthttp.Response
	stream    io.Reader
	complete  atomic.Bool
	once      sync.Once
}

// Read implements io.Reader. It returns trace.ConnectionProblem if the response
// is interrupted.
func (b *body) Read(p []byte) (int, error) {
	if b.stream == nil {
		return 0, io.EOF
	}
	n, err := b.stream.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		b.complete.Store(true)
		return n, io.EOF
	default:
		return n, callError(b.ctx, err)
	}
}

// Close implements io.Closer. It closes the connection unless the response was
// read to its end.
func (b *body) Close() error {
	b.once.Do(func() {
		stopped := b.stop()
		_ = b.resp.CloseBodyStream()
		if stopped && b.complete.Load() {
			b.pool.release(b.conn)
			b.onRelease()
			return
		}
		b.conn.interrupt()
		b.conn.close()
		b.conn.closeAndRelease(b.onRelease)
	})
	return nil
}

// decodeResponse decodes a JSON response of at most 4 MB into out, or returns the
// error that it reports.
func decodeResponse(reply *core.Reply, out any) error {
	defer func() { _ = reply.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(reply.Body, 4<<20))
	if err != nil {
		return err
	}
	if reply.Status/100 != 2 {
		return rest.ParseError(reply.Status, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return trace.ConnectionProblem(err, "cannot decode the upstream's response")
	}
	return nil
}

// timeoutOrDefault returns d, or 1 s if it is zero.
func timeoutOrDefault(d time.Duration) time.Duration {
	if d == 0 {
		return time.Second
	}
	return d
}
