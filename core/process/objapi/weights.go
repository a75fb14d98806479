package objapi

import (
	"cmp"
	"context"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"parsleyroute.example/core"
	"parsleyroute.example/core/conn/rest"
	"parsleyroute.example/core/process/meter"
)

// Weights is the weight store. It counts each request in the event
// weights_fetch.
type Weights struct {
	Addr netip.AddrPort
	// Timeout bounds one fetch with its wait for the rate limit; the default
	// is 60 s.
	Timeout time.Duration

	conn rest.Client
}

var _ core.WeightStore = (*Weights)(nil)

// Fetch implements core.WeightStore.
func (w *Weights) Fetch(ctx context.Context, group string, rank int, layer, expert uint32) error {
	meter.Event("weights_fetch")
	in := Fetch{Group: group, Rank: rank, Layer: layer, Expert: expert}
	return w.conn.Call(ctx, w.Addr, cmp.Or(w.Timeout, time.Minute), fasthttp.MethodPost, PathWeights, nil, in, nil)
}
