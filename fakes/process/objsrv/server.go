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

// Faults is the fault state. Its zero value is a platform without faults and
// limits. Times are in milliseconds, rates in calls a second.
type Faults struct {
	// Outage makes the object API answer 503; Hang makes it not answer.
	Outage bool `json:"outage"`
	Hang   bool `json:"hang"`
	// ListOutage does the same as Outage to the list of instances.
	ListOutage bool `json:"list_outage"`
	// DelayMs delays each call of the object API before it takes effect.
	DelayMs int `json:"delay_ms"`
	// LoseAnswers is the number of coming writes whose answer is lost.
	LoseAnswers int `json:"lose_answers"`
	// LoseKind limits LoseAnswers to one kind.
	LoseKind core.Kind `json:"lose_kind"`
	// WriteRate and ReadRate are the limits; zero means none. A waiting watch
	// counts as one read. The burst is a quarter of a second's worth.
	WriteRate float64 `json:"write_rate"`
	ReadRate  float64 `json:"read_rate"`
	// ListLagMs is the lag of the list of instances.
	ListLagMs int `json:"list_lag_ms"`
	// WeightRate is the number of fetches a second; zero means no limit.
	// WeightDelayMs is the time that each one takes once it has its turn.
	WeightRate    float64 `json:"weight_rate"`
	WeightDelayMs int     `json:"weight_delay_ms"`
}

// Defaults are the limits of the platform: several hundred writes and about two
// thousand reads a second.
var Defaults = Faults{WriteRate: 400, ReadRate: 2000}

// Stats counts calls since the start.
type Stats struct {
	Revision uint64 `json:"revision"`
	Reads    int    `json:"reads"`
	Writes   int    `json:"writes"`
	Watches  int    `json:"watches"`
	// Waiting is the number of watches that wait now.
	Waiting int `json:"waiting"`
	// Limited counts the calls refused by the rate limits, Lost the writes
	// whose answer was lost, and Refused the calls refused in an outage.
	Limited int `json:"limited"`
	Lost    int `json:"lost"`
	Refused int `json:"refused"`
	Lists   int `json:"lists"`
	Fetches int `json:"fetches"`
	// Kinds has the writes of each kind.
	Kinds map[core.Kind]Writes `json:"kinds"`
}

// Writes counts the writes of one kind: all that arrived, and those that took
// effect.
type Writes struct {
	Arrived int `json:"arrived"`
	Taken   int `json:"taken"`
}

// Server is the platform. The fields are set before Start.
type Server struct {
	// Listen is the loopback address; the default is a free port.
	Listen netip.AddrPort
	// Faults is the fault state at the start.
	Faults Faults
	// Logger is optional.
	Logger log.Logger
	// Clock is optional; it times deletions and the list's lag.
	Clock core.Clock

	store  memory.Store
	lister memory.Lister
	http   *serve.Server
	stop   context.CancelFunc
	ctx    context.Context

	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
	stats   Stats
	reads   *rate.Limiter
	writes  *rate.Limiter
	weights *rate.Limiter
}

// Start serves until Close.
func (s *Server) Start() error {
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.store.Clock, s.lister.Clock = s.Clock, s.Clock
	s.store.Before = s.before
	s.store.After = s.after
	s.changed = make(chan struct{})
	s.reads, s.writes, s.weights = limiter(), limiter(), limiter()
	if s.Logger == nil {
		s.Logger = log.NewNopLogger()
	}
	if err := s.Set(s.Faults); err != nil {
		return err
	}
	h, err := serve.Start(s.Listen, s.routes)
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

// Store returns the store behind the API. Calls of it are subject to the
// fault state.
func (s *Server) Store() core.Store { return &s.store }

// Lister returns the list of instances.
func (s *Server) Lister() *memory.Lister { return &s.lister }

// Set changes the fault state.
func (s *Server) Set(f Faults) error {
	if f.DelayMs < 0 || f.LoseAnswers < 0 || f.WriteRate < 0 || f.ReadRate < 0 || f.ListLagMs < 0 || f.WeightRate < 0 || f.WeightDelayMs < 0 {
		return trace.BadParameter("a fault setting is negative")
	}
	s.set(f)
	_ = level.Info(s.Logger).Log("msg", "fault state changed", "outage", f.Outage, "hang", f.Hang, "delay_ms", f.DelayMs, "lose_answers", f.LoseAnswers)
	return nil
}

func (s *Server) set(f Faults) {
	s.mu.Lock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
	limit(s.reads, f.ReadRate, f.ReadRate/4)
	limit(s.writes, f.WriteRate, f.WriteRate/4)
	limit(s.weights, f.WeightRate, 1)
	s.mu.Unlock()
	s.lister.SetLag(ms(f.ListLagMs))
	s.store.WakeWatches()
}

// Get returns the fault state and the counters.
func (s *Server) Get() (Faults, Stats) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stats
	st.Revision = s.store.Revision()
	st.Kinds = maps.Clone(s.stats.Kinds)
	return s.faults, st
}

// admit applies rate limits, delay and outage to one call of the object API.
func (s *Server) admit(write bool, counter *int) error {
	s.mu.Lock()
	*counter++
	l := s.reads
	if write {
		l = s.writes
	}
	f := s.faults
	if !f.Outage && !f.Hang && !l.Allow() {
		s.stats.Limited++
		s.mu.Unlock()
		return trace.LimitExceeded("the rate limit of the object API is reached")
	}
	s.mu.Unlock()
	if f.DelayMs > 0 {
		return s.sleep(ms(f.DelayMs))
	}
	return nil
}

// before refuses calls in an outage and holds them while the API hangs.
func (s *Server) before(context.Context, memory.Op, core.Key) error {
	for {
		s.mu.Lock()
		f, changed := s.faults, s.changed
		if f.Outage {
			s.stats.Refused++
		}
		s.mu.Unlock()
		if f.Outage {
			return trace.ConnectionProblem(nil, "the object API is out of service")
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

// errLost marks a write that took effect and whose answer is lost.
var errLost = trace.ConnectionProblem(nil, "the answer is lost")

func (s *Server) after(_ context.Context, op memory.Op, key core.Key) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !op.IsWrite() || s.faults.LoseAnswers == 0 || s.faults.LoseKind != "" && s.faults.LoseKind != key.Kind {
		return nil
	}
	s.faults.LoseAnswers--
	s.stats.Lost++
	return errLost
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

func (s *Server) add(counter *int, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter += n
}

// count adds to the writes of a kind.
func (s *Server) count(kind core.Kind, n Writes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stats.Kinds == nil {
		s.stats.Kinds = map[core.Kind]Writes{}
	}
	w := s.stats.Kinds[kind]
	s.stats.Kinds[kind] = Writes{Arrived: w.Arrived + n.Arrived, Taken: w.Taken + n.Taken}
}

func limiter() *rate.Limiter { return rate.NewLimiter(rate.Inf, 1) }

func limit(l *rate.Limiter, perSecond, burst float64) {
	if perSecond == 0 {
		l.SetLimit(rate.Inf)
		return
	}
	if l.Limit() != rate.Limit(perSecond) {
		l.SetLimit(rate.Limit(perSecond))
		l.SetBurst(max(1, int(burst)))
	}
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func (s *Server) routes(app *fiber.App) {
	app.Get(objapi.PathObject, s.get)
	app.Get(objapi.PathObjects, s.list)
	app.Post(objapi.PathObject, s.write(s.store.Create, fasthttp.StatusCreated))
	app.Put(objapi.PathObject, s.write(s.store.Update, fasthttp.StatusOK))
	app.Delete(objapi.PathObject, s.write(s.store.Delete, fasthttp.StatusOK))
	app.Get(objapi.PathWatch, s.watch)
	app.Get(objapi.PathInstances, s.instances)
	app.Post(objapi.PathWeights, s.fetch)
	s.controls(app)
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
	ks, err := kinds(c)
	if err != nil {
		return err
	}
	after := core.Key{Kind: core.Kind(c.Query("after_kind")), Name: c.Query("after_name")}
	objs, more, revision, err := s.store.ListPage(s.ctx, after, size, ks...)
	if err != nil {
		return err
	}
	return c.JSON(page(objs, more, revision))
}

func (s *Server) write(op func(context.Context, core.Object) (core.Object, error), code int) fiber.Handler {
	return func(c fiber.Ctx) error {
		var in objapi.Object
		if err := serve.Body(c, &in); err != nil {
			return err
		}
		kind := core.Kind(in.Kind)
		s.count(kind, Writes{Arrived: 1})
		if err := s.admit(true, &s.stats.Writes); err != nil {
			return err
		}
		obj, err := op(s.ctx, in.ToCore())
		if err == nil || err == error(errLost) {
			s.count(kind, Writes{Taken: 1})
		}
		if err == error(errLost) {
			return serve.Drop(c)
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
	ks, err := kinds(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(s.ctx, ms(wait))
	defer cancel()
	s.add(&s.stats.Waiting, 1)
	objs, err := s.store.Watch(ctx, from, ks...)
	s.add(&s.stats.Waiting, -1)
	if err != nil && ctx.Err() == nil {
		return err
	}
	// A watch may return a part of the changes; the caller goes on from the
	// last one.
	return c.JSON(page(objs[:min(len(objs), objapi.PageSize)], false, s.store.Revision()))
}

func (s *Server) instances(c fiber.Ctx) error {
	s.add(&s.stats.Lists, 1)
	if f, _ := s.Get(); f.ListOutage {
		return trace.ConnectionProblem(nil, "the list of instances is out of service")
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

func (s *Server) fetch(c fiber.Ctx) error {
	var in objapi.FetchRequest
	if err := serve.Body(c, &in); err != nil {
		return err
	}
	s.add(&s.stats.Fetches, 1)
	if err := s.weights.Wait(s.ctx); err != nil {
		return trace.ConnectionProblem(err, "the server is closing")
	}
	f, _ := s.Get()
	if err := s.sleep(ms(f.WeightDelayMs)); err != nil {
		return err
	}
	return c.JSON(in)
}

func kinds(c fiber.Ctx) ([]core.Kind, error) {
	var ks []core.Kind
	for k := range strings.SplitSeq(c.Query("kinds"), ",") {
		if k == "" {
			return nil, trace.BadParameter("kinds %q is not a list of kinds", c.Query("kinds"))
		}
		ks = append(ks, core.Kind(k))
	}
	return ks, nil
}

func page(objs []core.Object, more bool, revision uint64) objapi.ObjectPage {
	out := objapi.ObjectPage{Revision: revision, More: more, Objects: make([]objapi.Object, len(objs))}
	for i, o := range objs {
		out.Objects[i] = objapi.FromCore(o)
	}
	return out
}
