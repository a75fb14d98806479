package ranks_test

import (
	"context"
	"testing"
	"time"

	"github.com/gravitational/trace"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"parsleyroute.example/core"
	"parsleyroute.example/core/suite"
	"parsleyroute.example/core/suite/ranks"
	_ "parsleyroute.example/core/suite/seed"
)

func TestRanks(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ranks")
}

var shape = ranks.Shape{Layers: 2, Ranks: 4, SlotsPerRank: 3, Experts: 8}

func start(set ranks.Settings) (*ranks.Group, []core.Group) {
	GinkgoHelper()
	g := &ranks.Group{Shape: shape, Settings: set}
	Expect(g.Start()).To(Succeed())
	DeferCleanup(g.Close)
	members := make([]core.Group, shape.Ranks)
	for n := range members {
		members[n], _ = g.Rank(n)
	}
	return g, members
}

var _ = suite.Group("Ranks in memory", func() suite.Ranks {
	_, m := start(ranks.Settings{BaseMs: 0.5})
	return suite.Ranks{Ranks: m, Map: shape.Initial()}
})

// shifted returns the initial map at an epoch, with other experts in each slot.
func shifted(epoch uint64) *core.ExpertMap {
	m := shape.Initial()
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
		Expect(g.Stall(2, true)).To(Succeed())
		Eventually(func() int { return g.Stats().Stalled }, "5s", "1ms").Should(Equal(1))
		before := g.Stats().Steps
		time.Sleep(20 * time.Millisecond)
		Expect(g.Stats().Steps).To(Equal(before))
		for _, r := range m {
			st, err := r.Inspect(ctx, core.Ballot{})
			Expect(err).NotTo(HaveOccurred())
			Expect(st.Step).To(BeEquivalentTo(before + 1))
		}
		Expect(g.Stall(2, false)).To(Succeed())
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
			_, err = m[n].Prepare(ctx, b, 2, step)
			Expect(err).NotTo(HaveOccurred())
		}
		// The first promise keeps the group from passing the step meanwhile.
		for n := range shifts {
			_, err = m[n].Decide(ctx, b, 2, step, commit)
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

	// Guards against a replaced rank that keeps state, joins in the middle of a
	// step, or joins with an old map or without the promise of the others.
	It("replaces a rank in the middle of a switch", func() {
		g, m := start(ranks.Settings{BaseMs: 0.2, StageMs: 0.1})
		b := core.Ballot{Token: 1}
		st, _ := m[0].Inspect(ctx, b)
		step := st.Step + 300
		for _, r := range m {
			_, err := r.Stage(ctx, b, shifted(2))
			Expect(err).NotTo(HaveOccurred())
			_, err = r.Prepare(ctx, b, 2, step)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(g.Stall(0, true)).To(Succeed())
		Eventually(func() int { return g.Stats().Stalled }, "5s", "1ms").Should(Equal(1))
		Expect(g.Replace(3)).To(Succeed())
		st, err := m[3].Inspect(ctx, core.Ballot{})
		Expect(err).NotTo(HaveOccurred())
		Expect(st).To(Equal(core.RankState{}))
		_, err = m[3].Decide(ctx, b, 2, step, true)
		Expect(trace.IsNotFound(err)).To(BeTrue(), "%v", err)
		Expect(g.Stall(0, false)).To(Succeed())
		Eventually(func() uint64 { st, _ = m[3].Inspect(ctx, core.Ballot{}); return st.PromisedStep }, "5s").Should(Equal(step))
		for _, r := range m {
			_, err := r.Decide(ctx, b, 2, step, true)
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(func() int { return g.Stats().Steps }, "5s").Should(BeNumerically(">", int(step)+2))
		Expect(g.Stats().MixedSteps).To(BeZero())
		Expect(g.Stats().Switches).To(Equal(4))
		Expect(g.Map(3)).To(Equal(shifted(2)))
	})

	// Guards against a replaced rank that waits for the outcome of a switch while
	// the decider waits for the rank.
	DescribeTable("lets a replaced rank join ranks that hold", func(first int, commit bool) {
		g, m := start(ranks.Settings{BaseMs: 0.2})
		b := core.Ballot{Token: 1}
		st, _ := m[0].Inspect(ctx, b)
		step := st.Step + 200
		for _, r := range m {
			_, err := r.Stage(ctx, b, shifted(2))
			Expect(err).NotTo(HaveOccurred())
			_, err = r.Prepare(ctx, b, 2, step)
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(func() bool { st, _ = m[3].Inspect(ctx, b); return st.Holding }, "5s").Should(BeTrue())
		_, err := m[first].Decide(ctx, b, 2, step, commit)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(5 * time.Millisecond)
		Expect(g.Replace(3)).To(Succeed())
		for _, n := range []int{3, 2, 1, 0} {
			Eventually(func() error { _, err := m[n].Decide(ctx, b, 2, step, commit); return err }, "5s", "1ms").Should(Succeed())
		}
		steps(g, 2)
		Expect(g.Stats().MixedSteps).To(BeZero())
		want := shape.Initial()
		if commit {
			want = shifted(2)
		}
		Expect(g.Map(3)).To(Equal(want))
	},
		Entry("commit, known to another rank", 0, true),
		Entry("commit, known to the replaced rank", 3, true),
		Entry("abort, known to another rank", 0, false),
		Entry("abort, known to the replaced rank", 3, false),
	)

	// Guards against step times that do not follow load and map.
	It("lets the slowest rank decide the step time", func() {
		g, m := start(ranks.Settings{TokenUs: 10})
		load := shape.Zipf(0, 0, 0)
		load[0][0], load[1][1] = 300, 300
		Expect(g.SetLoad(load)).To(Succeed())
		// The first steps still had no load.
		for round := range 2 {
			steps(g, 5)
			sum := shape.Zipf(0, 0, 0)
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

	// Guards against any order of switches, aborts and replacements after which
	// ranks use different maps.
	It("never mixes maps if all ranks get the same decisions", func() {
		b := core.Ballot{Token: 1}
		// until repeats a call that a joining rank refuses.
		until := func(f func() error) {
			GinkgoHelper()
			Eventually(f, "5s", "1ms").Should(Succeed())
		}
		type round struct {
			commit   bool
			moment   int
			replaced []int
		}
		rounds := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) round {
			return round{
				commit:   rapid.Bool().Draw(t, "commit"),
				moment:   rapid.IntRange(0, 3).Draw(t, "moment"),
				replaced: rapid.SliceOfN(rapid.IntRange(0, 3), 0, 2).Draw(t, "replaced"),
			}
		}), 1, 4)
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			// A group of its own, because a round that is broken off leaves
			// a promise.
			g, m := start(ranks.Settings{})
			defer func() { _ = g.Close() }()
			for i, r := range rounds.Draw(t, "rounds") {
				epoch := uint64(i + 2)
				maybe := func(moment int) {
					for _, n := range r.replaced {
						if moment == r.moment {
							Expect(g.Replace(n)).To(Succeed())
						}
					}
				}
				maybe(0)
				for _, r := range m {
					until(func() error { _, err := r.Stage(ctx, b, shifted(epoch)); return err })
				}
				maybe(1)
				st, _ := m[1].Inspect(ctx, b)
				step := st.Step + 50
				ready := true
				for _, r := range m {
					_, err := r.Prepare(ctx, b, epoch, step)
					ready = ready && err == nil
				}
				maybe(2)
				for _, o := range m {
					until(func() error { _, err := o.Decide(ctx, b, epoch, step, r.commit && ready); return err })
				}
				maybe(3)
				steps(g, 2)
				Expect(g.Stats().MixedSteps).To(BeZero())
			}
		})
	})
})
