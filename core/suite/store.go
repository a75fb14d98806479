package suite

import (
	"bytes"
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"parsleyroute.example/core"
	"parsleyroute.example/core/suite/memory"
)

// StoreSpecs registers the specs of core.Store. newStore returns an empty store
// whose watches wait for 50 to 200 ms, and closes it with DeferCleanup.
func StoreSpecs(name string, newStore func() core.Store) bool {
	return StoreSpecsWithLimit(name, memory.MaxValueSize, newStore)
}

// StoreSpecsWithLimit registers the specs of a core.Store whose values have at
// most maxValueSize bytes.
func StoreSpecsWithLimit(name string, maxValueSize int, newStore func() core.Store) bool {
	return ginkgo.Describe(name, func() {
		var s core.Store
		var ctx context.Context
		ginkgo.BeforeEach(func() {
			s = newStore()
			c, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			ginkgo.DeferCleanup(cancel)
			ctx = c
		})
		key := func(name string) core.Key { return core.Key{Kind: core.KindTeam, Name: name} }
		create := func(k core.Key, value string) core.Object {
			ginkgo.GinkgoHelper()
			obj, err := s.Create(ctx, core.Object{Key: k, Writer: "w", Nonce: "n", Value: []byte(value)})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			return obj
		}

		// Guards against objects that are stored or returned incorrectly, and
		// against versions that do not increase.
		ginkgo.It("returns what was written", func() {
			a := create(key("a b/ü?&"), "one")
			got, err := s.Get(ctx, a.Key)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(got).To(gomega.Equal(a))
			// The writer is "w", the nonce "n" and the value "one".
			gomega.Expect(got.Writer + got.Nonce + string(got.Value)).To(gomega.Equal("wnone"))
			a.Value = []byte("two")
			b, err := s.Update(ctx, a)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(b.Version).To(gomega.BeNumerically(">", a.Version))
			d, err := s.Delete(ctx, b)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(d.Version).To(gomega.BeNumerically(">", b.Version))
			gomega.Expect(d.Deleted).To(gomega.BeTrue())
			gomega.Expect(d.DeletedAt).NotTo(gomega.BeZero())
			gomega.Expect(d.Value).To(gomega.BeEmpty())
			_, err = s.Get(ctx, a.Key)
			gomega.Expect(trace.IsNotFound(err)).To(gomega.BeTrue(), "%v", err)
		})

		// Guards against failures that callers cannot distinguish.
		ginkgo.It("returns a distinct error type for each failure", func() {
			a := create(key("a"), "one")
			_, err := s.Create(ctx, a)
			gomega.Expect(trace.IsAlreadyExists(err)).To(gomega.BeTrue(), "%v", err)
			stale := a
			stale.Version--
			_, err = s.Update(ctx, stale)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
			_, err = s.Delete(ctx, stale)
			gomega.Expect(trace.IsCompareFailed(err)).To(gomega.BeTrue(), "%v", err)
			absent := core.Object{Key: key("absent"), Version: 1}
			_, err = s.Update(ctx, absent)
			gomega.Expect(trace.IsNotFound(err)).To(gomega.BeTrue(), "%v", err)
			_, err = s.Delete(ctx, absent)
			gomega.Expect(trace.IsNotFound(err)).To(gomega.BeTrue(), "%v", err)
			_, err = s.Create(ctx, core.Object{Key: key("")})
			gomega.Expect(trace.IsBadParameter(err)).To(gomega.BeTrue(), "%v", err)
			_, err = s.Create(ctx, core.Object{Key: key("big"), Value: bytes.Repeat([]byte("x"), maxValueSize+1)})
			gomega.Expect(trace.IsBadParameter(err)).To(gomega.BeTrue(), "%v", err)
			_, err = s.Create(ctx, core.Object{Key: key("big"), Value: bytes.Repeat([]byte("x"), maxValueSize)})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		})

		// Guards against two updates of the same version that both succeed.
		ginkgo.It("accepts only one of several concurrent updates", func() {
			a := create(key("a"), "0")
			var successes atomic.Int32
			var wg sync.WaitGroup
			for i := range 8 {
				wg.Go(func() {
					update := a
					update.Value = []byte(strconv.Itoa(i))
					if _, err := s.Update(ctx, update); err == nil {
						successes.Add(1)
					}
				})
			}
			wg.Wait()
			gomega.Expect(successes.Load()).To(gomega.BeEquivalentTo(1))
		})

		// Guards against lists that omit objects at page boundaries.
		ginkgo.It("lists more than two pages", func() {
			const n = 1203
			for i := range n {
				create(key(fmt.Sprintf("t%d", i)), "v")
			}
			create(core.Key{Kind: core.KindZone, Name: "z"}, "v")
			last := create(core.Key{Kind: core.KindRule, Name: "r"}, "v")
			objs, revision, err := s.List(ctx, core.KindTeam, core.KindZone)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(revision).To(gomega.Equal(last.Version))
			seen := map[core.Key]bool{}
			for _, o := range objs {
				seen[o.Key] = true
			}
			gomega.Expect(seen).To(gomega.HaveLen(n + 1))
			gomega.Expect(objs).To(gomega.HaveLen(n + 1))
			gomega.Expect(seen).NotTo(gomega.HaveKey(last.Key))
		})

		// Guards against watches that miss, repeat or reorder changes.
		ginkgo.It("returns the changes of several kinds after a revision", func() {
			a := create(key("a"), "1")
			z := create(core.Key{Kind: core.KindZone, Name: "z"}, "1")
			create(core.Key{Kind: core.KindRule, Name: "r"}, "1")
			d, err := s.Delete(ctx, a)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			objs, err := s.Watch(ctx, a.Version, core.KindTeam, core.KindZone)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(objs).To(gomega.Equal([]core.Object{z, d}))
			objs, err = s.Watch(ctx, d.Version, core.KindTeam, core.KindZone)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(objs).To(gomega.BeEmpty())
		})

		// Guards against a waiting watch that misses a change, and against one that
		// continues after its context is canceled.
		ginkgo.It("ends a waiting watch at a change and a canceled one at once", func() {
			a := create(key("a"), "1")
			received := make(chan []core.Object, 1)
			go func() {
				defer ginkgo.GinkgoRecover()
				for {
					objs, err := s.Watch(ctx, a.Version, core.KindTeam)
					if err != nil || len(objs) > 0 {
						received <- objs
						return
					}
				}
			}()
			b, err := s.Update(ctx, a)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Eventually(received, "2s").Should(gomega.Receive(gomega.Equal([]core.Object{b})))
			canceled, cancel := context.WithCancel(ctx)
			cancel()
			_, err = s.Watch(canceled, b.Version, core.KindTeam)
			gomega.Expect(trace.IsConnectionProblem(err)).To(gomega.BeTrue(), "%v", err)
		})

		// Guards against sequences of writes after which a list and the watched
		// changes give different objects.
		ginkgo.It("shows the same objects in lists and watches", func() {
			rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
				_, start, err := s.List(ctx, core.KindTeam)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				old, _, err := s.List(ctx, core.KindTeam)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				live := map[string]core.Object{}
				for _, o := range old {
					live[o.Name] = o
				}
				replica := map[string]core.Object{}
				for k, o := range live {
					replica[k] = o
				}
				names := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 8).Draw(t, "names")
				for i, name := range names {
					obj, ok := live[name]
					obj.Key, obj.Value = key(name), []byte(strconv.Itoa(i))
					switch {
					case !ok:
						obj, err = s.Create(ctx, obj)
					case rapid.Bool().Draw(t, "delete"):
						obj, err = s.Delete(ctx, obj)
					default:
						obj, err = s.Update(ctx, obj)
					}
					gomega.Expect(err).NotTo(gomega.HaveOccurred())
					if obj.Deleted {
						delete(live, name)
					} else {
						live[name] = obj
					}
				}
				objs, err := s.Watch(ctx, start, core.KindTeam)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				for _, o := range objs {
					if o.Deleted {
						delete(replica, o.Name)
					} else {
						replica[o.Name] = o
					}
				}
				gomega.Expect(replica).To(gomega.Equal(live))
			})
		})
	})
}
