package memory_test

import (
	"context"
	"testing"
	"time"

	"github.com/gravitational/trace"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/clock"
	"parsleyroute.example/core/suite"
	"parsleyroute.example/core/suite/memory"
	"parsleyroute.example/core/suite/seed"
)

func TestMemory(t *testing.T) {
	seed.RunSpecs(t, "memory")
}

var _ = suite.StoreSpecs("Store", func() core.Store { return &memory.Store{WatchWait: 50 * time.Millisecond} })

// Guards against a watch that misses changes without an error because the store
// has dropped them.
var _ = It("refuses a watch from a revision older than the history", func() {
	ctx := context.Background()
	s := &memory.Store{WatchWait: time.Millisecond, HistoryLimit: 4}
	obj := core.Object{Key: core.Key{Kind: core.KindTeam, Name: "a"}}
	obj, err := s.Create(ctx, obj)
	Expect(err).NotTo(HaveOccurred())
	for range 9 {
		obj, err = s.Update(ctx, obj)
		Expect(err).NotTo(HaveOccurred())
	}
	_, err = s.Watch(ctx, 1, core.KindTeam)
	Expect(trace.IsCompareFailed(err)).To(BeTrue(), "%v", err)
	_, err = s.Watch(ctx, obj.Version-1, core.KindTeam)
	Expect(err).NotTo(HaveOccurred())
})

// Guards against a list that shows changes before the lag has passed, or hides
// visible changes again when the lag increases.
var _ = It("shows changes of the instance list after the lag", func() {
	ctx := context.Background()
	c := clock.NewManual(time.Unix(1000, 0))
	l := &memory.Lister{Clock: c}
	l.SetLag(2 * time.Second)
	l.Put(core.Instance{Name: "b"})
	l.Put(core.Instance{Name: "a"})
	list, revision, _ := l.Instances(ctx)
	Expect(list).To(BeEmpty())
	Expect(revision).To(BeZero())
	c.Advance(2 * time.Second)
	l.Put(core.Instance{Name: "a", Leaving: true})
	l.SetLag(time.Hour)
	list, revision, _ = l.Instances(ctx)
	Expect(list).To(Equal([]core.Instance{{Name: "a"}, {Name: "b"}}))
	Expect(revision).To(BeEquivalentTo(2))
	l.Remove("b")
	c.Advance(time.Hour)
	list, _, _ = l.Instances(ctx)
	Expect(list).To(Equal([]core.Instance{{Name: "a", Leaving: true}}))
})
