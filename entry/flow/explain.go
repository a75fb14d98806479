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

// askParallel bounds the entries that are asked for a request at once.
const askParallel = 32

// Explainer finds the record of a request at whichever entry served it. It
// implements wire.Trace for the others. Exported fields are set before use.
type Explainer struct {
	Router    *Router
	Instances func() []core.Instance
	// Peer returns the client of an entry.
	Peer func(core.Instance) wire.Trace
}

// Explain implements wire.Trace.
func (e *Explainer) Explain(_ context.Context, req *wire.ExplainRequest) (*wire.ExplainResponse, error) {
	rec, ok := e.Router.journal.Get(req.GetRequestId())
	if !ok {
		return &wire.ExplainResponse{}, nil
	}
	p, err := json.Marshal(rec)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &wire.ExplainResponse{Record: p}, nil
}

// Find returns the record of a request, or trace.NotFound if no entry that
// answers remembers it. It asks the other entries only if this one does not.
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
	slots := make(chan struct{}, askParallel)
	var wg sync.WaitGroup
	for _, i := range others {
		wg.Add(1)
		go func() {
			defer wg.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			if rec := e.ask(ctx, i, id); rec != nil {
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
		return nil, trace.NotFound("no entry remembers the request %q", id)
	}
}

func (e *Explainer) ask(ctx context.Context, i core.Instance, id string) *Record {
	if ctx.Err() != nil {
		return nil
	}
	resp, err := e.Peer(i).Explain(ctx, &wire.ExplainRequest{RequestId: id})
	if err != nil || len(resp.GetRecord()) == 0 {
		return nil
	}
	rec := &Record{}
	if json.Unmarshal(resp.GetRecord(), rec) != nil {
		return nil
	}
	return rec
}
