package objsrv

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/gofiber/fiber/v3"
	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/objapi"
	"parsleyroute.example/core/suite/memory"
	"parsleyroute.example/fakes/process/serve"
)

// Faults holds the injected faults and the limits. Its zero value is a platform
// without faults and limits. Times are in milliseconds, rates in requests per
// second.
type Faults struct {
	// Outage makes the object API return 503; Hang leaves its requests without a
	// response.
	Outage bool `json:"outage"`
	Hang   bool `json:"hang"`
	// ListOutage makes the instance list return 503.
	ListOutage bool `json:"list_outage"`
	// DelayMs delays each request to the object API before it takes effect.
	DelayMs int `json:"delay_ms"`
	// LoseResponses is the number of upcoming writes that take effect but whose
	// response is lost.
	LoseResponses int `json:"lose_answers"`
	// LoseKind limits LoseResponses to one kind; empty means all kinds.
	LoseKind core.Kind `json:"lose_kind"`
	// WriteRate and ReadRate are the rate limits; zero means none. A watch counts
	// as one read, however long it waits. The burst is a quarter of the requests of
	// one second.
	WriteRate float64 `json:"write_rate"`
	ReadRate  float64 `json:"read_rate"`
	// ListLagMs is the lag of the instance list.
	ListLagMs int `json:"list_lag_ms"`
	// WeightRate is the number of fetches per second; zero means no limit.
	// WeightDelayMs is the duration of each fetch once the rate limit admits it.
	WeightRate    float64 `json:"weight_rate"`
	WeightDelayMs int     `json:"weight_delay_ms"`
}

// Defaults are the limits of the platform: several hundred writes and about two
// thousand reads per second.
var Defaults = Faults{WriteRate: 400, ReadRate: 2000}

// Stats counts requests since the start.
type Stats struct {
	Revision uint64 `json:"revision"`
	Reads    int    `json:"reads"`
	Writes   int    `json:"writes"`
	Watches  int    `json:"watches"`
	// WaitingWatches is the number of watches that are waiting now.
	WaitingWatches int `json:"waiting"`
	// RateLimited counts the requests refused by the rate limits, LostResponses
	// the writes whose response was lost, and Refused the requests refused during
	// an outage.
	RateLimited   int `json:"limited"`
	LostResponses int `json:"lost"`
	Refused       int `json:"refused"`
	Lists         int `json:"lists"`
	Fetches       int `json:"fetches"`
	// Kinds holds the writes of each kind.
	Kinds map[core.Kind]Writes `json:"kinds"`
}

// Writes counts the writes of one kind: all that were received, and those that
// took effect.
type Writes struct {
	Received int `json:"arrived"`
	Applied  int `json:"taken"`
}

// Server is the platform. The exported fields are set before Start.
type Server struct {
	// Listen is the loopback address; the default is a free port.
	Listen netip.AddrPort
	// Faults are the initial faults and limits.
	Faults Faults
	// Logger is optional.
	Logger log.Logger
	// Clock is optional; deletions and the lag of the instance list use it.
	Clock core.Clock

	store  memory.Store
	lister memory.Lister
	http   *serve.Server
	stop   context.CancelFunc
	ctx    context.Context

	mu            sync.Mutex
	faults        Faults
	changed       chan struct{}
	stats         Stats
	readLimiter   *rate.Limiter
	writeLimiter  *rate.Limiter
	weightLimiter *rate.Limiter
}

// Start serves until Close.
func (s *Server) Start() error {
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.store.Clock, s.lister.Clock = s.Clock, s.Clock
	s.store.Before = s.beforeOperation
	s.store.After = s.afterOperation
	s.changed = make(chan struct{})
	s.readLimiter, s.writeLimiter, s.weightLimiter = newLimiter(), newLimiter(), newLimiter()
	if s.Logger == nil {
		s.Logger = log.NewNopLogger()
	}
	if err := s.SetFaults(s.Faults); err != nil {
		return err
	}
	h, err := serve.Start(s.Listen, s.addRoutes)
	s.http = h
	return err
}

// Addr returns the address at which the server listens.
func (s *Server) Addr() netip.AddrPort { return s.http.Addr() }

// Close ends waiting watches and stops the server.
func (s *Server) Close() error {
	s.stop()
	return s.http.Close()
}

// Store returns the store behind the API. Its operations are subject to the
// faults.
func (s *Server) Store() core.Store { return &s.store }

// Lister returns the instance list.
func (s *Server) Lister() *memory.Lister { return &s.lister }

// SetFaults changes the faults and limits.
func (s *Server) SetFaults(f Faults) error {
	if f.DelayMs < 0 || f.LoseResponses < 0 || f.WriteRate < 0 || f.ReadRate < 0 || f.ListLagMs < 0 || f.WeightRate < 0 || f.WeightDelayMs < 0 {
		return trace.BadParameter("a fault setting must not be negative")
	}
	s.applyFaults(f)
	_ = level.Info(s.Logger).Log("msg", "fault state changed", "outage", f.Outage, "hang", f.Hang, "delay_ms", f.DelayMs, "lose_answers", f.LoseResponses)
	return nil
}

func (s *Server) applyFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
	setLimit(s.readLimiter, f.ReadRate, f.ReadRate/4)
	setLimit(s.writeLimiter, f.WriteRate, f.WriteRate/4)
	setLimit(s.weightLimiter, f.WeightRate, 1)
	s.mu.Unlock()
	s.lister.SetLag(milliseconds(f.ListLagMs))
	s.store.WakeWatches()
}

// State returns the faults and the counters.
func (s *Server) State() (Faults, Stats) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stats
	st.Revision = s.store.Revision()
	st.Kinds = maps.Clone(s.stats.Kinds)
	return s.faults, st
}

// admit applies the rate limit and the delay to one request to the object API.
// During an outage and while the API hangs there is no rate limit.
func (s *Server) admit(write bool, counter *int) error {
	s.mu.Lock()
	*counter++
	l := s.readLimiter
	if write {
		l = s.writeLimiter
	}
	f := s.faults
	if !f.Outage && !f.Hang && !l.Allow() {
		s.stats.RateLimited++
		s.mu.Unlock()
		return trace.LimitExceeded("the rate limit of the object API is exceeded")
	}
	s.mu.Unlock()
	if f.DelayMs > 0 {
		return s.sleep(milliseconds(f.DelayMs))
	}
	return nil
}

// beforeOperation refuses operations during an outage and blocks them while the
// API hangs.
func (s *Server) beforeOperation(context.Context, memory.Op, core.Key) error {
	for {
		s.mu.Lock()
		f, changed := s.faults, s.changed
		if f.Outage {
			s.stats.Refused++
		}
		s.mu.Unlock()
		if f.Outage {
			return trace.ConnectionProblem(nil, "the object API is unavailable")
		}
		if !f.Hang {
			return nil
		}
		select {
		case <-s.ctx.Done():
			return trace.ConnectionProblem(nil, "the server is closing")
		case <-changed:
		}
	}
}

// errResponseLost marks a write that took effect and whose response is lost.
var errResponseLost = trace.ConnectionProblem(nil, "the response is lost")

func (s *Server) afterOperation(_ context.Context, op memory.Op, key core.Key) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !op.IsWrite() || s.faults.LoseResponses == 0 || s.faults.LoseKind != "" && s.faults.LoseKind != key.Kind {
		return nil
	}
	s.faults.LoseResponses--
	s.stats.LostResponses++
	return errResponseLost
}

func (s *Server) sleep(d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-s.ctx.Done():
		return trace.ConnectionProblem(nil, "the server is closing")
	case <-t.C:
		return nil
	}
}

func (s *Server) addToCounter(counter *int, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter += n
}

// countWrites adds to the writes of a kind.
func (s *Server) countWrites(kind core.Kind, n Writes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stats.Kinds == nil {
		s.stats.Kinds = map[core.Kind]Writes{}
	}
	w := s.stats.Kinds[kind]
	s.stats.Kinds[kind] = Writes{Received: w.Received + n.Received, Applied: w.Applied + n.Applied}
}

func newLimiter() *rate.Limiter { return rate.NewLimiter(rate.Inf, 1) }

func setLimit(l *rate.Limiter, perSecond, burst float64) {
	if perSecond == 0 {
		l.SetLimit(rate.Inf)
		return
	}
	if l.Limit() != rate.Limit(perSecond) {
		l.SetLimit(rate.Limit(perSecond))
		l.SetBurst(max(1, int(burst)))
	}
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func (s *Server) addRoutes(app *fiber.App) {
	app.Get(objapi.PathObject, s.get)
	app.Get(objapi.PathObjects, s.list)
	app.Post(objapi.PathObject, s.write(s.store.Create, fasthttp.StatusCreated))
	app.Put(objapi.PathObject, s.write(s.store.Update, fasthttp.StatusOK))
	app.Delete(objapi.PathObject, s.write(s.store.Delete, fasthttp.StatusOK))
	app.Get(objapi.PathWatch, s.watch)
	app.Get(objapi.PathInstances, s.instances)
	app.Post(objapi.PathWeights, s.fetchWeights)
	s.addControlRoutes(app)
}

func (s *Server) get(c fiber.Ctx) error {
	if err := s.admit(false, &s.stats.Reads); err != nil {
		return err
	}
	obj, err := s.store.Get(s.ctx, core.Key{Kind: core.Kind(c.Query("kind")), Name: c.Query("name")})
	if err != nil {
		return err
	}
	return c.JSON(objapi.FromCore(obj))
}

func (s *Server) list(c fiber.Ctx) error {
	if err := s.admit(false, &s.stats.Reads); err != nil {
		return err
	}
	size, err := strconv.Atoi(cmp.Or(c.Query("limit"), strconv.Itoa(objapi.PageSize)))
	if err != nil || size < 1 || size > objapi.PageSize {
		return trace.BadParameter("limit %q is not a number from 1 to %d", c.Query("limit"), objapi.PageSize)
	}
	ks, err := parseKinds(c)
	if err != nil {
		return err
	}
	after := core.Key{Kind: core.Kind(c.Query("after_kind")), Name: c.Query("after_name")}
	objs, more, revision, err := s.store.ListPage(s.ctx, after, size, ks...)
	if err != nil {
		return err
	}
	return c.JSON(newPage(objs, more, revision))
}

func (s *Server) write(op func(context.Context, core.Object) (core.Object, error), code int) fiber.Handler {
	return func(c fiber.Ctx) error {
		var in objapi.Object
		if err := serve.DecodeBody(c, &in); err != nil {
			return err
		}
		kind := core.Kind(in.Kind)
		s.countWrites(kind, Writes{Received: 1})
		if err := s.admit(true, &s.stats.Writes); err != nil {
			return err
		}
		obj, err := op(s.ctx, in.ToCore())
		if err == nil || err == error(errResponseLost) {
			s.countWrites(kind, Writes{Applied: 1})
		}
		if err == error(errResponseLost) {
			return serve.CloseWithoutResponse(c)
		}
		if err != nil {
			return err
		}
		return c.Status(code).JSON(objapi.FromCore(obj))
	}
}

func (s *Server) watch(c fiber.Ctx) error {
	if err := s.admit(false, &s.stats.Watches); err != nil {
		return err
	}
	from, err := strconv.ParseUint(c.Query("from"), 10, 64)
	if err != nil {
		return trace.BadParameter("from %q is not a revision", c.Query("from"))
	}
	wait, err := strconv.Atoi(cmp.Or(c.Query("wait_ms"), "10000"))
	if err != nil || wait < 0 || wait > 60_000 {
		return trace.BadParameter("wait_ms %q is not a number from 0 to 60000", c.Query("wait_ms"))
	}
	ks, err := parseKinds(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(s.ctx, milliseconds(wait))
	defer cancel()
	s.addToCounter(&s.stats.WaitingWatches, 1)
	objs, err := s.store.Watch(ctx, from, ks...)
	s.addToCounter(&s.stats.WaitingWatches, -1)
	if err != nil && ctx.Err() == nil {
		return err
	}
	// A watch may return only the first changes; the caller continues from the
	// last of them.
	return c.JSON(newPage(objs[:min(len(objs), objapi.PageSize)], false, s.store.Revision()))
}

func (s *Server) instances(c fiber.Ctx) error {
	s.addToCounter(&s.stats.Lists, 1)
	if f, _ := s.State(); f.ListOutage {
		return trace.ConnectionProblem(nil, "the instance list is unavailable")
	}
	list, revision, err := s.lister.Instances(s.ctx)
	if err != nil {
		return err
	}
	if revision != 0 && c.Query("known") == strconv.FormatUint(revision, 10) {
		return c.JSON(objapi.InstanceList{Revision: revision, Unchanged: true})
	}
	out := objapi.InstanceList{Revision: revision, Instances: make([]objapi.Instance, len(list))}
	for i, in := range list {
		out.Instances[i] = objapi.Instance(in)
	}
	return c.JSON(out)
}

func (s *Server) fetchWeights(c fiber.Ctx) error {
	var in objapi.FetchRequest
	if err := serve.DecodeBody(c, &in); err != nil {
		return err
	}
	s.addToCounter(&s.stats.Fetches, 1)
	if err := s.weightLimiter.Wait(s.ctx); err != nil {
		return trace.ConnectionProblem(err, "the server is closing")
	}
	f, _ := s.State()
	if err := s.sleep(milliseconds(f.WeightDelayMs)); err != nil {
		return err
	}
	return c.JSON(in)
}

func parseKinds(c fiber.Ctx) ([]core.Kind, error) {
	var ks []core.Kind
	for k := range strings.SplitSeq(c.Query("kinds"), ",") {
		if k == "" {
			return nil, trace.BadParameter("kinds %q is not a list of kinds", c.Query("kinds"))
		}
		ks = append(ks, core.Kind(k))
	}
	return ks, nil
}

func newPage(objs []core.Object, more bool, revision uint64) objapi.ObjectPage {
	out := objapi.ObjectPage{Revision: revision, More: more, Objects: make([]objapi.Object, len(objs))}
	for i, o := range objs {
		out.Objects[i] = objapi.FromCore(o)
	}
	return out
}
