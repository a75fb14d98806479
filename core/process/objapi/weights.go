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

// WeightStore is a client of the platform's weight store. It counts each request
// in the event weights_fetch.
type WeightStore struct {
	Addr netip.AddrPort
	// Timeout bounds one fetch including its wait for the rate limit; default
	// 60s.
	Timeout time.Duration

	conn rest.Client
}

var _ core.WeightStore = (*WeightStore)(nil)

// Fetch implements core.WeightStore.
func (w *WeightStore) Fetch(ctx context.Context, group string, rank int, layer, expert uint32) error {
	meter.Event("weights_fetch")
	request := FetchRequest{Group: group, Rank: rank, Layer: layer, Expert: expert}
	return w.conn.Call(ctx, w.Addr, cmp.Or(w.Timeout, time.Minute), fasthttp.MethodPost, PathWeights, nil, request, nil)
}
