package lease

import (
	"cmp"
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/clock"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/wire"
)

const (
	defaultTTL = 10 * time.Second
	// marginRatio is the part of the TTL by which validity ends early. It
	// allows for clocks whose rates differ.
	marginRatio = 10
	// renewRatio leaves room for three failed renewals within the TTL.
	renewRatio = 4
	// retryRatio makes attempts after a failure more frequent.
	retryRatio = 4
	// lookRatio is how often in a renewal a contender looks whether the holder has
	// ended, without a call to the store.
	lookRatio = 4
	// aliveRatio is the number of renewals between the reads of a contender that
	// knows the holder to run.
	aliveRatio = 3
	// releaseTimeout bounds the release when Run ends.
	releaseTimeout = time.Second
)

// Lease is one contender for a lease. Its exported fields are set before Run
// and not changed afterwards.
type Lease struct {
	Store core.Store
	// Clock defaults to the machine's clock.
	Clock core.Clock
	// Name is the name of the lease's object.
	Name string
	// Holder names this process among the contenders.
	Holder string
	// TTL is the time after which others may take over; default 10 s. It is
	// stored in whole milliseconds.
	TTL time.Duration
	// RenewInterval is the time between attempts to renew or acquire, and bounds each
	// call to the store; default TTL/4.
	RenewInterval time.Duration
	// Ended reports whether another holder's process is known to have ended, so
	// that its term need not be waited for; nil means that none is.
	Ended func(holder string) bool
	// Alive reports whether another holder's process is known to run now, so that
	// the store need not be asked in each renewal; nil means that none is.
	Alive  func(holder string) bool
	Logger log.Logger

	term atomic.Pointer[term]
	// seen is the token of the last term that was read, of any holder.
	seen atomic.Uint64

	// The fields below belong to the goroutine of Run.

	// mine is the last state of the object that this process wrote, as far as
	// it knows; its version is zero if there is none.
	mine core.Object
	// other is the last state that another process wrote, and since the time
	// at which it was first read. read is the time of the last read.
	other core.Object
	since time.Time
	read  time.Time
	// pending maps the nonces of writes whose outcome is unknown to the times
	// before they were sent.
	pending map[string]time.Time
}

// term is a period of holding the lease.
type term struct {
	token uint64
	until time.Time
}

// Held returns the fencing token and whether this process holds the lease now.
func (l *Lease) Held() (token uint64, ok bool) {
	t := l.term.Load()
	if t == nil || !l.Clock.Now().Before(t.until) {
		return 0, false
	}
	return t.token, true
}

// LastToken returns the token of the last term of this process if no other process
// is known to have taken the lease since, also after the term has lapsed. It
// gives no exclusion: it is for holders whose work is fenced by the token.
func (l *Lease) LastToken() (token uint64, ok bool) {
	t := l.term.Load()
	if t == nil {
		return 0, false
	}
	return t.token, true
}

// HighestToken returns the token of the last term that this process has read of or
// held, zero if there is none.
func (l *Lease) HighestToken() uint64 { return l.seen.Load() }

// Run acquires and renews the lease until ctx ends, then releases it. It may
// be called once. It returns trace.BadParameter if a field is missing.
func (l *Lease) Run(ctx context.Context) error {
	if l.Store == nil || l.Name == "" || l.Holder == "" {
		return trace.BadParameter("lease: Store, Name and Holder must be set")
	}
	l.defaults()
	for {
		wait := l.RenewInterval
		if l.mayRest() {
			wait /= lookRatio
		} else if err := l.attempt(ctx); err != nil && ctx.Err() == nil {
			meter.Event("lease_errors")
			level.Debug(l.Logger).Log("msg", "lease attempt failed", "lease", l.Name, "err", err)
			wait /= retryRatio
		}
		if l.Clock.Sleep(ctx, wait) != nil {
			l.release(context.WithoutCancel(ctx))
			return nil
		}
	}
}

func (l *Lease) defaults() {
	if l.TTL <= 0 {
		l.TTL = defaultTTL
	}
	l.TTL = max(l.TTL.Truncate(time.Millisecond), time.Millisecond)
	if l.RenewInterval <= 0 {
		l.RenewInterval = l.TTL / renewRatio
	}
	if l.Clock == nil {
		l.Clock = clock.Real{}
	}
	if l.Logger == nil {
		l.Logger = log.NewNopLogger()
	}
	l.pending = map[string]time.Time{}
}

// mayRest reports whether another process is known to hold the lease and the
// store need not be asked yet.
func (l *Lease) mayRest() bool {
	if _, ok := l.Held(); ok || l.other.Version <= l.mine.Version {
		return false
	}
	if l.Ended != nil && l.Ended(l.other.Writer) {
		return false
	}
	rest := l.RenewInterval
	if l.Alive != nil && l.Alive(l.other.Writer) {
		rest *= aliveRatio
	}
	return l.Clock.Now().Sub(l.read) < rest-l.RenewInterval/(2*lookRatio)
}

// attempt renews the lease if it is held, and otherwise tries to acquire it.
func (l *Lease) attempt(ctx context.Context) error {
	if token, ok := l.Held(); ok {
		return l.write(ctx, token, l.mine.Version)
	}
	obj, err := l.get(ctx)
	switch {
	case trace.IsNotFound(err):
		return l.write(ctx, 0, 0)
	case err != nil:
		return err
	}
	l.observe(obj)
	if _, ok := l.Held(); ok {
		return nil // an earlier write turned out to have taken effect
	}
	// Nobody else has written since this process did, so there is no other
	// holder to wait for. The lapsed term still ends: the new one has a new
	// token.
	if obj.Version == l.mine.Version {
		return l.write(ctx, 0, obj.Version)
	}
	if l.Clock.Now().Sub(l.since) < l.ttl(obj) && (l.Ended == nil || !l.Ended(obj.Writer)) {
		return nil
	}
	return l.write(ctx, 0, obj.Version)
}

// ttl returns how long another holder's write is to be respected.
func (l *Lease) ttl(obj core.Object) time.Duration {
	var v wire.Lease
	if err := proto.Unmarshal(obj.Value, &v); err != nil {
		return l.TTL
	}
	return max(l.TTL, time.Duration(v.GetTtlMs())*time.Millisecond)
}

// write renews the lease under token or, if token is zero, acquires it. The
// object is created if version is zero.
func (l *Lease) write(ctx context.Context, token, version uint64) error {
	value, err := proto.Marshal(&wire.Lease{Holder: l.Holder, Token: token, TtlMs: uint64(l.TTL.Milliseconds())})
	if err != nil {
		return trace.Wrap(err)
	}
	obj := core.Object{
		Key: l.key(), Version: version, Writer: l.Holder, Nonce: uuid.NewString(), Value: value,
	}
	op := l.Store.Update
	if version == 0 {
		op = l.Store.Create
	}
	start := l.Clock.Now()
	// A write that takes effect later than the TTL gives no valid term, and is
	// then respected like that of another process.
	maps.DeleteFunc(l.pending, func(_ string, sent time.Time) bool { return start.Sub(sent) > l.TTL })
	l.pending[obj.Nonce] = start
	wctx, cancel := context.WithTimeout(ctx, l.RenewInterval)
	got, err := op(wctx, obj)
	cancel()
	if err == nil {
		l.adopt(got, start)
		return nil
	}
	// The write may have taken effect although it failed, and a mismatch may
	// be due to an earlier write of this process whose answer was lost. The
	// object tells.
	now, getErr := l.get(ctx)
	switch {
	case trace.IsNotFound(getErr):
		l.drop("the object is gone")
		l.mine = core.Object{}
		return nil
	case getErr != nil:
		return trace.NewAggregate(err, getErr)
	}
	l.observe(now)
	if trace.IsCompareFailed(err) || trace.IsAlreadyExists(err) {
		return nil
	}
	return err
}

func (l *Lease) get(ctx context.Context) (core.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, l.RenewInterval)
	defer cancel()
	l.read = l.Clock.Now()
	return l.Store.Get(ctx, l.key())
}

// observe takes note of the object as just read.
func (l *Lease) observe(obj core.Object) {
	start, ok := l.pending[obj.Nonce]
	switch {
	case obj.Version <= l.mine.Version: // unchanged, or a read from a lagging replica
	case ok && obj.Writer == l.Holder:
		l.adopt(obj, start)
	default:
		if obj.Version != l.other.Version {
			l.other, l.since = obj, l.Clock.Now()
			l.see(obj)
		}
		l.drop("another process has it")
	}
}

// adopt takes note that a write sent after start has taken effect.
func (l *Lease) adopt(obj core.Object, start time.Time) {
	var v wire.Lease
	if err := proto.Unmarshal(obj.Value, &v); err != nil || obj.Version < l.mine.Version {
		return
	}
	l.mine = obj
	// Earlier writes can no longer take effect, because they were conditional
	// on older versions.
	clear(l.pending)
	next := &term{token: v.GetToken(), until: start.Add(l.TTL - l.TTL/marginRatio)}
	if next.token == 0 {
		next.token = obj.Version
		meter.Event("lease_acquired")
		level.Info(l.Logger).Log("msg", "acquired lease", "lease", l.Name, "token", next.token)
	}
	l.seen.Store(max(l.seen.Load(), next.token))
	l.term.Store(next)
}

// see takes note of the token in another process's object. The first write of
// a term has none, and its version is the token.
func (l *Lease) see(obj core.Object) {
	var v wire.Lease
	if proto.Unmarshal(obj.Value, &v) != nil {
		return
	}
	l.seen.Store(max(l.seen.Load(), cmp.Or(v.GetToken(), obj.Version)))
}

// drop ends the term, if there is one.
func (l *Lease) drop(why string) {
	if t := l.term.Swap(nil); t != nil {
		meter.Event("lease_lost")
		level.Info(l.Logger).Log("msg", "lost lease", "lease", l.Name, "token", t.token, "reason", why)
	}
}

// release gives the lease up, so that another process need not wait.
func (l *Lease) release(ctx context.Context) {
	_, held := l.Held()
	l.drop("released")
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if _, err := l.Store.Delete(ctx, l.mine); err != nil {
		level.Debug(l.Logger).Log("msg", "lease was not released", "lease", l.Name, "err", err)
	}
}

func (l *Lease) key() core.Key { return core.Key{Kind: core.KindLease, Name: l.Name} }
