package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/conn/rest"
)

// Engine is a client of a model engine.
type Engine struct {
	Addr netip.AddrPort
	// Timeout limits load reports, orders and reads of cache events; the default
	// is 1 s. Calls have timeouts of their own.
	Timeout time.Duration

	pool connPool
}

var _ core.Engine = (*Engine)(nil)

// Do implements core.Engine.
func (e *Engine) Do(ctx context.Context, call *core.Call) (*core.Reply, error) {
	reply, err := e.pool.do(ctx, e.Addr, call)
	if err != nil || reply.Status != http.StatusServiceUnavailable {
		return reply, err
	}
	// A refusal is short. Other responses with status 503 are returned unchanged.
	defer func() { _ = reply.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(reply.Body, 1<<20))
	if err != nil {
		return nil, err
	}
	var f rest.ErrorResponse
	if json.Unmarshal(data, &f) == nil && f.Error.Reason == ReasonOverloaded {
		return nil, core.NewRefusal(core.ReasonUpstreamBusy, f.Error.Message)
	}
	reply.Body = io.NopCloser(bytes.NewReader(data))
	return reply, nil
}

// Report implements core.Engine.
func (e *Engine) Report(ctx context.Context) (core.EngineReport, error) {
	var r LoadReport
	err := e.callAPI(ctx, http.MethodGet, PathLoad, nil, &r)
	return core.EngineReport(r), err
}

// Command implements core.Engine. It returns trace.CompareFailed if the engine
// has already seen a higher token.
func (e *Engine) Command(ctx context.Context, token uint64, verb, argument string) error {
	return e.callAPI(ctx, http.MethodPost, PathOrders, Order{Token: token, Verb: verb, Argument: argument}, nil)
}

// CacheEvents implements core.Engine.
func (e *Engine) CacheEvents(ctx context.Context, from uint64) ([]core.CacheEvent, error) {
	var resp CacheEvents
	if err := e.callAPI(ctx, http.MethodGet, PathEvents+"?from="+strconv.FormatUint(from, 10), nil, &resp); err != nil {
		return nil, err
	}
	out := make([]core.CacheEvent, len(resp.Events))
	for i, ev := range resp.Events {
		out[i] = core.CacheEvent(ev)
	}
	return out, nil
}

// callAPI calls the control API of the engine.
func (e *Engine) callAPI(ctx context.Context, method, path string, in, out any) error {
	call := &core.Call{Method: method, Path: path, Timeout: timeoutOrDefault(e.Timeout)}
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return trace.BadParameter("cannot encode the request: %s", err)
		}
		call.Body = data
	}
	reply, err := e.pool.do(ctx, e.Addr, call)
	if r, ok := core.AsRefusal(err); ok {
		return trace.ConnectionProblem(r, "the engine cannot be reached")
	}
	if err != nil {
		return err
	}
	return decodeResponse(reply, out)
}
