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

// Lister reads the list of instances. It counts each request in the event
// list_read.
type Lister struct {
	Addr netip.AddrPort
	// Timeout bounds one request; the default is 2 s.
	Timeout time.Duration

	conn rest.Client
}

var _ core.Lister = (*Lister)(nil)

// Instances implements core.Lister.
func (l *Lister) Instances(ctx context.Context) ([]core.Instance, uint64, error) {
	meter.Event("list_read")
	var body Instances
	if err := l.conn.Call(ctx, l.Addr, cmp.Or(l.Timeout, 2*time.Second), fasthttp.MethodGet, PathInstances, nil, nil, &body); err != nil {
		return nil, 0, err
	}
	list := make([]core.Instance, len(body.Instances))
	for i, in := range body.Instances {
		list[i] = core.Instance(in)
	}
	return list, body.Revision, nil
}
