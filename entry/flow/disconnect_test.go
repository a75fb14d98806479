package flow

import (
	"context"
	"io"
	"net/netip"
	"testing"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/conn/links"
	"parsleyroute.example/core/process/clock"
)

// canceledContext returns the context of a caller that has disconnected.
func canceledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// Guards against a dispatch for a caller that has disconnected: a stream that was
// closed for this reason looks like an interrupted one. The body has no router, so
// a dispatch would panic.
func TestStreamIsNotResumedAfterCallerDisconnects(t *testing.T) {
	b := &responseBody{ctx: canceledContext(), resumable: true, err: trace.ConnectionProblem(io.ErrUnexpectedEOF, "closed")}
	if b.resume() {
		t.Fatal("resumed")
	}
}

// Guards against marking an agent unreachable because a caller disconnected.
func TestCallerDisconnectKeepsAgentUsable(t *testing.T) {
	l := (&links.Link{Addr: netip.MustParseAddrPort("127.0.0.1:9"), Clock: clock.Real{}}).Open()
	o := &atMostOnce{router: &Router{Clock: clock.Real{}}, tx: &transaction{record: &Record{Attempts: []Attempt{{}}}}}
	_, err := o.handleDispatchError(canceledContext(), &upstreamSlot{link: l}, trace.ConnectionProblem(io.ErrUnexpectedEOF, "closed"))
	if r, ok := core.AsRefusal(err); !ok || r.Reason != core.ReasonCanceled || r.Execution != core.ExecutionUnknown {
		t.Fatalf("got %v", err)
	}
	if !l.Usable() {
		t.Fatal("the agent is marked unreachable")
	}
}
