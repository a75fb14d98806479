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

// DefaultRetention is the default time for which claims are kept.
const DefaultRetention = 24 * time.Hour

// Sweeper removes old claims. One process of the fleet runs it; a second one
// does no harm.
type Sweeper struct {
	Store core.Store
	Clock core.Clock
	// Retention is the age at which a claim is removed; default Retention. The
	// age counts from the claim's last attempt.
	Retention time.Duration
	// Rate is the greatest number of removals a second; default 20, a
	// twentieth of the store's several hundred writes.
	Rate float64

	limit *rate.Limiter
}

// Sweep removes the claims that are old enough and returns their number. A
// claim that changes meanwhile stays. It ends at the first failure of the store
// other than its rate limit, and must not be called concurrently.
func (s *Sweeper) Sweep(ctx context.Context) (int, error) {
	if s.limit == nil {
		r := s.Rate
		if r <= 0 {
			r = 20
		}
		s.limit = rate.NewLimiter(rate.Limit(r), 1)
	}
	keep := s.Retention
	if keep <= 0 {
		keep = DefaultRetention
	}
	all, _, err := s.Store.List(ctx, core.KindClaim)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	n := 0
	for _, obj := range all {
		claim := &wire.Claim{}
		// A claim that cannot be decoded has no age; it stays for inspection.
		if proto.Unmarshal(obj.Value, claim) != nil || s.Clock.Now().Sub(time.Unix(claim.GetCreatedUnix(), 0)) < keep {
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

func (s *Sweeper) remove(ctx context.Context, obj core.Object) (bool, error) {
	for {
		now := s.Clock.Now()
		if d := s.limit.ReserveN(now, 1).DelayFrom(now); d > 0 {
			if err := s.Clock.Sleep(ctx, d); err != nil {
				return false, trace.ConnectionProblem(err, "sweep of claims ended early")
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
