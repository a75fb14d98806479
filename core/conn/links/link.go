package links

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/spread"
	"parsleyroute.example/core/request/codec"
	"parsleyroute.example/core/request/frame"
	"parsleyroute.example/core/wire"
)

const (
	// Silence is the time without a frame after which an agent is lost. Agents
	// ping every 500 ms.
	Silence = 2 * time.Second
	// lastLook is the part of Silence after a deadline that may have passed
	// while this process was frozen.
	lastLook = 200 * time.Millisecond
	// dialTimeout bounds a new connection.
	dialTimeout = time.Second
	// firstPause and maxPause bound the time for which a lost agent is left
	// alone.
	firstPause = 250 * time.Millisecond
	maxPause   = 4 * time.Second
	// firstBusy and maxBusy bound the time for which a full agent is left alone.
	// The greater one is the time that agents state in such a refusal.
	firstBusy = 5 * time.Millisecond
	maxBusy   = 100 * time.Millisecond
	// maxConns bounds the connections to one agent.
	maxConns = 4096
)

// DispatchPath is the agents' path for dispatches.
const DispatchPath = "/dispatch"

// Link is an entry's connection to one agent. Exported fields are set before
// use; Open makes the connection pool.
type Link struct {
	Addr    netip.AddrPort
	PeerKey string
	Clock   core.Clock
	// HTTP is the client for unary calls. It adds the peer key.
	HTTP wire.HTTPClient
	// OnCache receives cache events with their epoch; it may be nil.
	OnCache func(name string, epoch uint64, events []*wire.CacheEvent)

	name     string
	client   *fasthttp.HostClient
	upstream wire.Upstream
	config   wire.Config
	inflight atomic.Int64
	load     atomic.Pointer[core.Load]

	mu        sync.Mutex
	pause     time.Duration
	lostTill  time.Time
	busyPause time.Duration
	busyTill  time.Time
}

// Open prepares the link. No connection is made before the first dispatch.
func (l *Link) Open() *Link {
	l.name = l.Addr.String()
	l.client = &fasthttp.HostClient{
		Addr:                      l.Addr.String(),
		Dial:                      dial,
		MaxConns:                  maxConns,
		MaxIdleConnDuration:       10 * time.Second,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		StreamResponseBody:        true,
		DisablePathNormalizing:    true,
	}
	l.upstream = wire.NewUpstreamProtobufClient("http://"+l.Addr.String(), l.HTTP)
	l.config = wire.NewConfigProtobufClient("http://"+l.Addr.String(), l.HTTP)
	return l
}

// silent fails a read after Silence without a byte. The last part of that time
// is a read of its own: if this process was frozen, the deadline has passed when
// it goes on, although the agent's bytes are there to be read.
type silent struct{ net.Conn }

func (c silent) Read(p []byte) (int, error) {
	n, err := c.readWithin(Silence-lastLook, p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		return c.readWithin(lastLook, p)
	}
	return n, err
}

func (c silent) readWithin(d time.Duration, p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(d)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

func dial(addr string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	return silent{conn}, nil
}

// Inflight returns the number of the entry's requests at the agent.
func (l *Link) Inflight() int { return int(l.inflight.Load()) }

// Load returns the last report; its zero value means that none came yet.
func (l *Link) Load() core.Load {
	if p := l.load.Load(); p != nil {
		return *p
	}
	return core.Load{}
}

// Take accepts a report.
func (l *Link) Take(w *wire.Load) {
	if w == nil {
		return
	}
	load := codec.LoadFromWire(w, l.Clock.Now())
	load.OwnInflight = l.Inflight()
	l.load.Store(&load)
	if l.OnCache != nil && w.GetCacheEpoch() != 0 {
		l.OnCache(l.name, w.GetCacheEpoch(), w.GetCacheEvents())
	}
}

// Name returns the agent's address as text.
func (l *Link) Name() string { return l.name }

// Usable reports whether requests may be sent to the agent now: it is neither
// lost nor known to be full.
func (l *Link) Usable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	return !now.Before(l.lostTill) && !now.Before(l.busyTill)
}

// Full tells that the agent refused a request at its limit. The agent is left
// alone for a pause that doubles with each refusal in a row. Refusals of
// requests that were sent before the pause began count once.
func (l *Link) Full() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	if now.Before(l.busyTill) {
		return
	}
	l.busyPause = min(max(2*l.busyPause, firstBusy), maxBusy)
	l.busyTill = now.Add(l.busyPause)
}

// Freed tells that one of the entry's own requests at the agent has ended, so
// that there is room for another.
func (l *Link) Freed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busyPause = 0
	l.busyTill = time.Time{}
}

// Failed tells that the agent could not be reached or fell silent.
func (l *Link) Failed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pause = min(max(2*l.pause, firstPause), maxPause)
	l.lostTill = l.Clock.Now().Add(l.pause)
}

// Worked tells that the agent answered.
func (l *Link) Worked() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pause = 0
	l.lostTill = time.Time{}
}

// Incarnation returns the agent's incarnation, from the last report or by a
// call.
func (l *Link) Incarnation(ctx context.Context) (uint64, error) {
	if load := l.Load(); load.Incarnation != 0 {
		return load.Incarnation, nil
	}
	status, err := l.config.Status(ctx, &wire.StatusRequest{})
	if err != nil {
		l.Failed()
		return 0, trace.ConnectionProblem(err, "ask the agent %s for its status", l.Addr)
	}
	return status.GetIncarnation(), nil
}

// Query asks for the state of an attempt.
func (l *Link) Query(ctx context.Context, a *wire.Attempt) (*wire.AttemptResponse, error) {
	resp, err := l.upstream.Query(ctx, &wire.AttemptRequest{Attempt: a})
	if err != nil {
		return nil, trace.ConnectionProblem(err, "ask the agent %s for an attempt", l.Addr)
	}
	return resp, nil
}

// Tombstone asks the agent never to begin an attempt.
func (l *Link) Tombstone(ctx context.Context, a *wire.Attempt) (*wire.AttemptResponse, error) {
	resp, err := l.upstream.Tombstone(ctx, &wire.AttemptRequest{Attempt: a})
	if err != nil {
		return nil, trace.ConnectionProblem(err, "give up an attempt at the agent %s", l.Addr)
	}
	return resp, nil
}

// Reserve counts a request in flight before it is dispatched, so that
// concurrent picks see it. The returned function ends it.
func (l *Link) Reserve() (release func()) {
	l.inflight.Add(1)
	var once sync.Once
	return func() { once.Do(func() { l.inflight.Add(-1) }) }
}

// Dispatch sends a request. After an error it may have been sent.
// The caller closes the stream.
func (l *Link) Dispatch(d *wire.Dispatch, body []byte) (*Stream, error) {
	p, err := frame.EncodeDispatch(d, body)
	if err != nil {
		return nil, err
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + l.Addr.String() + DispatchPath)
	req.Header.Set(spread.PeerKeyHeader, l.PeerKey)
	req.SetBodyRaw(p)
	resp := fasthttp.AcquireResponse()
	if err := l.client.Do(req, resp); err != nil {
		fasthttp.ReleaseResponse(resp)
		l.Failed()
		return nil, trace.ConnectionProblem(err, "dispatch to the agent %s", l.Addr)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		status := resp.StatusCode()
		_ = resp.CloseBodyStream()
		fasthttp.ReleaseResponse(resp)
		return nil, trace.BadParameter("the agent %s refused the dispatch with status %d", l.Addr, status)
	}
	return newStream(l, resp, d.GetAttempt()), nil
}

// Close drops idle connections. Streams in use go on.
func (l *Link) Close() error {
	l.client.CloseIdleConnections()
	return nil
}
