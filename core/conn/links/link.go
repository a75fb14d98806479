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
	"parsleyroute.example/core/conn/strict"
	"parsleyroute.example/core/process/spread"
	"parsleyroute.example/core/request/codec"
	"parsleyroute.example/core/request/frame"
	"parsleyroute.example/core/wire"
)

const (
	// SilenceTimeout is the time without data on a stream after which an agent
	// counts as unreachable. Agents send a ping every 500 ms.
	SilenceTimeout = 2 * time.Second
	// finalReadTimeout is the timeout of a second read, at the end of
	// SilenceTimeout: the deadline of the first read may have passed while this
	// process was frozen.
	finalReadTimeout = 200 * time.Millisecond
	// dialTimeout limits the time to open a connection.
	dialTimeout = time.Second
	// minUnreachableBackoff and maxUnreachableBackoff bound the time for which an
	// unreachable agent gets no requests.
	minUnreachableBackoff = 250 * time.Millisecond
	maxUnreachableBackoff = 4 * time.Second
	// minFullBackoff and maxFullBackoff bound the time for which a full agent
	// gets no requests. The maximum is the retry delay that agents state in such
	// a refusal.
	minFullBackoff = 5 * time.Millisecond
	maxFullBackoff = 100 * time.Millisecond
	// maxConns limits the connections to one agent.
	maxConns = 4096
)

// DispatchPath is the agents' path for dispatches.
const DispatchPath = "/dispatch"

// Link holds an entry's connections to one agent and their state. Exported
// fields must be set before Open, which creates the connection pool.
type Link struct {
	Addr    netip.AddrPort
	PeerKey string
	Clock   core.Clock
	// HTTP is the client for unary calls. It adds the peer key to each.
	HTTP wire.HTTPClient
	// OnCache is called with cache events and their epoch; it may be nil.
	OnCache func(name string, epoch uint64, events []*wire.CacheEvent)

	name     string
	client   *fasthttp.HostClient
	upstream wire.Upstream
	config   wire.Config
	inflight atomic.Int64
	load     atomic.Pointer[core.Load]

	mu                 sync.Mutex
	unreachableBackoff time.Duration
	unreachableUntil   time.Time
	fullBackoff        time.Duration
	fullUntil          time.Time
}

// Open prepares the link and returns it. The first dispatch opens a connection.
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

// silenceConn fails a read after SilenceTimeout without a byte. The last part of
// that time is a read of its own: if this process was frozen, the deadline of
// the first read has passed when it resumes, even if bytes of the agent have
// arrived.
type silenceConn struct{ net.Conn }

func (c silenceConn) Read(p []byte) (int, error) {
	n, err := c.readWithin(SilenceTimeout-finalReadTimeout, p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		return c.readWithin(finalReadTimeout, p)
	}
	return n, err
}

func (c silenceConn) readWithin(d time.Duration, p []byte) (int, error) {
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
	return strict.NewConn(silenceConn{conn}), nil
}

// Inflight returns the number of the entry's requests in flight at the agent.
func (l *Link) Inflight() int { return int(l.inflight.Load()) }

// Load returns the last load report; its zero value means that there is none
// yet.
func (l *Link) Load() core.Load {
	if p := l.load.Load(); p != nil {
		return *p
	}
	return core.Load{}
}

// UpdateLoad stores a load report and passes its cache events to OnCache. It
// ignores nil.
func (l *Link) UpdateLoad(w *wire.Load) {
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

// Name returns the agent's address as a string.
func (l *Link) Name() string { return l.name }

// Usable reports whether requests may be sent to the agent now: it is in no
// backoff, neither as unreachable nor as full.
func (l *Link) Usable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	return !now.Before(l.unreachableUntil) && !now.Before(l.fullUntil)
}

// MarkFull records that the agent refused a request because it is at its limit.
// It starts a backoff that doubles with each consecutive call. Calls during a
// backoff have no effect, since they concern requests that were sent before it.
func (l *Link) MarkFull() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	if now.Before(l.fullUntil) {
		return
	}
	l.fullBackoff = min(max(2*l.fullBackoff, minFullBackoff), maxFullBackoff)
	l.fullUntil = now.Add(l.fullBackoff)
}

// ClearFull records that one of the entry's own requests at the agent has ended,
// so that the agent can accept another. It ends the backoff of MarkFull.
func (l *Link) ClearFull() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fullBackoff = 0
	l.fullUntil = time.Time{}
}

// MarkUnreachable records that the agent could not be reached or that its stream
// failed. It starts a backoff that doubles with each consecutive call.
func (l *Link) MarkUnreachable() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreachableBackoff = min(max(2*l.unreachableBackoff, minUnreachableBackoff), maxUnreachableBackoff)
	l.unreachableUntil = l.Clock.Now().Add(l.unreachableBackoff)
}

// MarkReachable records that the agent responded. It ends the backoff of
// MarkUnreachable.
func (l *Link) MarkReachable() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreachableBackoff = 0
	l.unreachableUntil = time.Time{}
}

// Incarnation returns the agent's incarnation from the last load report, or
// requests it if there is none.
func (l *Link) Incarnation(ctx context.Context) (uint64, error) {
	if load := l.Load(); load.Incarnation != 0 {
		return load.Incarnation, nil
	}
	status, err := l.config.Status(ctx, &wire.StatusRequest{})
	if err != nil {
		l.MarkUnreachable()
		return 0, trace.ConnectionProblem(err, "get the status of the agent %s", l.Addr)
	}
	return status.GetIncarnation(), nil
}

// Query returns the state of an attempt at the agent.
func (l *Link) Query(ctx context.Context, a *wire.Attempt) (*wire.AttemptResponse, error) {
	resp, err := l.upstream.Query(ctx, &wire.AttemptRequest{Attempt: a})
	if err != nil {
		return nil, trace.ConnectionProblem(err, "query an attempt at the agent %s", l.Addr)
	}
	return resp, nil
}

// Tombstone asks the agent never to start an attempt.
func (l *Link) Tombstone(ctx context.Context, a *wire.Attempt) (*wire.AttemptResponse, error) {
	resp, err := l.upstream.Tombstone(ctx, &wire.AttemptRequest{Attempt: a})
	if err != nil {
		return nil, trace.ConnectionProblem(err, "record a tombstone of an attempt at the agent %s", l.Addr)
	}
	return resp, nil
}

// Reserve counts a request as in flight before it is dispatched, so that
// concurrent picks take it into account. release removes it from the count.
func (l *Link) Reserve() (release func()) {
	l.inflight.Add(1)
	var once sync.Once
	return func() { once.Do(func() { l.inflight.Add(-1) }) }
}

// Dispatch sends a request. After an error the agent may have received it. The
// caller must close the stream.
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
		l.MarkUnreachable()
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

// Close closes the idle connections. Open streams continue.
func (l *Link) Close() error {
	l.client.CloseIdleConnections()
	return nil
}
