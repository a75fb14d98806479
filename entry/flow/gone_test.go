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

// gone is the context of a caller that went away.
func gone() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// Guards against a dispatch for a caller that is gone: a stream that was closed
// because of it looks like one that broke. The body has no router, so a dispatch
// would panic.
func TestStreamOfAGoneCallerIsNotResumed(t *testing.T) {
	b := &body{ctx: gone(), resumable: true, err: trace.ConnectionProblem(io.ErrUnexpectedEOF, "closed")}
	if b.resume() {
		t.Fatal("resumed")
	}
}

// Guards against agents that are taken for lost because a caller went away.
func TestGoneCallerIsNoFaultOfTheAgent(t *testing.T) {
	l := (&links.Link{Addr: netip.MustParseAddrPort("127.0.0.1:9"), Clock: clock.Real{}}).Open()
	o := &once{router: &Router{Clock: clock.Real{}}, trip: &trip{record: &Record{Attempts: []Attempt{{}}}}}
	_, err := o.failed(gone(), &place{link: l}, trace.ConnectionProblem(io.ErrUnexpectedEOF, "closed"))
	if r, ok := core.AsRefusal(err); !ok || r.Reason != core.ReasonCanceled || r.Execution != core.ExecutionUnknown {
		t.Fatalf("got %v", err)
	}
	if !l.Usable() {
		t.Fatal("the agent counts as lost")
	}
}
