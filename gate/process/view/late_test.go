package view

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/platform"
)

// lateView is a view without a store, to which a test applies lists and changes.
type lateView struct {
	*View
	last State
}

func newLateView() *lateView {
	w := &lateView{View: &View{Decoder: platform.Decoder{}}}
	w.OnChange = func(s State) { w.last = s }
	w.init()
	return w
}

func object(t *testing.T, kind core.Kind, name string, version uint64) core.Object {
	t.Helper()
	value, err := json.Marshal(entry("ready"))
	if err != nil {
		t.Fatal(err)
	}
	return core.Object{Key: core.Key{Kind: kind, Name: name}, Version: version, Value: value}
}

// Guards against upstreams and evacuations that come back, and stay, because a list that was
// read before their deletion is answered after it.
func TestLateList(t *testing.T) {
	for _, kind := range []core.Kind{core.KindListedUpstream, core.KindZoneOut} {
		for name, earlier := range map[string]func(w *lateView){
			"a peer reported the deletion": func(w *lateView) {
				w.apply(kind, []core.Object{object(t, kind, "a", 5), object(t, kind, "b", 6)}, 6, true, "peer", 0)
				w.apply(kind, []core.Object{{Key: core.Key{Kind: kind, Name: "a"}, Version: 15, Deleted: true}}, 15, false, "peer", 0)
			},
			"a peer sent all objects without it": func(w *lateView) {
				w.apply(kind, []core.Object{object(t, kind, "b", 6), object(t, kind, "c", 20)}, 20, true, "peer", 0)
			},
			"the deletion came before the object": func(w *lateView) {
				w.apply(kind, []core.Object{{Key: core.Key{Kind: kind, Name: "a"}, Version: 15, Deleted: true}}, 15, false, "peer", 0)
			},
		} {
			t.Run(fmt.Sprintf("%s, %s", kind, name), func(t *testing.T) {
				g := NewWithT(t)
				w := newLateView()
				has := func(name string) bool {
					return w.last.Upstreams[name] != nil || w.last.ZonesOut[name]
				}
				earlier(w)
				w.apply(kind, []core.Object{object(t, kind, "a", 5), object(t, kind, "b", 6)}, 10, true, "store", 0)
				g.Expect(has("a")).To(BeFalse(), "deleted at 15")
				g.Expect(has("b")).To(BeTrue())
				w.apply(kind, []core.Object{object(t, kind, "a", 30)}, 30, false, "store", 0)
				g.Expect(has("a")).To(BeTrue(), "created anew")
			})
		}
	}
}

// Guards against an object that is taken for a deleted one, or never sent to peers, because
// a later page of a list had a later change than the first one.
func TestListOfSeveralPages(t *testing.T) {
	g := NewWithT(t)
	w := newLateView()
	const kind = core.KindListedUpstream
	// The first page was read at 10. Then a was created at 12 and z at 14, before the last
	// page was read.
	w.apply(kind, []core.Object{object(t, kind, "b", 6), object(t, kind, "z", 14)}, 10, true, "store", 0)
	g.Expect(w.kindStates[kind].revision).To(BeEquivalentTo(10), "the change at 12 is not known")
	w.apply(kind, []core.Object{object(t, kind, "a", 12), object(t, kind, "z", 14)}, 14, false, "store", 0)
	g.Expect(w.last.Upstreams).To(HaveKey("a"))
	g.Expect(w.kindStates[kind].revision).To(BeEquivalentTo(14))
}

// Guards against deletions that are forgotten when there are many.
func TestLateListAfterManyDeletions(t *testing.T) {
	g := NewWithT(t)
	w := newLateView()
	const kind = core.KindListedUpstream
	w.apply(kind, nil, 1, true, "store", 0)
	version := uint64(10)
	for i := range 3 * maxDeletions {
		name := fmt.Sprint("i-", i)
		version += 2
		w.apply(kind, []core.Object{object(t, kind, name, version)}, version, false, "store", 0)
		w.apply(kind, []core.Object{{Key: core.Key{Kind: kind, Name: name}, Version: version + 1, Deleted: true}}, version+1, false, "store", 0)
	}
	w.apply(kind, []core.Object{object(t, kind, "i-0", 12)}, 12, true, "store", 0)
	g.Expect(w.last.Upstreams).To(BeEmpty())
	g.Expect(len(w.kindStates[kind].deletions)).To(BeNumerically("<=", maxDeletions))
}

// Guards against a list that a gate waits for at its start and that is answered after a
// pull from a peer.
func TestLateListAtStart(t *testing.T) {
	g := NewWithT(t)
	srv := startStore(t)
	srv.Put("config", "main", config(7))
	srv.Put("servers", "a", entry("ready"))
	store := &slowLister{ListWatcher: platform.NewStore(srv.Addr()), listed: make(chan struct{}), answer: make(chan struct{})}
	w := newLateView()
	w.Store, w.ShouldWatch = store, func() bool { return false }
	has := make(chan bool, 100)
	w.OnChange = func(s State) { has <- s.Upstreams["a"] != nil }
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	g.Eventually(store.listed, "2s").Should(BeClosed())
	w.enqueue(ctx, func() { w.apply(core.KindListedUpstream, nil, 100, true, "peer", 0) })
	close(store.answer)
	time.Sleep(300 * time.Millisecond)
	for len(has) > 0 {
		g.Expect(<-has).To(BeFalse())
	}
}

// slowLister is a store that answers a list of upstreams late.
type slowLister struct {
	core.ListWatcher
	// listed is closed when the list has been read, and answer when it is to be returned.
	listed, answer chan struct{}
}

// ListKind implements core.ListWatcher.
func (s *slowLister) ListKind(ctx context.Context, kind core.Kind) ([]core.Object, uint64, error) {
	objects, revision, err := s.ListWatcher.ListKind(ctx, kind)
	if kind == core.KindListedUpstream {
		close(s.listed)
		<-s.answer
	}
	return objects, revision, err
}
