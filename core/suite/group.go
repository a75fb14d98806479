package suite

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"parsleyroute.example/core"
)

// RankGroup is a group under test whose steps take at most 5 ms. It has two ranks
// or more and no load.
type RankGroup struct {
	Ranks []core.RankEngine
	// InitialMap is the map with which the group starts.
	InitialMap *core.ExpertMap
	// Replace puts a new engine process in the place of a rank's.
	Replace func(rank int) error
}

// RankGroupSpecs registers the specs of core.RankEngine. open starts a group, and releases
// it with DeferCleanup.
func RankGroupSpecs(name string, open func() RankGroup) bool {
	return ginkgo.Describe(name, func() {
		var g RankGroup
		var next *core.ExpertMap
		ctx := context.Background()
		low, high := core.Ballot{Token: 1, Number: 9}, core.Ballot{Token: 2, Number: 1}
		ginkgo.BeforeEach(func() {
			g = open()
			next = g.InitialMap.Clone()
			next.Epoch++
			for i, e := range next.Slots {
				next.Slots[i] = uint32((int(e) + 1) % next.Experts)
			}
		})
		state := func(r core.RankEngine) core.RankState {
			ginkgo.GinkgoHelper()
			st, err := r.Inspect(ctx, core.Ballot{})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			return st
		}
		// prepare promises a switch on all ranks, and returns its step.
		prepare := func(b core.Ballot, ahead uint64) uint64 {
			ginkgo.GinkgoHelper()
			step := state(g.Ranks[0]).Step + ahead
			for _, r := range g.Ranks {
				_, err := r.Stage(ctx, b, next)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				st, err := r.Prepare(ctx, b, state(r).Incarnation, next.Epoch, step)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				gomega.Expect(st.PromisedStep).To(gomega.Equal(step))
			}
			return step
		}
		decide := func(b core.Ballot, step uint64, commit bool) {
			ginkgo.GinkgoHelper()
			for _, r := range g.Ranks {
				_, err := r.Decide(ctx, b, state(r).Incarnation, next.Epoch, step, commit)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
			}
		}
		epochs := func() []uint64 {
			out := make([]uint64, len(g.Ranks))
			for i, r := range g.Ranks {
				out[i] = state(r).ActiveEpoch
			}
			return out
		}
		all := func(epoch uint64) []uint64 {
			out := make([]uint64, len(g.Ranks))
			for i := range out {
				out[i] = epoch
			}
			return out
		}
		runs := func() {
			ginkgo.GinkgoHelper()
			step := state(g.Ranks[0]).Step
			gomega.Eventually(func() uint64 { return state(g.Ranks[0]).Step }, "5s").Should(gomega.BeNumerically(">", step+1))
		}

		// Guards against ranks that switch before, or go on without, the outcome.
		ginkgo.It("holds at the promised step until the outcome is known", func() {
			step := prepare(low, 200)
			gomega.Eventually(func() bool { return state(g.Ranks[1]).Holding }, "10s").Should(gomega.BeTrue())
			time.Sleep(20 * time.Millisecond)
			gomega.Expect(state(g.Ranks[0]).Step).To(gomega.Equal(step))
			gomega.Expect(epochs()).To(gomega.Equal(all(g.InitialMap.Epoch)))
			decide(low, step, true)
			runs()
			gomega.Expect(epochs()).To(gomega.Equal(all(next.Epoch)))
			decide(low, step, true)
			decide(low, step, false)
			runs()
			gomega.Expect(epochs()).To(gomega.Equal(all(next.Epoch)))
		})

		// Guards against switches that are given up and still happen.
		ginkgo.It("goes on with its map after an abort", func() {
			step := prepare(low, 200)
			decide(low, step, false)
			decide(low, step, false)
			gomega.Eventually(func() uint64 { return state(g.Ranks[0]).Step }, "10s").Should(gomega.BeNumerically(">", step))
			gomega.Expect(epochs()).To(gomega.Equal(all(g.InitialMap.Epoch)))
			_, err := g.Ranks[0].Decide(ctx, low, state(g.Ranks[0]).Incarnation, next.Epoch, step, true)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
		})

		// Guards against orders of a leader or decider that has been replaced.
		ginkgo.It("refuses stale ballots and passed steps", func() {
			r := g.Ranks[0]
			st, err := r.Inspect(ctx, high)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(st.PromisedBallot).To(gomega.Equal(high))
			_, err = r.Inspect(ctx, high)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
			_, err = r.Inspect(ctx, low)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
			_, err = r.Stage(ctx, low, next)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
			inc := st.Incarnation
			_, err = r.Prepare(ctx, high, inc, next.Epoch, st.Step+1000)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
			moved, err := r.Stage(ctx, high, next)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(moved).To(gomega.BeNumerically(">", 0))
			gomega.Expect(state(r).StagedEpochs).To(gomega.Equal([]uint64{next.Epoch}))
			_, err = r.Prepare(ctx, high, inc, next.Epoch, state(r).Step)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
			_, err = r.Prepare(ctx, low, inc, next.Epoch, st.Step+1000)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
			_, err = r.Decide(ctx, low, inc, next.Epoch, st.Step+1000, true)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
			_, err = r.Prepare(ctx, high, inc+1, next.Epoch, st.Step+1000)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
			_, err = r.Decide(ctx, core.Ballot{Token: 3}, inc, next.Epoch, st.Step+1000, true)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
			gomega.Expect(state(r).PromisedBallot).To(gomega.Equal(high))
			_, err = r.Stage(ctx, core.Ballot{Token: high.Token}, next)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			other := next.Clone()
			other.Slots = other.Slots[1:]
			_, err = r.Stage(ctx, high, other)
			gomega.Expect(trace.IsBadParameter(err)).To(gomega.BeTrue(), "%v", err)
		})

		// Guards against a committed switch that another promise replaces, and
		// against an engine that keeps what no rank has committed.
		ginkgo.It("keeps a committed switch and replaces a prepared one", func() {
			r := g.Ranks[0]
			inc, step := state(r).Incarnation, state(r).Step+2000
			for _, e := range []uint64{next.Epoch, next.Epoch + 1} {
				m := next.Clone()
				m.Epoch = e
				_, err := r.Stage(ctx, low, m)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
			}
			_, err := r.Prepare(ctx, low, inc, next.Epoch+1, step)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			st, err := r.Prepare(ctx, high, inc, next.Epoch, step+1)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect([]uint64{st.PromisedEpoch, st.PromisedStep}).To(gomega.Equal([]uint64{next.Epoch, step + 1}))
			_, err = r.Decide(ctx, high, inc, next.Epoch+1, step, true)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
			_, err = r.Decide(ctx, high, inc, next.Epoch, step+1, true)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = r.Prepare(ctx, high, inc, next.Epoch, step+1)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = r.Prepare(ctx, high, inc, next.Epoch+1, step+1)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
			_, err = r.Prepare(ctx, high, inc, next.Epoch, step)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
			_, err = r.Decide(ctx, high, inc, next.Epoch, step+1, false)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
			_, err = r.Decide(ctx, high, inc, next.Epoch, step, false)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(state(r).Committed).To(gomega.BeTrue())
			other := g.InitialMap.Clone()
			other.Epoch = next.Epoch
			_, err = r.Stage(ctx, high, other)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
		})

		// Guards against a replaced rank that keeps a promise, obeys orders for its
		// predecessor, joins on its own, or joins without a committed switch.
		ginkgo.It("admits a replaced rank", func() {
			step := prepare(low, 100)
			decide(low, step, true)
			r := g.Ranks[1]
			old := state(r).Incarnation
			gomega.Expect(g.Replace(1)).To(gomega.Succeed())
			st := state(r)
			gomega.Expect(st.Incarnation).NotTo(gomega.Equal(old))
			gomega.Expect(st).To(gomega.Equal(core.RankState{Incarnation: st.Incarnation, StagedEpochs: []uint64{g.InitialMap.Epoch}}))
			_, err := r.Decide(ctx, low, old, g.InitialMap.Epoch, 0, true)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
			_, err = r.Decide(ctx, low, st.Incarnation, next.Epoch, 0, true)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
			time.Sleep(50 * time.Millisecond)
			at := state(g.Ranks[0]).Step
			time.Sleep(20 * time.Millisecond)
			gomega.Expect(state(g.Ranks[0]).Step).To(gomega.Equal(at))
			_, err = r.Stage(ctx, low, next)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = r.Prepare(ctx, low, st.Incarnation, next.Epoch, step)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			for _, commit := range []bool{true, false, true} {
				if commit {
					_, err = r.Prepare(ctx, low, st.Incarnation, next.Epoch, step)
					gomega.Expect(err).NotTo(gomega.HaveOccurred())
				}
				_, err = r.Decide(ctx, low, st.Incarnation, next.Epoch, step, commit)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
			}
			gomega.Expect(state(r).ActiveEpoch).To(gomega.BeZero())
			_, err = r.Decide(ctx, low, st.Incarnation, g.InitialMap.Epoch, at, true)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Eventually(func() uint64 { return state(r).Step }, "10s").Should(gomega.BeNumerically(">", step))
			gomega.Expect(epochs()).To(gomega.Equal(all(next.Epoch)))
		})
	})
}
