package ranks_test

import (
	"context"
	"testing"
	"time"

	"github.com/gravitational/trace"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/core/suite"
	"parsleyroute.example/core/suite/ranks"
	"parsleyroute.example/core/suite/seed"
)

func TestRanks(t *testing.T) {
	seed.RunSpecs(t, "ranks")
}

var shape = ranks.Shape{Layers: 2, Ranks: 4, SlotsPerRank: 3, Experts: 8}

func startGroup(settings ranks.Settings) (*ranks.Group, []core.RankEngine) {
	GinkgoHelper()
	g := &ranks.Group{Shape: shape, Settings: settings}
	Expect(g.Start()).To(Succeed())
	DeferCleanup(g.Close)
	engines := make([]core.RankEngine, shape.Ranks)
	for n := range engines {
		engines[n], _ = g.Rank(n)
	}
	return g, engines
}

var _ = suite.RankGroupSpecs("Simulated ranks", func() suite.RankGroup {
	g, engines := startGroup(ranks.Settings{BaseMs: 0.5})
	return suite.RankGroup{Ranks: engines, InitialMap: shape.InitialMap(), Replace: g.ReplaceRank}
})

// readState returns the state of a rank.
func readState(r core.RankEngine) core.RankState {
	GinkgoHelper()
	st, err := r.Inspect(context.Background(), core.Ballot{})
	Expect(err).NotTo(HaveOccurred())
	return st
}

// shiftedMap returns a map of the given epoch that has a different expert in each
// slot than the initial map.
func shiftedMap(epoch uint64) *core.ExpertMap {
	m := shape.InitialMap()
	m.Epoch = epoch
	for i, e := range m.Slots {
		m.Slots[i] = (e + uint32(epoch)) % uint32(shape.Experts)
	}
	return m
}

var _ = Describe("Group", func() {
	ctx := context.Background()
	awaitSteps := func(g *ranks.Group, n int) {
		GinkgoHelper()
		first := g.Stats().Steps
		Eventually(func() int { return g.Stats().Steps }, "5s", "1ms").Should(BeNumerically(">=", first+n))
	}

	// Guards against ranks that continue while another is stalled.
	It("waits for a stalled rank", func() {
		g, engines := startGroup(ranks.Settings{BaseMs: 0.2})
		awaitSteps(g, 3)
		Expect(g.SetStalled(2, true)).To(Succeed())
		Eventually(func() int { return g.Stats().Stalled }, "5s", "1ms").Should(Equal(1))
		before := g.Stats().Steps
		time.Sleep(20 * time.Millisecond)
		Expect(g.Stats().Steps).To(Equal(before))
		for _, r := range engines {
			st, err := r.Inspect(ctx, core.Ballot{})
			Expect(err).NotTo(HaveOccurred())
			Expect(st.Step).To(BeEquivalentTo(before + 1))
		}
		Expect(g.SetStalled(2, false)).To(Succeed())
		awaitSteps(g, 3)
		Expect(g.Stats().StalledSteps).To(Equal(1))
	})

	// Guards against mixed steps that the statistics do not report, in particular
	// if the different maps have the same epoch.
	DescribeTable("reports mixed steps", func(shifts []uint64, commit, mixed bool) {
		g, engines := startGroup(ranks.Settings{BaseMs: 0.2})
		b := core.Ballot{Token: 1}
		st, err := engines[0].Inspect(ctx, b)
		Expect(err).NotTo(HaveOccurred())
		step := st.Step + 200
		for n, shift := range shifts {
			next := shiftedMap(shift)
			next.Epoch = 2
			_, err := engines[n].Stage(ctx, b, next)
			Expect(err).NotTo(HaveOccurred())
			_, err = engines[n].Prepare(ctx, b, readState(engines[n]).Incarnation, 2, step)
			Expect(err).NotTo(HaveOccurred())
		}
		// The group cannot pass the step before the last Decide, because the rank
		// that is still undecided waits there.
		for n := range shifts {
			_, err = engines[n].Decide(ctx, b, readState(engines[n]).Incarnation, 2, step, commit)
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(func() int { return g.Stats().Steps }, "5s").Should(BeNumerically(">", int(step)+2))
		if !mixed {
			Expect(g.Stats().MixedSteps).To(BeZero())
			return
		}
		Expect(g.Stats().MixedSteps).To(BeNumerically(">", 0))
		Expect(g.Stats().Mixed[0].Step).To(Equal(step))
	},
		Entry("some ranks switch", []uint64{2, 2}, true, true),
		Entry("the maps of one epoch differ", []uint64{2, 2, 2, 3}, true, true),
		Entry("all ranks switch", []uint64{2, 2, 2, 2}, true, false),
		Entry("no rank switches", []uint64{2, 3}, false, false),
	)

	// Guards against failures after a rank was replaced in the middle of a step,
	// and against mixed steps that are not reported if the rank joins without the
	// committed switch.
	DescribeTable("admits a replaced rank in the middle of a switch", func(learnsSwitch bool) {
		g, engines := startGroup(ranks.Settings{BaseMs: 0.2, StageMs: 0.1})
		b := core.Ballot{Token: 1}
		step := readState(engines[0]).Step + 300
		for _, r := range engines {
			_, err := r.Stage(ctx, b, shiftedMap(2))
			Expect(err).NotTo(HaveOccurred())
			_, err = r.Prepare(ctx, b, readState(r).Incarnation, 2, step)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(g.SetStalled(0, true)).To(Succeed())
		Eventually(func() int { return g.Stats().Stalled }, "5s", "1ms").Should(Equal(1))
		Expect(g.ReplaceRank(3)).To(Succeed())
		Expect(g.Stats().Joining).To(Equal(1))
		for _, r := range engines[:3] {
			_, err := r.Decide(ctx, b, readState(r).Incarnation, 2, step, true)
			Expect(err).NotTo(HaveOccurred())
		}
		incarnation := readState(engines[3]).Incarnation
		if learnsSwitch {
			_, err := engines[3].Stage(ctx, b, shiftedMap(2))
			Expect(err).NotTo(HaveOccurred())
			_, err = engines[3].Prepare(ctx, b, incarnation, 2, step)
			Expect(err).NotTo(HaveOccurred())
			_, err = engines[3].Decide(ctx, b, incarnation, 2, step, true)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := engines[3].Decide(ctx, b, incarnation, 1, readState(engines[0]).Step, true)
		Expect(err).NotTo(HaveOccurred())
		Expect(g.SetStalled(0, false)).To(Succeed())
		Eventually(func() int { return g.Stats().Steps }, "5s").Should(BeNumerically(">", int(step)+2))
		if !learnsSwitch {
			Expect(g.Stats().MixedSteps).To(BeNumerically(">", 0))
			return
		}
		Expect(g.Stats().MixedSteps).To(BeZero())
		Expect(g.Stats().Switches).To(Equal(4))
		Expect(g.ActiveMap(3)).To(Equal(shiftedMap(2)))
	},
		Entry("with the committed switch", true),
		Entry("without the committed switch", false),
	)

	// Guards against a group that cannot be restarted once every rank was
	// replaced.
	It("restarts with its last map after all ranks were replaced", func() {
		g, engines := startGroup(ranks.Settings{BaseMs: 0.2})
		awaitSteps(g, 3)
		for n := range engines {
			Expect(g.ReplaceRank(n)).To(Succeed())
		}
		for _, r := range engines {
			st, err := r.Decide(ctx, core.Ballot{Token: 1}, readState(r).Incarnation, 1, 0, true)
			Expect(err).NotTo(HaveOccurred())
			Expect(st.Step).To(BeNumerically(">", 3))
		}
		awaitSteps(g, 3)
		Expect(g.Stats().MixedSteps).To(BeZero())
	})

	// Guards against step times that do not depend on the load and the map.
	It("takes the step time of the slowest rank", func() {
		g, engines := startGroup(ranks.Settings{TokenUs: 10})
		load := shape.ZipfLoad(0, 0, 0)
		load[0][0], load[1][1] = 300, 300
		Expect(g.SetLoad(load)).To(Succeed())
		// The first round may include steps that ran before the load was set.
		for round := range 2 {
			awaitSteps(g, 5)
			sum := shape.ZipfLoad(0, 0, 0)
			for _, r := range engines {
				rankLoad, err := r.Load(ctx)
				Expect(err).NotTo(HaveOccurred())
				for l, row := range rankLoad {
					for e, v := range row {
						sum[l][e] += v
					}
				}
			}
			if round == 1 {
				Expect(sum).To(Equal(load))
			}
		}
		st := g.Stats()
		Expect(st.MaxSkew).To(BeNumerically("~", 2, 0.01))
		Expect(st.P99Ms).To(BeNumerically(">=", 3))
		Expect(g.SetLoad(load[1:])).To(Satisfy(trace.IsBadParameter))
	})
})
