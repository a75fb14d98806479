package beside_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/gravitational/trace"
	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/beside"
	"parsleyroute.example/core/wire"
)

// engine records orders and answers with fixed values.
type engine struct {
	err    error
	orders []core.RankOrder
}

func (e *engine) Report(_ context.Context, _ core.RankAddr, counts bool) (core.RankReport, error) {
	r := core.RankReport{StartTime: 5, Group: "g", Epoch: 2, Rank: 3, GroupSize: 12, Open: true, Step: 9, Map: 4, PreparedMap: 6, Armed: true, ArmedMap: 6, ArmedStep: 11, Held: true, HeldStep: 11, Running: 7, Waiting: 1, Slowdown: 1.5}
	if counts {
		r.ExpertCounts = []uint64{1, 0, 3}
	}
	return r, e.err
}

func (e *engine) Placement(context.Context, core.RankAddr) (uint64, [][]int, error) {
	return 4, [][]int{{1, 2}, {}}, e.err
}

func (e *engine) Order(_ context.Context, _ core.RankAddr, o core.RankOrder) error {
	e.orders = append(e.orders, o)
	return e.err
}

// open serves the engine beside an address and returns a client of it, with
// another engine for direct calls.
func open(t *testing.T) (near, far *engine, c *beside.Client, rank core.RankAddr, srv *http.Server) {
	near, far = &engine{}, &engine{}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv = &http.Server{Handler: wire.NewRankAgentServer(&beside.Server{Ranks: near})}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	addr := netip.MustParseAddrPort(ln.Addr().String())
	c = &beside.Client{Port: addr.Port(), Direct: far, HTTP: &http.Client{}}
	return near, far, c, core.RankAddr{Instance: "i", Engine: netip.AddrPortFrom(addr.Addr(), 1)}, srv
}

// TestRoundTrip guards against fields and kinds of errors that are lost on the
// way to the process beside a rank.
func TestRoundTrip(t *testing.T) {
	g := NewWithT(t)
	near, far, c, rank, _ := open(t)
	ctx := context.Background()
	want, _ := near.Report(ctx, rank, true)
	g.Expect(c.Report(ctx, rank, true)).To(Equal(want))
	version, experts, err := c.Placement(ctx, rank)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(version).To(BeEquivalentTo(4))
	g.Expect(experts).To(Equal([][]int{{1, 2}, {}}))
	o := core.RankOrder{Verb: core.RankPrepare, Token: 3, Epoch: 2, Map: 8, Step: 1, Placement: [][][]int{{{0}, {1, 2}}}}
	g.Expect(c.Order(ctx, rank, o)).To(Succeed())
	g.Expect(near.orders).To(Equal([]core.RankOrder{o}))
	for _, e := range []struct {
		err error
		is  func(error) bool
	}{
		{trace.CompareFailed("x"), trace.IsCompareFailed},
		{trace.AccessDenied("x"), trace.IsAccessDenied},
		{trace.NotFound("x"), trace.IsNotFound},
		{trace.BadParameter("x"), trace.IsBadParameter},
		{trace.ConnectionProblem(nil, "x"), trace.IsConnectionProblem},
	} {
		near.err = e.err
		err := c.Order(ctx, rank, o)
		g.Expect(e.is(err)).To(BeTrue(), "%v became %v", e.err, err)
	}
	g.Expect(far.orders).To(BeEmpty(), "an order is not repeated")
}

// TestAbsent guards against a controller that waits for a process beside a rank
// which has stopped or frozen, while the engine goes on.
func TestAbsent(t *testing.T) {
	g := NewWithT(t)
	_, far, c, rank, srv := open(t)
	g.Expect(srv.Close()).To(Succeed())
	r, err := c.Report(context.Background(), rank, true)
	g.Expect(err).NotTo(HaveOccurred(), "the report is the engine's own")
	g.Expect(r.ExpertCounts).To(BeNil(), "counts are not read from afar")
	g.Expect(c.Order(context.Background(), rank, core.RankOrder{Verb: core.RankArm})).To(Succeed())
	g.Expect(far.orders).To(HaveLen(1))

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = ln.Close() }()
	c.Port = netip.MustParseAddrPort(ln.Addr().String()).Port()
	frozen := core.RankAddr{Instance: "j", Engine: netip.MustParseAddrPort("127.0.0.1:2")}
	c2 := &beside.Client{Port: c.Port, Direct: far, HTTP: &http.Client{}}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	g.Expect(trace.IsConnectionProblem(c2.Order(ctx, frozen, core.RankOrder{Verb: core.RankArm}))).To(BeTrue())
	g.Expect(far.orders).To(HaveLen(1), "an order that may have been passed on is not repeated")
	ctx2, cancel2 := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel2()
	_, _ = c2.Report(ctx2, frozen, true)
	g.Expect(c2.Order(context.Background(), frozen, core.RankOrder{Verb: core.RankArm})).To(Succeed())
	g.Expect(far.orders).To(HaveLen(2))
}
