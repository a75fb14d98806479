package claim

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"parsleyroute.example/core"
	"parsleyroute.example/core/wire"
)

// DefaultRetention is the default of Sweeper.Retention.
const DefaultRetention = 24 * time.Hour

// Sweeper removes old claims. One process of the fleet runs it; it is harmless if
// several do.
type Sweeper struct {
	Store core.Store
	Clock core.Clock
	// Retention is the age at which a claim is removed; default
	// DefaultRetention. The age counts from the claim's last attempt.
	Retention time.Duration
	// Rate is the maximum number of removals per second; default 20, about a
	// twentieth of the several hundred writes per second that the store allows.
	Rate float64

	limiter *rate.Limiter
}

// Sweep removes the claims that are older than the retention and returns their
// number. Claims that change during the sweep are kept. Sweep ends at the first
// error of the store other than a rate limit error. It must not be called
// concurrently.
func (s *Sweeper) Sweep(ctx context.Context) (int, error) {
	if s.limiter == nil {
		r := s.Rate
		if r <= 0 {
			r = 20
		}
		s.limiter = rate.NewLimiter(rate.Limit(r), 1)
	}
	retention := s.Retention
	if retention <= 0 {
		retention = DefaultRetention
	}
	all, _, err := s.Store.List(ctx, core.KindClaim)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	n := 0
	for _, obj := range all {
		claim := &wire.Claim{}
		// The age of a claim that cannot be decoded is unknown. Keep it for
		// inspection.
		if proto.Unmarshal(obj.Value, claim) != nil || s.Clock.Now().Sub(time.Unix(claim.GetCreatedUnix(), 0)) < retention {
			continue
		}
		removed, err := s.remove(ctx, obj)
		if err != nil {
			return n, err
		}
		if removed {
			n++
		}
	}
	return n, nil
}

// remove deletes the claim within the rate limit and reports whether it was
// deleted; it is not if it has changed.
func (s *Sweeper) remove(ctx context.Context, obj core.Object) (bool, error) {
	for {
		now := s.Clock.Now()
		if d := s.limiter.ReserveN(now, 1).DelayFrom(now); d > 0 {
			if err := s.Clock.Sleep(ctx, d); err != nil {
				return false, trace.ConnectionProblem(err, "sweep of claims was interrupted")
			}
		}
		_, err := s.Store.Delete(ctx, obj)
		switch {
		case err == nil:
			return true, nil
		case trace.IsCompareFailed(err) || trace.IsNotFound(err):
			return false, nil
		case !trace.IsLimitExceeded(err):
			return false, trace.Wrap(err)
		}
	}
}
