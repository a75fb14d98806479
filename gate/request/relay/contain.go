package relay

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/gate/process/fleet"
	"parsleyroute.example/gate/process/policy"
)

const (
	// crashCheckTimeout limits the check whether an upstream still accepts
	// connections.
	crashCheckTimeout = 150 * time.Millisecond
	// minCrashSilence is the time without anything from an upstream after which a request
	// that ends otherwise, since its caller has left or its time is over, may have crashed
	// the upstream. Callers stop waiting after 2 s.
	minCrashSilence = 900 * time.Millisecond
	// successEvents is the number of events after which an upstream has responded
	// beyond the beginning.
	successEvents = 2
	// maxCrashedSends is the number of upstreams that may crash with a request before it
	// is not sent again.
	maxCrashedSends = 2
)

// partKeys returns the keys of the shared parts of the request's prompt. A part that
// crashes the upstreams of one pool may be harmless in another.
func (t *transaction) partKeys() []uint64 {
	keys := make([]uint64, 0, len(t.info.PromptParts))
	for _, part := range t.info.PromptParts {
		keys = append(keys, xxhash.Sum64String(t.pool.Name+"/"+part))
	}
	return keys
}

// refuseContained writes the final response of a request that would probably crash
// its upstream, and reports whether it is one.
func (t *transaction) refuseContained(ctx context.Context) bool {
	if len(t.parts) == 0 || t.trial {
		return false
	}
	now := time.Now()
	v := t.relay.Containment.Check(now, policy.Request{Parts: t.parts, Returned: t.returned()}, t.relay.position())
	if !v.Contained && !v.Trial {
		return false
	}
	t.log("crash_suspect", "contained", v.Contained, "trial", v.Trial, "part", partName(v.Part), "outages", v.Outages, "until", v.Until.Sub(now))
	switch {
	case v.Trial:
		t.trial = true
		return false
	case t.mayHaveRun:
		t.fail(ctx, core.ReasonContained, "the upstream crashed on the request")
	default:
		t.refuse(fasthttp.StatusServiceUnavailable, core.ReasonContained, "upstreams have crashed on requests with a part of this prompt", v.Until.Sub(now))
	}
	return true
}

// releaseRefused refuses a request that got an upstream after it had waited, if it would
// crash the upstream or be cut off by a shutdown that has begun since. It then returns the
// upstream's slot.
func (t *transaction) releaseRefused(ctx context.Context, u *fleet.Upstream) bool {
	if !t.refuseDraining(ctx) && !t.refuseContained(ctx) {
		return false
	}
	t.relay.Picker.Fleet.EndRequest(time.Now(), u, fleet.Inconclusive)
	t.poolState.queue.Grant()
	return true
}

// partName returns a part's key as it is logged.
func partName(key uint64) string { return strconv.FormatUint(key, 16) }

// observeLoss records that the upstream of a lost request has crashed, if it no longer
// accepts connections. If it does, the loss is kept until a restart of the upstream shows
// a crash. What has arrived of the response says little, since the upstream may crash
// before it has sent the header or after the first event; more events clear the request.
func (t *transaction) observeLoss(ctx context.Context, u *fleet.Upstream, res attemptResult) {
	loss, ok := t.lossOf(ctx, u, res)
	if ok && t.relay.checkCrash(u, loss, []any{"request", t.info.AttemptID, "responding", res.responding, "events", res.events, "parts", t.info.PromptParts}) {
		t.crashes++
	}
}

// lossOf returns the crash that the upstream of a lost request may have had, and false if
// the request is not suspect.
func (t *transaction) lossOf(ctx context.Context, u *fleet.Upstream, res attemptResult) (policy.Crash, bool) {
	if len(t.parts) == 0 || res.sent.IsZero() || res.events >= successEvents {
		return policy.Crash{}, false
	}
	ended := t.timedOut(ctx) || t.inbound.Context().Err() != nil
	if ended && time.Since(u.LastHeard(res.sent)) < minCrashSilence {
		return policy.Crash{}, false
	}
	return policy.Crash{
		ID: xxhash.Sum64String(t.info.AttemptID + "/" + u.ID), Upstream: crashKey(u), Parts: t.parts, Sent: res.sent, At: time.Now(),
	}, true
}

// checkCrash records a loss as a crash if the upstream has ended without notice, which it
// reports.
func (r *Relay) checkCrash(u *fleet.Upstream, loss policy.Crash, fields []any) bool {
	state := r.Picker.Fleet.ProcessState(u)
	if state == fleet.ProcessLeaving {
		// An upstream that leaves ends on purpose.
		return false
	}
	if state == fleet.ProcessListed && acceptsConnections(u) {
		r.Containment.ObserveLoss(loss)
		return false
	}
	if r.Containment.Observe(loss) {
		r.logCrash(u, "lost", loss, fields...)
		r.announceCrash(loss)
	}
	return true
}

// crashKey identifies a process in crashes.
func crashKey(u *fleet.Upstream) uint64 { return u.Key ^ uint64(u.StartTime) }

// ConfirmCrash records that an upstream has ended without notice, since another process
// runs in its place.
func (r *Relay) ConfirmCrash(u *fleet.Upstream) {
	if r.Picker.Fleet.ProcessState(u) == fleet.ProcessLeaving {
		return
	}
	crashes := r.Containment.ConfirmCrash(time.Now(), crashKey(u))
	for _, k := range crashes {
		r.logCrash(u, "restarted", k, "loss_age", time.Since(k.At))
		r.announceCrash(k)
	}
}

// announceCrash tells the other gates of a crash at once, if it has a probable cause. Others
// are in the next heartbeats.
func (r *Relay) announceCrash(k policy.Crash) {
	if r.Containment.HasCause(k) {
		r.notifyContainment()
	}
}

// logCrash logs a crash. evidence says what shows it.
func (r *Relay) logCrash(u *fleet.Upstream, evidence string, k policy.Crash, fields ...any) {
	meter.Event("upstream_crashes")
	r.DecisionLog.Log("upstream_crashed", append([]any{"upstream", u.ID, "evidence", evidence, "crash", k.ID, "since_sent", k.At.Sub(k.Sent)}, fields...)...)
}

// acceptsConnections reports whether the upstream accepts a new connection, or may do
// so but has too many.
func acceptsConnections(u *fleet.Upstream) bool {
	// The request may have ended.
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	c, _, err := u.Conns.Get(ctx, 0)
	if err == nil {
		c.Close()
	}
	return err == nil || trace.IsLimitExceeded(err)
}

// recordSuccess records that an upstream responds to the request beyond the beginning.
func (t *transaction) recordSuccess(now time.Time) {
	if len(t.parts) > 0 && t.relay.Containment.Success(now, t.parts...) {
		t.relay.notifyContainment()
	}
}

func (r *Relay) position() policy.Position {
	if r.Position != nil {
		return r.Position()
	}
	return policy.Position{Gates: 1}
}

func (r *Relay) notifyContainment() {
	if r.OnContainmentChange != nil {
		r.OnContainmentChange()
	}
}
