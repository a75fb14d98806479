package engine

import (
	"context"
	"net/netip"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
)

// Plain is a plain service. It makes no reports, has no prefix cache and takes
// no orders.
type Plain struct {
	Addr netip.AddrPort

	caller caller
}

var _ core.Engine = (*Plain)(nil)

// Do implements core.Engine.
func (p *Plain) Do(ctx context.Context, call *core.Call) (*core.Reply, error) {
	return p.caller.do(ctx, p.Addr, call)
}

// Report implements core.Engine.
func (p *Plain) Report(context.Context) (core.EngineReport, error) {
	return core.EngineReport{}, trace.NotImplemented("plain services make no load reports")
}

// Command implements core.Engine.
func (p *Plain) Command(context.Context, uint64, string, string) error {
	return trace.NotImplemented("plain services take no orders")
}

// CacheEvents implements core.Engine.
func (p *Plain) CacheEvents(context.Context, uint64) ([]core.CacheEvent, error) {
	return nil, trace.NotImplemented("plain services have no prefix cache")
}
