package lease

import (
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
	// marginDivisor sets the fraction of the TTL by which a term ends early. It
	// allows for clocks whose rates differ.
	marginDivisor = 10
	// renewalsPerTTL allows three failed renewals within the TTL.
	renewalsPerTTL = 4
	// retryDivisor is the factor by which attempts are more frequent after a
	// failure.
	retryDivisor = 4
	// checksPerRenewal is the number of times per renewal interval that a
	// contender checks whether the holder has ended, without a call to the store.
	checksPerRenewal = 4
	// renewalsPerRead is the number of renewal intervals between the reads of a
	// contender that knows that the holder is running.
	renewalsPerRead = 3
	// releaseTimeout limits the release when Run ends.
	releaseTimeout = time.Second
)

// Lease is one contender for a lease. Its exported fields are set before Run
// and not changed afterwards.
type Lease struct {
	Store core.Store
	// Clock defaults to the system clock.
	Clock core.Clock
	// Name is the name of the lease's object.
	Name string
	// Holder is the unique name of this process among the contenders.
	Holder string
	// TTL is the time without renewal after which other contenders may acquire
	// the lease; default 10 s. It is stored in whole milliseconds.
	TTL time.Duration
	// RenewInterval is the time between attempts to renew or acquire the lease,
	// and the timeout of each call to the store; default TTL/4.
	RenewInterval time.Duration
	// Ended reports whether the process of another holder is known to have ended,
	// so that the lease can be acquired before the TTL has passed. If it is nil,
	// no process is known to have ended.
	Ended func(holder string) bool
	// Alive reports whether the process of another holder is known to be running,
	// so that the lease is read less often. If it is nil, no process is known to
	// be running.
	Alive func(holder string) bool
	// Era returns the latest era of the store that is known (see core.NewVersion); nil
	// means that the store never comes back from a copy.
	Era func() uint64
	// Fenced is set if the receivers of the holder's requests refuse outdated tokens, so
	// that a holder of a lost era does no harm.
	Fenced bool
	Logger log.Logger

	term atomic.Pointer[term]
	// highestToken is the highest token held by this process or read from the
	// store.
	highestToken atomic.Uint64

	// Only the goroutine of Run uses the fields below.

	// lastOwn is the last version of the object that this process is known to
	// have written; its version number is zero if there is none.
	lastOwn core.Object
	// lastOther is the last version of the object by another process, and
	// otherSince the time at which it was first read. lastRead is the time of the
	// last read.
	lastOther  core.Object
	otherSince time.Time
	lastRead   time.Time
	// pendingWrites maps the nonce of each write whose outcome is unknown to when it was
	// sent.
	pendingWrites map[string]pendingWrite
	// era is the store's era that this process acts in, and eraSince the time since which it
	// is known, zero before the first response. eraChanged is set if this process has seen
	// another era before.
	era        uint64
	eraSince   time.Time
	eraChanged bool
}

// pendingWrite is the time just before a write was sent, and the era that was known then.
type pendingWrite struct {
	sent time.Time
	era  uint64
}

// term is a period in which this process holds the lease.
type term struct {
	token      uint64
	validUntil time.Time
}

// Held returns the fencing token and whether this process currently holds the
// lease.
func (l *Lease) Held() (token uint64, ok bool) {
	t := l.term.Load()
	if t == nil || !l.Clock.Now().Before(t.validUntil) {
		return 0, false
	}
	return t.token, true
}

// LastToken returns the token of the last term of this process, even if the term
// has expired, unless another process is known to have acquired the lease since.
// It does not ensure that this process is the only holder: use it only for
// requests that receivers check against the fencing token.
func (l *Lease) LastToken() (token uint64, ok bool) {
	t := l.term.Load()
	if t == nil {
		return 0, false
	}
	return t.token, true
}

// HighestToken returns the highest token that this process has held or read from
// the store, or zero if there is none.
func (l *Lease) HighestToken() uint64 { return l.highestToken.Load() }

// Run acquires and renews the lease until ctx ends, then releases it. It may
// be called once. It returns trace.BadParameter if a field is missing.
func (l *Lease) Run(ctx context.Context) error {
	if l.Store == nil || l.Name == "" || l.Holder == "" {
		return trace.BadParameter("lease: Store, Name and Holder must be set")
	}
	l.setDefaults()
	for {
		if !l.eraSince.IsZero() {
			l.noticeEra(nil)
		}
		wait := l.RenewInterval
		if l.canSkipAttempt() {
			wait /= checksPerRenewal
		} else if err := l.attempt(ctx); err != nil && ctx.Err() == nil {
			meter.Event("lease_errors")
			level.Debug(l.Logger).Log("msg", "lease attempt failed", "lease", l.Name, "err", err)
			wait /= retryDivisor
		}
		if l.Clock.Sleep(ctx, wait) != nil {
			l.release(context.WithoutCancel(ctx))
			return nil
		}
	}
}

func (l *Lease) setDefaults() {
	if l.TTL <= 0 {
		l.TTL = defaultTTL
	}
	l.TTL = max(l.TTL.Truncate(time.Millisecond), time.Millisecond)
	if l.RenewInterval <= 0 {
		l.RenewInterval = l.TTL / renewalsPerTTL
	}
	if l.Clock == nil {
		l.Clock = clock.Real{}
	}
	if l.Logger == nil {
		l.Logger = log.NewNopLogger()
	}
	l.pendingWrites = map[string]pendingWrite{}
}

// noticeEra records the era of the store, after a call that ended with the given error. The
// first era is that of the first response.
func (l *Lease) noticeEra(err error) {
	if l.Era == nil || l.eraSince.IsZero() && trace.IsConnectionProblem(err) {
		return
	}
	era := l.Era()
	if era <= l.era && !l.eraSince.IsZero() {
		return
	}
	l.eraChanged = !l.eraSince.IsZero()
	if l.era, l.eraSince = era, l.Clock.Now(); l.eraChanged {
		meter.Event("lease_eras")
		level.Info(l.Logger).Log("msg", "the store has come back from a copy", "lease", l.Name, "era", era)
	}
}

// mayHaveLostHolder reports whether the store may have come back from a copy less than the
// TTL ago, so that a process that it no longer knows of may still hold the lease.
func (l *Lease) mayHaveLostHolder() bool {
	return l.era > 0 && l.Clock.Now().Sub(l.eraSince) < l.TTL
}

// isEnded reports whether another holder is known to have ended and no process that the
// store has lost can hold the lease. A process that has just started does not know since
// when the store has been in its era; it only waits if the lease is not fenced.
func (l *Lease) isEnded(holder string) bool {
	if l.Ended == nil || !l.Ended(holder) {
		return false
	}
	return !l.mayHaveLostHolder() || l.Fenced && !l.eraChanged
}

// canSkipAttempt reports whether another process is known to hold the lease and
// the lease was read recently enough.
func (l *Lease) canSkipAttempt() bool {
	if _, ok := l.Held(); ok || l.lastOther.Version <= l.lastOwn.Version {
		return false
	}
	if core.Era(l.lastOther.Version) != l.era || l.isEnded(l.lastOther.Writer) {
		return false
	}
	readInterval := l.RenewInterval
	if l.Alive != nil && l.Alive(l.lastOther.Writer) {
		readInterval *= renewalsPerRead
	}
	// Half of the time between two checks is subtracted, so that the check nearest
	// to the end of readInterval reads the lease.
	return l.Clock.Now().Sub(l.lastRead) < readInterval-l.RenewInterval/(2*checksPerRenewal)
}

// attempt renews the lease if it is held, and otherwise tries to acquire it.
func (l *Lease) attempt(ctx context.Context) error {
	token, held := l.Held()
	if held && core.Era(l.lastOwn.Version) == l.era {
		return l.write(ctx, token, l.lastOwn.Version)
	}
	obj, err := l.readObject(ctx)
	l.noticeEra(err)
	switch {
	case trace.IsNotFound(err):
		if !held && l.mayHaveLostHolder() {
			return nil
		}
		return l.write(ctx, 0, 0)
	case err != nil:
		return err
	case held && core.Era(obj.Version) == l.era && !l.isPending(obj):
		// The store has lost the lease of this process. Any other contender waits for the
		// TTL, in which this term ends, so that the object is from the copy.
		return l.write(ctx, 0, obj.Version)
	}
	l.recordRead(obj)
	if _, ok := l.Held(); ok {
		return nil // an earlier write with unknown outcome has taken effect
	}
	// No other process has written since this one did, so there is no other
	// holder to wait for. The expired term is not extended: the new term has a
	// new token.
	if obj.Version == l.lastOwn.Version {
		return l.write(ctx, 0, obj.Version)
	}
	if isReleased(obj) && !l.mayHaveLostHolder() {
		return l.write(ctx, 0, obj.Version)
	}
	if l.Clock.Now().Sub(l.otherSince) < l.observedTTL(obj) && !l.isEnded(obj.Writer) {
		return nil
	}
	return l.write(ctx, 0, obj.Version)
}

// isPending reports whether an object was written by a call of this process whose outcome
// was unknown, in the same era. A call that was sent in an earlier era may take effect in a
// later one, beside the lease of another process.
func (l *Lease) isPending(obj core.Object) bool {
	w, ok := l.pendingWrites[obj.Nonce]
	return ok && obj.Writer == l.Holder && w.era == core.Era(obj.Version)
}

// isReleased reports whether the holder has released the lease.
func isReleased(obj core.Object) bool {
	var v wire.Lease
	return proto.Unmarshal(obj.Value, &v) == nil && v.GetHolder() == ""
}

// observedTTL returns the time for which another holder's write excludes this
// process.
func (l *Lease) observedTTL(obj core.Object) time.Duration {
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
	writeFunc := l.Store.Update
	if version == 0 {
		writeFunc = l.Store.Create
	}
	start := l.Clock.Now()
	// A write that takes effect after more than the TTL yields no valid term; it
	// is then treated as a write of another process.
	maps.DeleteFunc(l.pendingWrites, func(_ string, w pendingWrite) bool { return start.Sub(w.sent) > l.TTL })
	era := l.era
	l.pendingWrites[obj.Nonce] = pendingWrite{sent: start, era: era}
	writeCtx, cancel := context.WithTimeout(ctx, l.RenewInterval)
	written, err := writeFunc(writeCtx, obj)
	cancel()
	l.noticeEra(err)
	if err == nil {
		l.recordRead(written)
		return nil
	}
	if l.era != era {
		// What the store has now does not tell whether the lease was taken over. The next
		// attempt acts in the new era.
		return err
	}
	// The write may have taken effect although the call failed, and a version
	// mismatch may be due to an earlier write of this process whose response was
	// lost. Reading the object resolves both cases.
	current, readErr := l.readObject(ctx)
	l.noticeEra(readErr)
	switch {
	case trace.IsNotFound(readErr):
		l.endTerm("the object was deleted")
		l.lastOwn = core.Object{}
		return nil
	case readErr != nil:
		return trace.NewAggregate(err, readErr)
	}
	l.recordRead(current)
	if trace.IsCompareFailed(err) || trace.IsAlreadyExists(err) {
		return nil
	}
	return err
}

func (l *Lease) readObject(ctx context.Context) (core.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, l.RenewInterval)
	defer cancel()
	l.lastRead = l.Clock.Now()
	return l.Store.Get(ctx, l.key())
}

// recordRead updates the state from the object that was just read.
func (l *Lease) recordRead(obj core.Object) {
	switch {
	case obj.Version <= l.lastOwn.Version: // unchanged, or a read from a lagging replica
	case l.isPending(obj):
		l.recordOwnWrite(obj, l.pendingWrites[obj.Nonce].sent)
	default:
		if obj.Version != l.lastOther.Version {
			l.lastOther, l.otherSince = obj, l.Clock.Now()
			l.recordToken(obj)
		}
		l.endTerm("another process holds it")
	}
}

// recordOwnWrite starts or extends the term after a write of this process, which
// was sent no earlier than sent, has taken effect.
func (l *Lease) recordOwnWrite(obj core.Object, sent time.Time) {
	var v wire.Lease
	if err := proto.Unmarshal(obj.Value, &v); err != nil || obj.Version < l.lastOwn.Version {
		return
	}
	l.lastOwn = obj
	// Earlier writes can no longer take effect, because they were conditional
	// on older versions.
	clear(l.pendingWrites)
	next := &term{token: tokenOf(obj, &v), validUntil: sent.Add(l.TTL - l.TTL/marginDivisor)}
	if next.token == obj.Version {
		meter.Event("lease_acquired")
		level.Info(l.Logger).Log("msg", "acquired lease", "lease", l.Name, "token", next.token)
	}
	l.highestToken.Store(max(l.highestToken.Load(), next.token))
	l.term.Store(next)
}

// recordToken updates the highest token from an object of another process.
func (l *Lease) recordToken(obj core.Object) {
	var v wire.Lease
	if proto.Unmarshal(obj.Value, &v) != nil {
		return
	}
	l.highestToken.Store(max(l.highestToken.Load(), tokenOf(obj, &v)))
}

// tokenOf returns the token of the term to which a write belongs. The first write of a term
// contains no token; its version is the token. So it is for a write that names a token of a
// lost era, which may have been given out to other holders since.
func tokenOf(obj core.Object, v *wire.Lease) uint64 {
	if t := v.GetToken(); t != 0 && core.Era(t) == core.Era(obj.Version) {
		return t
	}
	return obj.Version
}

// endTerm ends the current term, if there is one.
func (l *Lease) endTerm(reason string) {
	if t := l.term.Swap(nil); t != nil {
		meter.Event("lease_lost")
		level.Info(l.Logger).Log("msg", "lost lease", "lease", l.Name, "token", t.token, "reason", reason)
	}
}

// release ends the term and deletes the object, so that another process need not
// wait for the TTL. If the store has come back from a copy before, it writes an object
// without a holder instead: a missing one may be lost.
func (l *Lease) release(ctx context.Context) {
	_, held := l.Held()
	l.endTerm("released")
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if core.Era(l.lastOwn.Version) > 0 {
		value, err := proto.Marshal(&wire.Lease{TtlMs: uint64(l.TTL.Milliseconds())})
		if err == nil {
			_, err = l.Store.Update(ctx, core.Object{Key: l.key(), Version: l.lastOwn.Version, Writer: l.Holder, Nonce: uuid.NewString(), Value: value})
		}
		if err != nil {
			level.Debug(l.Logger).Log("msg", "failed to release lease", "lease", l.Name, "err", err)
		}
		return
	}
	if _, err := l.Store.Delete(ctx, l.lastOwn); err != nil {
		level.Debug(l.Logger).Log("msg", "failed to release lease", "lease", l.Name, "err", err)
	}
}

func (l *Lease) key() core.Key { return core.Key{Kind: core.KindLease, Name: l.Name} }
