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
	// longPollWait is the maximum time that a watch call waits at the store for
	// changes. Each call waits up to a quarter less, at random. A lost response is
	// noticed a second after the wait, and changes must be in force 3 s after a loss.
	longPollWait = 1500 * time.Millisecond
	// minWatchInterval is the minimum time from the end of a watch call to the
	// start of the next.
	minWatchInterval = 150 * time.Millisecond
	// minBackoff and maxBackoff limit the backoff after a failed call. The delay is
	// 0.5 to 1.5 times the backoff, at random.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 1200 * time.Millisecond
	// watchCheckInterval is how often a gate that does not watch checks whether it
	// should.
	watchCheckInterval = 100 * time.Millisecond
)

// Watching reports whether this gate watches the store itself without failures.
func (v *View) Watching() bool {
	for i := range v.watching {
		if !v.watching[i].Load() {
			return false
		}
	}
	return true
}

// followKind lists one kind of objects and then watches it while ShouldWatch
// reports true.
func (v *View) followKind(ctx context.Context, kind core.Kind, watching *atomic.Bool) {
	var revision uint64
	listed := false
	backoff := minBackoff
	failing, resuming := false, false
	var lastWatch time.Time
	lastResponse := time.Now()
	for ctx.Err() == nil {
		if listed && v.ShouldWatch != nil && !v.ShouldWatch() {
			watching.Store(false)
			v.outage.Stop(time.Now())
			resuming = true
			_ = clock.Real{}.Sleep(ctx, watchCheckInterval)
			continue
		}
		var objects []core.Object
		var err error
		complete := !listed
		start := time.Now()
		if complete {
			objects, revision, err = v.Store.ListKind(ctx, kind)
		} else {
			var next uint64
			// The delay lets one call return several changes.
			_ = clock.Real{}.Sleep(ctx, minWatchInterval-time.Since(lastWatch))
			wait := longPollWait - time.Duration(rand.Int64N(int64(longPollWait/4)))
			if failing || resuming {
				// An immediate response shows other gates that this one watches.
				wait = 0
			}
			if resuming {
				// Peers have sent the changes meanwhile. All of them together may exceed the
				// size of a response.
				known := v.knownRevision(kind)
				if !failing {
					v.DecisionLog.Log("watch_started", "kind", kind, "from", revision, "known", known, "unheard", time.Since(lastResponse))
				}
				revision = max(revision, known)
			}
			if objects, next, err = v.Store.WatchKind(ctx, kind, revision, wait); err == nil {
				revision = next
			}
			lastWatch = time.Now()
		}
		switch {
		case ctx.Err() != nil:
			return
		case trace.IsCompareFailed(err):
			listed = false
			v.DecisionLog.Log("history_lost", "kind", kind, "revision", revision, "error", err)
			continue
		case err != nil:
			if !failing {
				v.DecisionLog.Log("store_lost", "kind", kind, "after", time.Since(start), "unheard", time.Since(lastResponse), "error", err)
			}
			failing = true
			watching.Store(false)
			meter.Event("store_errors")
			v.outage.Failure(start)
			_ = clock.Real{}.Sleep(ctx, backoff/2+time.Duration(rand.Int64N(int64(backoff))))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		if failing {
			v.DecisionLog.Log("store_regained", "kind", kind, "revision", revision, "unheard", time.Since(lastResponse))
		}
		lastResponse = time.Now()
		v.outage.Success(lastResponse)
		listed, failing, resuming, backoff = true, false, false, minBackoff
		watching.Store(true)
		if complete || len(objects) > 0 {
			upTo := revision
			v.enqueue(ctx, func() { v.apply(kind, objects, upTo, complete, "store", v.outage.LapseTime(time.Now())) })
		}
	}
}
