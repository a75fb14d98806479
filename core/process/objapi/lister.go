package objapi

import (
	"cmp"
	"context"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"parsleyroute.example/core"
	"parsleyroute.example/core/conn/rest"
	"parsleyroute.example/core/process/meter"
)

// Lister reads the list of instances. It counts each request in the event
// list_read. It names the revision that it has, so that an unchanged list,
// which is over 100 KB at 1,000 instances, is not sent again.
type Lister struct {
	Addr netip.AddrPort
	// Timeout bounds one request; the default is 2 s.
	Timeout time.Duration

	conn rest.Client
	mu   sync.Mutex // guards last
	last Instances
}

var _ core.InstanceLister = (*Lister)(nil)

// Instances implements core.InstanceLister.
func (l *Lister) Instances(ctx context.Context) ([]core.Instance, uint64, error) {
	meter.Event("list_read")
	l.mu.Lock()
	last := l.last
	l.mu.Unlock()
	var body Instances
	query := map[string]string{"known": strconv.FormatUint(last.Revision, 10)}
	if err := l.conn.Call(ctx, l.Addr, cmp.Or(l.Timeout, 2*time.Second), fasthttp.MethodGet, PathInstances, query, nil, &body); err != nil {
		return nil, 0, err
	}
	if body.Unchanged && body.Revision == last.Revision {
		body = last
	}
	l.mu.Lock()
	l.last = body
	l.mu.Unlock()
	list := make([]core.Instance, len(body.Instances))
	for i, in := range body.Instances {
		list[i] = core.Instance(in)
	}
	return list, body.Revision, nil
}
