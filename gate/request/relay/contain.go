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
	// crashOnset is the time after the response header in which an upstream crashes
	// that cannot respond to a prompt. Responses that are lost later end for another
	// reason: those of other ranks of the group end 1.5 s after a crash.
	crashOnset = 700 * time.Millisecond
	// crashCheckTimeout limits the check whether an upstream still accepts
	// connections.
	crashCheckTimeout = 150 * time.Millisecond
	// successEvents is the number of events after which an upstream has responded
	// beyond the beginning.
	successEvents = 2
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

// releaseContained does the same for a request that got an upstream after it had
// waited, and returns the upstream's slot.
func (t *transaction) releaseContained(ctx context.Context, u *fleet.Upstream) bool {
	if !t.refuseContained(ctx) {
		return false
	}
	t.relay.Picker.Fleet.EndRequest(time.Now(), u, fleet.Inconclusive)
	t.poolState.queue.Grant()
	return true
}

// partName returns a part's key as it is logged.
func partName(key uint64) string { return strconv.FormatUint(key, 16) }

// observeLoss records a crash if the upstream has just begun to respond and no longer
// accepts connections.
func (t *transaction) observeLoss(ctx context.Context, u *fleet.Upstream, res attemptResult) {
	if len(t.parts) == 0 || res.responding == 0 || res.responding > crashOnset || res.events > 0 || t.timedOut(ctx) {
		return
	}
	if acceptsConnections(ctx, u) {
		return
	}
	crash := policy.Crash{
		ID: xxhash.Sum64String(t.info.AttemptID + "/" + u.ID), Upstream: u.Key ^ uint64(u.StartTime), Parts: t.parts, At: time.Now(),
	}
	if !t.relay.Containment.Observe(crash) {
		return
	}
	meter.Event("upstream_crashes")
	t.log("upstream_crashed", "upstream", u.ID, "responding", res.responding, "parts", t.info.PromptParts)
	t.relay.notifyContainment()
}

// acceptsConnections reports whether the upstream accepts a new connection, or may do
// so but has too many.
func acceptsConnections(ctx context.Context, u *fleet.Upstream) bool {
	cctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	c, _, err := u.Conns.Get(cctx, 0)
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
