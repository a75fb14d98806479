package objapi

import (
	"cmp"
	"context"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"parsleyroute.example/core"
	"parsleyroute.example/core/conn/rest"
	"parsleyroute.example/core/process/meter"
)

// Store is a client of the object API. It counts each request in the events
// store_read, store_write and store_watch. It never retries a request.
type Store struct {
	Addr netip.AddrPort
	// Timeout bounds one request; default 2s.
	Timeout time.Duration
	// WatchWait is how long the platform waits for changes before it responds to a
	// watch; default 10s. Watch returns at the latest after WatchWait plus Timeout.
	WatchWait time.Duration

	conn rest.Client
}

var _ core.Store = (*Store)(nil)

// Get implements core.Store.
func (s *Store) Get(ctx context.Context, key core.Key) (core.Object, error) {
	meter.Event("store_read")
	var o Object
	err := s.call(ctx, fasthttp.MethodGet, PathObject, map[string]string{"kind": string(key.Kind), "name": key.Name}, nil, &o)
	return o.ToCore(), err
}

// List implements core.Store. It reads page by page and returns the revision of
// the first page: later pages may show a newer state of the store, but none older.
func (s *Store) List(ctx context.Context, kinds ...core.Kind) ([]core.Object, uint64, error) {
	query := map[string]string{"kinds": joinKinds(kinds), "limit": strconv.Itoa(PageSize)}
	var list []core.Object
	var revision uint64
	for first := true; ; first = false {
		meter.Event("store_read")
		var page ObjectPage
		if err := s.call(ctx, fasthttp.MethodGet, PathObjects, query, nil, &page); err != nil {
			return nil, 0, err
		}
		if first {
			revision = page.Revision
		}
		for _, o := range page.Objects {
			list = append(list, o.ToCore())
		}
		if !page.More || len(page.Objects) == 0 {
			return list, revision, nil
		}
		last := page.Objects[len(page.Objects)-1]
		query["after_kind"], query["after_name"] = string(last.Kind), last.Name
	}
}

// Create implements core.Store.
func (s *Store) Create(ctx context.Context, obj core.Object) (core.Object, error) {
	return s.write(ctx, fasthttp.MethodPost, obj)
}

// Update implements core.Store.
func (s *Store) Update(ctx context.Context, obj core.Object) (core.Object, error) {
	return s.write(ctx, fasthttp.MethodPut, obj)
}

// Delete implements core.Store.
func (s *Store) Delete(ctx context.Context, obj core.Object) (core.Object, error) {
	obj.Value = nil
	return s.write(ctx, fasthttp.MethodDelete, obj)
}

// Watch implements core.Store. It fails with trace.CompareFailed if the platform
// no longer has the changes after from; the caller then has to list again.
func (s *Store) Watch(ctx context.Context, from uint64, kinds ...core.Kind) ([]core.Object, error) {
	meter.Event("store_watch")
	wait := cmp.Or(s.WatchWait, 10*time.Second)
	query := map[string]string{
		"kinds":   joinKinds(kinds),
		"from":    strconv.FormatUint(from, 10),
		"wait_ms": strconv.FormatInt(wait.Milliseconds(), 10),
	}
	var page ObjectPage
	if err := s.conn.Call(ctx, s.Addr, wait+s.timeout(), fasthttp.MethodGet, PathWatch, query, nil, &page); err != nil {
		return nil, err
	}
	list := make([]core.Object, len(page.Objects))
	for i, o := range page.Objects {
		list[i] = o.ToCore()
	}
	return list, nil
}

func (s *Store) write(ctx context.Context, method string, obj core.Object) (core.Object, error) {
	meter.Event("store_write")
	var o Object
	err := s.call(ctx, method, PathObject, nil, FromCore(obj), &o)
	return o.ToCore(), err
}

func (s *Store) call(ctx context.Context, method, path string, query map[string]string, in, out any) error {
	return s.conn.Call(ctx, s.Addr, s.timeout(), method, path, query, in, out)
}

func (s *Store) timeout() time.Duration { return cmp.Or(s.Timeout, 2*time.Second) }

func joinKinds(kinds []core.Kind) string {
	parts := make([]string, len(kinds))
	for i, k := range kinds {
		parts[i] = string(k)
	}
	return strings.Join(parts, ",")
}
