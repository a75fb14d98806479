package engine

import (
	"context"
	"net/netip"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
)

// PlainService is a client of a plain service, which provides no load reports, no
// prefix cache and no orders.
type PlainService struct {
	Addr netip.AddrPort

	pool connPool
}

var _ core.Engine = (*PlainService)(nil)

// Do implements core.Engine.
func (p *PlainService) Do(ctx context.Context, call *core.Call) (*core.Reply, error) {
	return p.pool.do(ctx, p.Addr, call)
}

// Report implements core.Engine.
func (p *PlainService) Report(context.Context) (core.EngineReport, error) {
	return core.EngineReport{}, trace.NotImplemented("plain services make no load reports")
}

// Command implements core.Engine.
func (p *PlainService) Command(context.Context, uint64, string, string) error {
	return trace.NotImplemented("plain services accept no orders")
}

// CacheEvents implements core.Engine.
func (p *PlainService) CacheEvents(context.Context, uint64) ([]core.CacheEvent, error) {
	return nil, trace.NotImplemented("plain services have no prefix cache")
}
