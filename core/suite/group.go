package suite

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"parsleyroute.example/core"
)

// RankGroup is a rank group under test. It must have at least two ranks and no
// load, and its steps must take at most 5 ms.
type RankGroup struct {
	Ranks []core.RankEngine
	// InitialMap is the expert map with which the group starts.
	InitialMap *core.ExpertMap
	// Replace replaces the engine process of a rank by a new one.
	Replace func(rank int) error
}

// RankGroupSpecs registers the specs of core.RankEngine. newGroup starts a group
// and stops it with DeferCleanup.
func RankGroupSpecs(name string, newGroup func() RankGroup) bool {
	return ginkgo.Describe(name, func() {
		var g RankGroup
		var next *core.ExpertMap
		ctx := context.Background()
		low, high := core.Ballot{Token: 1, Number: 9}, core.Ballot{Token: 2, Number: 1}
		ginkgo.BeforeEach(func() {
			g = newGroup()
			next = g.InitialMap.Clone()
			next.Epoch++
			for i, e := range next.Slots {
				next.Slots[i] = uint32((int(e) + 1) % next.Experts)
			}
		})
		readState := func(r core.RankEngine) core.RankState {
			ginkgo.GinkgoHelper()
			st, err := r.Inspect(ctx, core.Ballot{})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			return st
		}
		// prepareAll prepares a switch on all ranks and returns its step.
		prepareAll := func(b core.Ballot, ahead uint64) uint64 {
			ginkgo.GinkgoHelper()
			step := readState(g.Ranks[0]).Step + ahead
			for _, r := range g.Ranks {
				_, err := r.Stage(ctx, b, next)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				st, err := r.Prepare(ctx, b, readState(r).Incarnation, next.Epoch, step)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				gomega.Expect(st.PromisedStep).To(gomega.Equal(step))
			}
			return step
		}
		decideAll := func(b core.Ballot, step uint64, commit bool) {
			ginkgo.GinkgoHelper()
			for _, r := range g.Ranks {
				_, err := r.Decide(ctx, b, readState(r).Incarnation, next.Epoch, step, commit)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
			}
		}
		activeEpochs := func() []uint64 {
			out := make([]uint64, len(g.Ranks))
			for i, r := range g.Ranks {
				out[i] = readState(r).ActiveEpoch
			}
			return out
		}
		sameEpochs := func(epoch uint64) []uint64 {
			out := make([]uint64, len(g.Ranks))
			for i := range out {
				out[i] = epoch
			}
			return out
		}
		expectProgress := func() {
			ginkgo.GinkgoHelper()
			step := readState(g.Ranks[0]).Step
			gomega.Eventually(func() uint64 { return readState(g.Ranks[0]).Step }, "5s").Should(gomega.BeNumerically(">", step+1))
		}

		// Guards against ranks that switch, or run the promised step, before the
		// switch is committed or aborted.
		ginkgo.It("waits at the promised step until the switch is decided", func() {
			step := prepareAll(low, 200)
			gomega.Eventually(func() bool { return readState(g.Ranks[1]).Holding }, "10s").Should(gomega.BeTrue())
			time.Sleep(20 * time.Millisecond)
			gomega.Expect(readState(g.Ranks[0]).Step).To(gomega.Equal(step))
			gomega.Expect(activeEpochs()).To(gomega.Equal(sameEpochs(g.InitialMap.Epoch)))
			decideAll(low, step, true)
			expectProgress()
			gomega.Expect(activeEpochs()).To(gomega.Equal(sameEpochs(next.Epoch)))
			decideAll(low, step, true)
			decideAll(low, step, false)
			expectProgress()
			gomega.Expect(activeEpochs()).To(gomega.Equal(sameEpochs(next.Epoch)))
		})

		// Guards against switches that take effect although they were aborted.
		ginkgo.It("continues with the active map after an abort", func() {
			step := prepareAll(low, 200)
			decideAll(low, step, false)
			decideAll(low, step, false)
			gomega.Eventually(func() uint64 { return readState(g.Ranks[0]).Step }, "10s").Should(gomega.BeNumerically(">", step))
			gomega.Expect(activeEpochs()).To(gomega.Equal(sameEpochs(g.InitialMap.Epoch)))
			_, err := g.Ranks[0].Decide(ctx, low, readState(g.Ranks[0]).Incarnation, next.Epoch, step, true)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
		})

		// Guards against commands of a former leader or coordinator that take
		// effect.
		ginkgo.It("refuses stale ballots and steps that have begun", func() {
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
			incarnation := st.Incarnation
			_, err = r.Prepare(ctx, high, incarnation, next.Epoch, st.Step+1000)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
			moved, err := r.Stage(ctx, high, next)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(moved).To(gomega.BeNumerically(">", 0))
			gomega.Expect(readState(r).StagedEpochs).To(gomega.Equal([]uint64{next.Epoch}))
			_, err = r.Prepare(ctx, high, incarnation, next.Epoch, readState(r).Step)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
			_, err = r.Prepare(ctx, low, incarnation, next.Epoch, st.Step+1000)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
			_, err = r.Decide(ctx, low, incarnation, next.Epoch, st.Step+1000, true)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
			_, err = r.Prepare(ctx, high, incarnation+1, next.Epoch, st.Step+1000)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
			_, err = r.Decide(ctx, core.Ballot{Token: 3}, incarnation, next.Epoch, st.Step+1000, true)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
			gomega.Expect(readState(r).PromisedBallot).To(gomega.Equal(high))
			_, err = r.Stage(ctx, core.Ballot{Token: high.Token}, next)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			other := next.Clone()
			other.Slots = other.Slots[1:]
			_, err = r.Stage(ctx, high, other)
			gomega.Expect(trace.IsBadParameter(err)).To(gomega.BeTrue(), "%v", err)
		})

		// Guards against an engine that replaces a committed switch, and against
		// one that keeps a prepared switch that no rank has committed.
		ginkgo.It("keeps a committed switch and replaces a prepared one", func() {
			r := g.Ranks[0]
			incarnation, step := readState(r).Incarnation, readState(r).Step+2000
			for _, e := range []uint64{next.Epoch, next.Epoch + 1} {
				m := next.Clone()
				m.Epoch = e
				_, err := r.Stage(ctx, low, m)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
			}
			_, err := r.Prepare(ctx, low, incarnation, next.Epoch+1, step)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			st, err := r.Prepare(ctx, high, incarnation, next.Epoch, step+1)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect([]uint64{st.PromisedEpoch, st.PromisedStep}).To(gomega.Equal([]uint64{next.Epoch, step + 1}))
			_, err = r.Decide(ctx, high, incarnation, next.Epoch+1, step, true)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
			_, err = r.Decide(ctx, high, incarnation, next.Epoch, step+1, true)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = r.Prepare(ctx, high, incarnation, next.Epoch, step+1)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = r.Prepare(ctx, high, incarnation, next.Epoch+1, step+1)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
			_, err = r.Prepare(ctx, high, incarnation, next.Epoch, step)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
			_, err = r.Decide(ctx, high, incarnation, next.Epoch, step+1, false)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
			_, err = r.Decide(ctx, high, incarnation, next.Epoch, step, false)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(readState(r).Committed).To(gomega.BeTrue())
			other := g.InitialMap.Clone()
			other.Epoch = next.Epoch
			_, err = r.Stage(ctx, high, other)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
		})

		// Guards against a replaced rank that keeps the promise of its predecessor,
		// accepts commands for its predecessor, joins before Decide admits it, or
		// joins without a switch that was committed.
		ginkgo.It("admits a replaced rank", func() {
			step := prepareAll(low, 100)
			decideAll(low, step, true)
			r := g.Ranks[1]
			oldIncarnation := readState(r).Incarnation
			gomega.Expect(g.Replace(1)).To(gomega.Succeed())
			st := readState(r)
			gomega.Expect(st.Incarnation).NotTo(gomega.Equal(oldIncarnation))
			gomega.Expect(st).To(gomega.Equal(core.RankState{Incarnation: st.Incarnation, StagedEpochs: []uint64{g.InitialMap.Epoch}}))
			_, err := r.Decide(ctx, low, oldIncarnation, g.InitialMap.Epoch, 0, true)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
			_, err = r.Decide(ctx, low, st.Incarnation, next.Epoch, 0, true)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
			time.Sleep(50 * time.Millisecond)
			waitingStep := readState(g.Ranks[0]).Step
			time.Sleep(20 * time.Millisecond)
			gomega.Expect(readState(g.Ranks[0]).Step).To(gomega.Equal(waitingStep))
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
			gomega.Expect(readState(r).ActiveEpoch).To(gomega.BeZero())
			_, err = r.Decide(ctx, low, st.Incarnation, g.InitialMap.Epoch, waitingStep, true)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Eventually(func() uint64 { return readState(r).Step }, "10s").Should(gomega.BeNumerically(">", step))
			gomega.Expect(activeEpochs()).To(gomega.Equal(sameEpochs(next.Epoch)))
		})
	})
}
