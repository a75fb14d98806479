package spread

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"
	"github.com/gravitational/trace"

	"parsleyroute.example/core/process/meter"
)

const (
	minBackoff = 250 * time.Millisecond
	// maxBackoff keeps the end of an outage from being noticed late: 18 watchers
	// at this interval make nine calls a second.
	maxBackoff = 2 * time.Second
	// maxRosterBackoff is that of nodes that are not watchers. It is longer,
	// because all of them read the list once the watchers cannot.
	maxRosterBackoff = time.Minute
	// idlePoll is how often a loop looks whether the node's role has changed.
	idlePoll = 500 * time.Millisecond
)

// backoff spaces the attempts of a failing call.
type backoff struct {
	rng   *rand.Rand
	fails int
}

// next returns the wait before the next attempt.
func (b *backoff) next(longest time.Duration) time.Duration {
	d := min(minBackoff<<min(b.fails, 16), longest)
	b.fails++
	return jitter(b.rng, d)
}

// watchLoop holds a watch at the store while the node is a watcher.
func (n *Node) watchLoop(ctx context.Context) {
	wait := backoff{rng: n.random("watch")}
	var from uint64
	for ctx.Err() == nil {
		if !n.IsWatcher() {
			from = 0
			_ = n.Clock.Sleep(ctx, idlePoll)
			continue
		}
		start := n.Clock.Now()
		var err error
		if from == 0 {
			from, err = n.relist(ctx)
		} else {
			from, err = n.watch(ctx, from)
		}
		if err != nil {
			n.failed(ctx, "store", &wait, err)
			_ = n.Clock.Sleep(ctx, wait.next(maxBackoff))
			continue
		}
		n.recovered("store", &wait)
		if rest := n.MinWatchInterval - n.Clock.Now().Sub(start); rest > 0 {
			_ = n.Clock.Sleep(ctx, rest)
		}
	}
}

// watch waits for changes after revision from, and returns the revision from
// which to go on; zero if the store no longer knows it.
func (n *Node) watch(ctx context.Context, from uint64) (uint64, error) {
	wctx, cancel := context.WithTimeout(ctx, n.WatchTimeout)
	defer cancel()
	objects, err := n.Store.Watch(wctx, from, n.Kinds...)
	switch {
	case err == nil:
	case wctx.Err() != nil:
		return from, nil
	case trace.IsConnectionProblem(err), trace.IsLimitExceeded(err):
		return from, err
	default:
		return 0, err
	}
	for _, obj := range objects {
		from = max(from, obj.Version)
	}
	return from, n.do(ctx, func(o *owner) { o.accept(objects, origin{store: true}) })
}

// relistLoop relists at intervals while the node is a watcher, in case the
// watch has missed something.
func (n *Node) relistLoop(ctx context.Context) {
	rng := n.random("relist")
	for n.Clock.Sleep(ctx, jitter(rng, n.relistPeriod())) == nil {
		if n.IsWatcher() {
			if _, err := n.relist(ctx); err != nil {
				meter.Event("control_store_errors")
			}
		}
	}
}

const (
	// relistRate bounds the bytes a second that relists read. At 10,000 objects
	// a relist each minute would take 55 KB/s of the 26 KB/s that a node may
	// spend on control.
	relistRate = 5000
	// objectOverhead is the part of an object on the wire beside its value.
	objectOverhead = 160
)

// relistPeriod returns the time between relists, which grows with the size of
// the last one.
func (n *Node) relistPeriod() time.Duration {
	return max(n.MinRelistInterval, time.Duration(n.listed.Load())*time.Second/relistRate)
}

// relist merges a full list from the store and returns its revision.
func (n *Node) relist(ctx context.Context) (uint64, error) {
	lctx, cancel := context.WithTimeout(ctx, n.StoreTimeout)
	defer cancel()
	objects, revision, err := n.Store.List(lctx, n.Kinds...)
	if err != nil {
		return 0, err
	}
	size := 0
	for _, obj := range objects {
		size += len(obj.Value)*4/3 + objectOverhead
	}
	n.listed.Store(int64(size))
	return revision, n.do(ctx, func(o *owner) { o.relist(objects, revision) })
}

// rosterLoop reads the instance list: a watcher at intervals, another node
// when it has had no news of the list for long.
func (n *Node) rosterLoop(ctx context.Context) {
	if n.Lister == nil {
		return
	}
	rng := n.random("roster")
	wait := backoff{rng: rng}
	var last time.Time
	for ctx.Err() == nil {
		// The wait after the last read also holds if the answer was older than
		// what the node has.
		now, due := n.Clock.Now(), last
		if !last.IsZero() {
			due = last.Add(n.RosterInterval)
		}
		if st := n.current(); !n.IsWatcher() && st.roster.revision != 0 {
			due = later(due, st.seen.Add(jitter(rng, n.RosterMaxAge)))
		}
		if rest := due.Sub(now); rest > 0 {
			_ = n.Clock.Sleep(ctx, min(rest, idlePoll))
			continue
		}
		if err := n.readRoster(ctx); err != nil {
			n.failed(ctx, "instance list", &wait, err)
			longest := maxRosterBackoff
			if n.IsWatcher() {
				longest = maxBackoff
			}
			_ = n.Clock.Sleep(ctx, wait.next(longest))
			continue
		}
		n.recovered("instance list", &wait)
		last = now
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (n *Node) readRoster(ctx context.Context) error {
	lctx, cancel := context.WithTimeout(ctx, n.RosterMaxAge)
	defer cancel()
	instances, revision, err := n.Lister.Instances(lctx)
	if err != nil {
		return err
	}
	return n.do(ctx, func(o *owner) { o.list(instances, revision) })
}

// failed counts a failure of the platform and logs the first of a row.
func (n *Node) failed(ctx context.Context, what string, wait *backoff, err error) {
	if ctx.Err() != nil {
		return
	}
	meter.Event("control_store_errors")
	if wait.fails == 0 {
		level.Warn(n.Logger).Log("msg", what+" does not answer", "err", err)
	}
}

func (n *Node) recovered(what string, wait *backoff) {
	if wait.fails > 0 {
		level.Info(n.Logger).Log("msg", what+" answers again", "failures", wait.fails)
	}
	wait.fails = 0
}
