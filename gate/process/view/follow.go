package view

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"parsleyroute.example/core/process/clock"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
)

const (
	// watchWait is how long a watch waits at the store. It bounds the time for
	// which a watch whose connection has gone silent goes unnoticed.
	watchWait = 5 * time.Second
	// watchSpacing is the least time between the answer of a watch and the next.
	watchSpacing = 150 * time.Millisecond
	// firstBackoff and longestBackoff bound the wait after a failed call.
	firstBackoff   = 100 * time.Millisecond
	longestBackoff = 1200 * time.Millisecond
	// leadPeriod is how often a gate that does not watch looks whether it should.
	leadPeriod = 100 * time.Millisecond
)

// Watching reports whether this gate follows the store itself without failures.
func (v *View) Watching() bool {
	for i := range v.watching {
		if !v.watching[i].Load() {
			return false
		}
	}
	return true
}

// follow reads one kind whole and then watches it while this gate leads.
func (v *View) follow(ctx context.Context, kind core.Kind, watching *atomic.Bool) {
	var at uint64
	listed := false
	backoff := firstBackoff
	failing := false
	var watched time.Time
	for ctx.Err() == nil {
		if listed && v.ShouldWatch != nil && !v.ShouldWatch() {
			watching.Store(false)
			_ = clock.Real{}.Sleep(ctx, leadPeriod)
			continue
		}
		var objects []core.Object
		var err error
		whole := !listed
		start := time.Now()
		if whole {
			objects, at, err = v.Feed.ListKind(ctx, kind)
		} else {
			var next uint64
			watching.Store(!failing)
			// Changes that come together are read with one call.
			_ = clock.Real{}.Sleep(ctx, watchSpacing-time.Since(watched))
			wait := watchWait - time.Duration(rand.Int64N(int64(watchWait/4)))
			if objects, next, err = v.Feed.WatchKind(ctx, kind, at, wait); err == nil {
				at = next
			}
			watched = time.Now()
		}
		switch {
		case ctx.Err() != nil:
			return
		case trace.IsCompareFailed(err):
			listed = false
			v.Trail.Log("history_lost", "kind", kind, "revision", at)
			continue
		case err != nil:
			if !failing {
				v.Trail.Log("store_lost", "kind", kind, "after", time.Since(start), "error", err)
			}
			failing = true
			watching.Store(false)
			meter.Event("store_errors")
			v.do(ctx, func() { v.trouble = time.Now() })
			_ = clock.Real{}.Sleep(ctx, backoff/2+time.Duration(rand.Int64N(int64(backoff))))
			backoff = min(2*backoff, longestBackoff)
			continue
		}
		if failing {
			v.Trail.Log("store_regained", "kind", kind, "revision", at)
		}
		listed, failing, backoff = true, false, firstBackoff
		watching.Store(true)
		if whole || len(objects) > 0 {
			revision := at
			v.do(ctx, func() { v.apply(kind, objects, revision, whole, "store") })
		}
	}
}
