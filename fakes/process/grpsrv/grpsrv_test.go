package grpsrv_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/gravitational/trace"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/core/conn/rest"
	"parsleyroute.example/core/process/group"
	"parsleyroute.example/core/suite"
	"parsleyroute.example/core/suite/ranks"
	"parsleyroute.example/core/suite/seed"
	"parsleyroute.example/fakes/process/grpsrv"
)

func TestGroup(t *testing.T) {
	seed.RunSpecs(t, "group")
}

func start() *grpsrv.Server {
	GinkgoHelper()
	s := &grpsrv.Server{Config: grpsrv.Defaults}
	s.Config.BaseMs, s.Config.StageMs = 1, 0.1
	Expect(s.Start()).To(Succeed())
	DeferCleanup(s.Close)
	return s
}

var _ = suite.RankGroupSpecs("Ranks over HTTP", func() suite.RankGroup {
	s := start()
	out := suite.RankGroup{InitialMap: grpsrv.Defaults.Shape.InitialMap(), Replace: s.Group().ReplaceRank}
	for n := range grpsrv.Defaults.Shape.Ranks {
		out.Ranks = append(out.Ranks, &group.Rank{Addr: s.Addr(), Rank: n})
	}
	return out
})

// Guards against control endpoints that have no effect or accept any settings.
var _ = It("is controlled over HTTP", func() {
	s := start()
	ctx := context.Background()
	var c rest.Client
	call := func(method, path string, in, out any) error {
		return c.Call(ctx, s.Addr(), 2*time.Second, method, path, nil, in, out)
	}
	r := &group.Rank{Addr: s.Addr(), Rank: 1}
	Expect(r.Map(ctx)).To(Equal(grpsrv.Defaults.Shape.InitialMap()))
	Expect(call(http.MethodPut, "/control/load", map[string]any{"zipf": 1.1, "tokens": 100, "seed": 3}, nil)).To(Succeed())
	Expect(call(http.MethodPut, "/control/settings", map[string]any{"token_us": 10}, nil)).To(Succeed())
	Expect(call(http.MethodPut, "/control/settings", map[string]any{"token_ms": 10}, nil)).To(Satisfy(trace.IsBadParameter))
	Expect(s.Group().CurrentSettings()).To(Equal(ranks.Settings{BaseMs: 1, TokenUs: 10, StageMs: 0.1}))
	Eventually(func() (ranks.Stats, error) {
		var st ranks.Stats
		return st, call(http.MethodGet, "/control/stats", nil, &st)
	}, "2s").Should(HaveField("MaxSkew", BeNumerically(">", 1)))
	load, err := r.Load(ctx)
	Expect(err).NotTo(HaveOccurred())
	Expect(load).To(HaveLen(2))
	Expect(call(http.MethodPut, "/control/ranks", map[string]any{"rank": 0, "stalled": true}, nil)).To(Succeed())
	Expect(call(http.MethodPost, "/control/replace", map[string]any{"rank": 1}, nil)).To(Succeed())
	_, err = r.Map(ctx)
	Expect(trace.IsNotFound(err)).To(BeTrue(), "%v", err)
	Expect(call(http.MethodPut, "/control/ranks", map[string]any{"rank": 0}, nil)).To(Succeed())
	st, err := r.Inspect(ctx, core.Ballot{})
	Expect(err).NotTo(HaveOccurred())
	_, err = r.Decide(ctx, core.Ballot{Token: 1}, st.Incarnation, 1, 0, true)
	Expect(err).NotTo(HaveOccurred())
	Eventually(func() error { _, err := r.Map(ctx); return err }, "2s").Should(Succeed())
	Expect(call(http.MethodPost, "/control/replace", map[string]any{"rank": 9}, nil)).To(Satisfy(trace.IsNotFound))
	_, err = (&group.Rank{Addr: s.Addr(), Rank: 4}).Inspect(ctx, core.Ballot{})
	Expect(trace.IsNotFound(err)).To(BeTrue(), "%v", err)
	var steps struct{ Steps []ranks.Step }
	Expect(call(http.MethodGet, "/control/steps?after=2", nil, &steps)).To(Succeed())
	Expect(steps.Steps[0].Step).To(BeEquivalentTo(3))
})
