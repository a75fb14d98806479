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

func start(set ranks.Settings) (*ranks.Group, []core.RankEngine) {
	GinkgoHelper()
	g := &ranks.Group{Shape: shape, Settings: set}
	Expect(g.Start()).To(Succeed())
	DeferCleanup(g.Close)
	members := make([]core.RankEngine, shape.Ranks)
	for n := range members {
		members[n], _ = g.Rank(n)
	}
	return g, members
}

var _ = suite.RankGroupSpecs("Ranks in memory", func() suite.RankGroup {
	g, m := start(ranks.Settings{BaseMs: 0.5})
	return suite.RankGroup{Ranks: m, InitialMap: shape.InitialMap(), Replace: g.ReplaceRank}
})

// state reads a rank's state.
func state(r core.RankEngine) core.RankState {
	GinkgoHelper()
	st, err := r.Inspect(context.Background(), core.Ballot{})
	Expect(err).NotTo(HaveOccurred())
	return st
}

// shifted returns the initial map at an epoch, with other experts in each slot.
func shifted(epoch uint64) *core.ExpertMap {
	m := shape.InitialMap()
	m.Epoch = epoch
	for i, e := range m.Slots {
		m.Slots[i] = (e + uint32(epoch)) % uint32(shape.Experts)
	}
	return m
}

var _ = Describe("Group", func() {
	ctx := context.Background()
	steps := func(g *ranks.Group, n int) {
		GinkgoHelper()
		from := g.Stats().Steps
		Eventually(func() int { return g.Stats().Steps }, "5s", "1ms").Should(BeNumerically(">=", from+n))
	}

	// Guards against ranks that run ahead of a stalled one.
	It("waits for a stalled rank", func() {
		g, m := start(ranks.Settings{BaseMs: 0.2})
		steps(g, 3)
		Expect(g.SetStalled(2, true)).To(Succeed())
		Eventually(func() int { return g.Stats().Stalled }, "5s", "1ms").Should(Equal(1))
		before := g.Stats().Steps
		time.Sleep(20 * time.Millisecond)
		Expect(g.Stats().Steps).To(Equal(before))
		for _, r := range m {
			st, err := r.Inspect(ctx, core.Ballot{})
			Expect(err).NotTo(HaveOccurred())
			Expect(st.Step).To(BeEquivalentTo(before + 1))
		}
		Expect(g.SetStalled(2, false)).To(Succeed())
		steps(g, 3)
		Expect(g.Stats().StalledSteps).To(Equal(1))
	})

	// Guards against a group that hides steps with mixed maps, also such of one
	// epoch.
	DescribeTable("reports mixed steps", func(shifts []uint64, commit, mixed bool) {
		g, m := start(ranks.Settings{BaseMs: 0.2})
		b := core.Ballot{Token: 1}
		st, err := m[0].Inspect(ctx, b)
		Expect(err).NotTo(HaveOccurred())
		step := st.Step + 200
		for n, shift := range shifts {
			next := shifted(shift)
			next.Epoch = 2
			_, err := m[n].Stage(ctx, b, next)
			Expect(err).NotTo(HaveOccurred())
			_, err = m[n].Prepare(ctx, b, state(m[n]).Incarnation, 2, step)
			Expect(err).NotTo(HaveOccurred())
		}
		// The first promise keeps the group from passing the step meanwhile.
		for n := range shifts {
			_, err = m[n].Decide(ctx, b, state(m[n]).Incarnation, 2, step, commit)
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

	// Guards against a rank that is replaced in the middle of a step, and against
	// mixed steps that are hidden if it joins without a committed switch.
	DescribeTable("admits a replaced rank in the middle of a switch", func(told bool) {
		g, m := start(ranks.Settings{BaseMs: 0.2, StageMs: 0.1})
		b := core.Ballot{Token: 1}
		step := state(m[0]).Step + 300
		for _, r := range m {
			_, err := r.Stage(ctx, b, shifted(2))
			Expect(err).NotTo(HaveOccurred())
			_, err = r.Prepare(ctx, b, state(r).Incarnation, 2, step)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(g.SetStalled(0, true)).To(Succeed())
		Eventually(func() int { return g.Stats().Stalled }, "5s", "1ms").Should(Equal(1))
		Expect(g.ReplaceRank(3)).To(Succeed())
		Expect(g.Stats().Joining).To(Equal(1))
		for _, r := range m[:3] {
			_, err := r.Decide(ctx, b, state(r).Incarnation, 2, step, true)
			Expect(err).NotTo(HaveOccurred())
		}
		inc := state(m[3]).Incarnation
		if told {
			_, err := m[3].Stage(ctx, b, shifted(2))
			Expect(err).NotTo(HaveOccurred())
			_, err = m[3].Prepare(ctx, b, inc, 2, step)
			Expect(err).NotTo(HaveOccurred())
			_, err = m[3].Decide(ctx, b, inc, 2, step, true)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := m[3].Decide(ctx, b, inc, 1, state(m[0]).Step, true)
		Expect(err).NotTo(HaveOccurred())
		Expect(g.SetStalled(0, false)).To(Succeed())
		Eventually(func() int { return g.Stats().Steps }, "5s").Should(BeNumerically(">", int(step)+2))
		if !told {
			Expect(g.Stats().MixedSteps).To(BeNumerically(">", 0))
			return
		}
		Expect(g.Stats().MixedSteps).To(BeZero())
		Expect(g.Stats().Switches).To(Equal(4))
		Expect(g.ActiveMap(3)).To(Equal(shifted(2)))
	},
		Entry("with the committed switch", true),
		Entry("without the committed switch", false),
	)

	// Guards against a group of which every rank was replaced and that no order
	// can start again.
	It("starts again with its map if all ranks are replaced", func() {
		g, m := start(ranks.Settings{BaseMs: 0.2})
		steps(g, 3)
		for n := range m {
			Expect(g.ReplaceRank(n)).To(Succeed())
		}
		for _, r := range m {
			st, err := r.Decide(ctx, core.Ballot{Token: 1}, state(r).Incarnation, 1, 0, true)
			Expect(err).NotTo(HaveOccurred())
			Expect(st.Step).To(BeNumerically(">", 3))
		}
		steps(g, 3)
		Expect(g.Stats().MixedSteps).To(BeZero())
	})

	// Guards against step times that do not follow load and map.
	It("lets the slowest rank decide the step time", func() {
		g, m := start(ranks.Settings{TokenUs: 10})
		load := shape.ZipfLoad(0, 0, 0)
		load[0][0], load[1][1] = 300, 300
		Expect(g.SetLoad(load)).To(Succeed())
		// The first steps still had no load.
		for round := range 2 {
			steps(g, 5)
			sum := shape.ZipfLoad(0, 0, 0)
			for _, r := range m {
				seen, err := r.Load(ctx)
				Expect(err).NotTo(HaveOccurred())
				for l, row := range seen {
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
