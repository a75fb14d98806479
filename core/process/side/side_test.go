package side_test

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
	"parsleyroute.example/core/process/side"
	"parsleyroute.example/core/wire"
)

// fakeRankClient records orders and returns fixed values.
type fakeRankClient struct {
	err    error
	orders []core.RankOrder
}

func (e *fakeRankClient) Report(_ context.Context, _ core.RankAddr, counts bool) (core.RankReport, error) {
	r := core.RankReport{StartTime: 5, Group: "g", Epoch: 2, Rank: 3, GroupSize: 12, Open: true, Step: 9, Map: 4, PreparedMap: 6, Armed: true, ArmedMap: 6, ArmedStep: 11, Held: true, HeldStep: 11, Running: 7, Waiting: 1, Slowdown: 1.5}
	if counts {
		r.ExpertCounts = []uint64{1, 0, 3}
	}
	return r, e.err
}

func (e *fakeRankClient) Placement(context.Context, core.RankAddr) (uint64, [][]int, error) {
	return 4, [][]int{{1, 2}, {}}, e.err
}

func (e *fakeRankClient) Order(_ context.Context, _ core.RankAddr, o core.RankOrder) error {
	e.orders = append(e.orders, o)
	return e.err
}

// startServer serves the sidecar's RankClient and returns a client of the server,
// which uses another RankClient, direct, for direct calls.
func startServer(t *testing.T) (sidecar, direct *fakeRankClient, c *side.Client, rank core.RankAddr, srv *http.Server) {
	sidecar, direct = &fakeRankClient{}, &fakeRankClient{}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv = &http.Server{Handler: wire.NewRankAgentServer(&side.Server{Client: sidecar})}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	addr := netip.MustParseAddrPort(ln.Addr().String())
	c = &side.Client{Port: addr.Port(), Direct: direct, HTTP: &http.Client{}}
	return sidecar, direct, c, core.RankAddr{Instance: "i", Engine: netip.AddrPortFrom(addr.Addr(), 1)}, srv
}

// TestRoundTrip guards against fields and kinds of errors that are lost between
// the controller and a sidecar.
func TestRoundTrip(t *testing.T) {
	g := NewWithT(t)
	sidecar, direct, c, rank, _ := startServer(t)
	ctx := context.Background()
	want, _ := sidecar.Report(ctx, rank, true)
	g.Expect(c.Report(ctx, rank, true)).To(Equal(want))
	version, experts, err := c.Placement(ctx, rank)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(version).To(BeEquivalentTo(4))
	g.Expect(experts).To(Equal([][]int{{1, 2}, {}}))
	o := core.RankOrder{Verb: core.RankPrepare, Token: 3, Epoch: 2, Map: 8, Step: 1, Placement: [][][]int{{{0}, {1, 2}}}}
	g.Expect(c.Order(ctx, rank, o)).To(Succeed())
	g.Expect(sidecar.orders).To(Equal([]core.RankOrder{o}))
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
		sidecar.err = e.err
		err := c.Order(ctx, rank, o)
		g.Expect(e.is(err)).To(BeTrue(), "%v became %v", e.err, err)
	}
	g.Expect(direct.orders).To(BeEmpty(), "an order is not retried directly")
}

// TestUnreachableSidecar guards against a controller that waits for a sidecar that
// has stopped or is frozen while the engine still runs.
func TestUnreachableSidecar(t *testing.T) {
	g := NewWithT(t)
	_, direct, c, rank, srv := startServer(t)
	g.Expect(srv.Close()).To(Succeed())
	r, err := c.Report(context.Background(), rank, true)
	g.Expect(err).NotTo(HaveOccurred(), "the report is read directly from the engine")
	g.Expect(r.ExpertCounts).To(BeNil(), "counts are not read from another instance")
	g.Expect(c.Order(context.Background(), rank, core.RankOrder{Verb: core.RankArm})).To(Succeed())
	g.Expect(direct.orders).To(HaveLen(1))

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = ln.Close() }()
	c.Port = netip.MustParseAddrPort(ln.Addr().String()).Port()
	frozenRank := core.RankAddr{Instance: "j", Engine: netip.MustParseAddrPort("127.0.0.1:2")}
	frozenClient := &side.Client{Port: c.Port, Direct: direct, HTTP: &http.Client{}}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	g.Expect(trace.IsConnectionProblem(frozenClient.Order(ctx, frozenRank, core.RankOrder{Verb: core.RankArm}))).To(BeTrue())
	g.Expect(direct.orders).To(HaveLen(1), "an order that may have been forwarded is not retried")
	ctx2, cancel2 := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel2()
	_, _ = frozenClient.Report(ctx2, frozenRank, true)
	g.Expect(frozenClient.Order(context.Background(), frozenRank, core.RankOrder{Verb: core.RankArm})).To(Succeed())
	g.Expect(direct.orders).To(HaveLen(2))
}
