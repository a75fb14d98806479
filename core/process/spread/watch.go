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
	// maxBackoff is short so that the end of an outage is noticed soon: 18
	// watchers at this interval make nine calls a second.
	maxBackoff = 2 * time.Second
	// maxRosterBackoff applies to nodes that are not watchers. It is longer
	// because all of them read the list if the watchers cannot.
	maxRosterBackoff = time.Minute
	// rolePollInterval is the time between checks of whether the node has become
	// or ceased to be a watcher.
	rolePollInterval = 500 * time.Millisecond
)

// backoff computes exponentially growing delays between failing calls.
type backoff struct {
	rng      *rand.Rand
	failures int
}

// next returns the delay before the next attempt.
func (b *backoff) next(maxDelay time.Duration) time.Duration {
	d := min(minBackoff<<min(b.failures, 16), maxDelay)
	b.failures++
	return jitter(b.rng, d)
}

// watchLoop watches the store while the node is a watcher.
func (n *Node) watchLoop(ctx context.Context) {
	retry := backoff{rng: n.newRand("watch")}
	var from uint64
	for ctx.Err() == nil {
		if !n.IsWatcher() {
			from = 0
			_ = n.Clock.Sleep(ctx, rolePollInterval)
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
			n.recordFailure(ctx, "store", &retry, err)
			_ = n.Clock.Sleep(ctx, retry.next(maxBackoff))
			continue
		}
		n.recordRecovery("store", &retry)
		if remaining := n.MinWatchInterval - n.Clock.Now().Sub(start); remaining > 0 {
			_ = n.Clock.Sleep(ctx, remaining)
		}
	}
}

// watch waits for changes after revision from and merges them. It returns the
// revision for the next watch, or zero if a full list is needed first.
func (n *Node) watch(ctx context.Context, from uint64) (uint64, error) {
	watchCtx, cancel := context.WithTimeout(ctx, n.WatchTimeout)
	defer cancel()
	objects, err := n.Store.Watch(watchCtx, from, n.Kinds...)
	switch {
	case err == nil:
	case watchCtx.Err() != nil:
		return from, nil
	case trace.IsConnectionProblem(err), trace.IsLimitExceeded(err):
		return from, err
	default:
		return 0, err
	}
	for _, obj := range objects {
		from = max(from, obj.Version)
	}
	return from, n.runOnOwner(ctx, func(o *owner) { o.merge(objects, origin{fromStore: true}) })
}

// relistLoop lists the store at intervals while the node is a watcher, in case
// the watch has missed a change.
func (n *Node) relistLoop(ctx context.Context) {
	rng := n.newRand("relist")
	for n.Clock.Sleep(ctx, jitter(rng, n.relistInterval())) == nil {
		if n.IsWatcher() {
			if _, err := n.relist(ctx); err != nil {
				meter.Event("control_store_errors")
			}
		}
	}
}

const (
	// relistBytesPerSecond limits the average rate at which full lists are read.
	// With 10,000 objects, a list each minute would take 55 KB/s, more than the
	// 26 KB/s that a node may use for control traffic.
	relistBytesPerSecond = 5000
	// objectOverheadBytes is the encoded size of an object without its value.
	objectOverheadBytes = 160
)

// relistInterval returns the time between full lists, which grows with the size
// of the last one.
func (n *Node) relistInterval() time.Duration {
	return max(n.MinRelistInterval, time.Duration(n.lastListBytes.Load())*time.Second/relistBytesPerSecond)
}

// relist reads and merges a full list of the store and returns its revision.
func (n *Node) relist(ctx context.Context) (uint64, error) {
	listCtx, cancel := context.WithTimeout(ctx, n.StoreTimeout)
	defer cancel()
	objects, revision, err := n.Store.List(listCtx, n.Kinds...)
	if err != nil {
		return 0, err
	}
	bytes := 0
	for _, obj := range objects {
		bytes += len(obj.Value)*4/3 + objectOverheadBytes
	}
	n.lastListBytes.Store(int64(bytes))
	return revision, n.runOnOwner(ctx, func(o *owner) { o.mergeList(objects, revision) })
}

// rosterLoop reads the instance list: at intervals if the node is a watcher, and
// otherwise when its list is older than RosterMaxAge.
func (n *Node) rosterLoop(ctx context.Context) {
	if n.Lister == nil {
		return
	}
	rng := n.newRand("roster")
	retry := backoff{rng: rng}
	var lastRead time.Time
	for ctx.Err() == nil {
		// RosterInterval also applies if the last read returned an older list
		// than the node's own.
		now, due := n.Clock.Now(), lastRead
		if !lastRead.IsZero() {
			due = lastRead.Add(n.RosterInterval)
		}
		if st := n.current(); !n.IsWatcher() && st.roster.revision != 0 {
			due = later(due, st.rosterReadAt.Add(jitter(rng, n.RosterMaxAge)))
		}
		if remaining := due.Sub(now); remaining > 0 {
			_ = n.Clock.Sleep(ctx, min(remaining, rolePollInterval))
			continue
		}
		if err := n.readRoster(ctx); err != nil {
			n.recordFailure(ctx, "instance list", &retry, err)
			maxDelay := maxRosterBackoff
			if n.IsWatcher() {
				maxDelay = maxBackoff
			}
			_ = n.Clock.Sleep(ctx, retry.next(maxDelay))
			continue
		}
		n.recordRecovery("instance list", &retry)
		lastRead = now
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (n *Node) readRoster(ctx context.Context) error {
	listCtx, cancel := context.WithTimeout(ctx, n.RosterMaxAge)
	defer cancel()
	instances, revision, err := n.Lister.Instances(listCtx)
	if err != nil {
		return err
	}
	return n.runOnOwner(ctx, func(o *owner) { o.mergeInstances(instances, revision) })
}

// recordFailure counts a failed call to the platform and logs the first of
// consecutive failures.
func (n *Node) recordFailure(ctx context.Context, source string, retry *backoff, err error) {
	if ctx.Err() != nil {
		return
	}
	meter.Event("control_store_errors")
	if retry.failures == 0 {
		level.Warn(n.Logger).Log("msg", source+" does not answer", "err", err)
	}
}

func (n *Node) recordRecovery(source string, retry *backoff) {
	if retry.failures > 0 {
		level.Info(n.Logger).Log("msg", source+" answers again", "failures", retry.failures)
	}
	retry.failures = 0
}
