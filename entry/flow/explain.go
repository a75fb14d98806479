package flow

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/gravitational/trace"
	"github.com/samber/lo"

	"parsleyroute.example/core"
	"parsleyroute.example/core/wire"
)

// maxParallelQueries is the maximum number of entries that are queried at once.
const maxParallelQueries = 32

// Explainer finds the record of a request at the entry that served it. It
// implements wire.Trace for queries of other entries. Exported fields must be set
// before use.
type Explainer struct {
	Router    *Router
	Instances func() []core.Instance
	// TraceClient returns a client for the given entry.
	TraceClient func(core.Instance) wire.Trace
}

// Explain implements wire.Trace.
func (e *Explainer) Explain(_ context.Context, req *wire.ExplainRequest) (*wire.ExplainResponse, error) {
	rec, ok := e.Router.journal.Get(req.GetRequestId())
	if !ok {
		return &wire.ExplainResponse{}, nil
	}
	data, err := json.Marshal(rec)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &wire.ExplainResponse{Record: data}, nil
}

// Find returns the record of a request, or trace.NotFound if no entry that
// responds has one. It queries the other entries only if this one has none.
func (e *Explainer) Find(ctx context.Context, id string) (*Record, error) {
	if rec, ok := e.Router.journal.Get(id); ok {
		return &rec, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	others := lo.Filter(e.Instances(), func(i core.Instance, _ int) bool {
		return i.Role == core.RoleEntry && i.Name != e.Router.Self.Name
	})
	found := make(chan *Record, len(others))
	semaphore := make(chan struct{}, maxParallelQueries)
	var wg sync.WaitGroup
	for _, i := range others {
		wg.Add(1)
		go func() {
			defer wg.Done()
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			if rec := e.query(ctx, i, id); rec != nil {
				found <- rec
				cancel()
			}
		}()
	}
	wg.Wait()
	select {
	case rec := <-found:
		return rec, nil
	default:
		return nil, trace.NotFound("no entry has a record of request %q", id)
	}
}

// query returns the record that the given entry has of the request. It returns nil
// if there is none or the query fails.
func (e *Explainer) query(ctx context.Context, i core.Instance, id string) *Record {
	if ctx.Err() != nil {
		return nil
	}
	resp, err := e.TraceClient(i).Explain(ctx, &wire.ExplainRequest{RequestId: id})
	if err != nil || len(resp.GetRecord()) == 0 {
		return nil
	}
	rec := &Record{}
	if json.Unmarshal(resp.GetRecord(), rec) != nil {
		return nil
	}
	return rec
}
