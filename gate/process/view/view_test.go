package view

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/core/suite/seed"
	"parsleyroute.example/core/wire"
	"parsleyroute.example/fakes/process/meta"
	"parsleyroute.example/platform"
)

func TestView(t *testing.T) {
	seed.RunSpecs(t, "view")
}

// testView is a view that records the states that it publishes.
type testView struct {
	*View
	mu     sync.Mutex
	states []State
}

func (w *testView) last() State {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.states) == 0 {
		return State{}
	}
	return w.states[len(w.states)-1]
}

func (w *testView) version() uint64 {
	if c := w.last().Config; c != nil {
		return c.Version
	}
	return 0
}

func (w *testView) has(id string) func() bool {
	return func() bool { return w.last().Upstreams[id] != nil }
}

func openView(srv *meta.Server) *testView { return openViewWith(srv, nil) }

// openViewWith starts a view with the given ShouldWatch function.
func openViewWith(srv *meta.Server, shouldWatch func() bool) *testView {
	store := platform.NewStore(srv.Addr())
	store.Timeout = 300 * time.Millisecond
	w := &testView{View: &View{Store: store, Decoder: platform.Decoder{}, ShouldWatch: shouldWatch}}
	w.OnChange = func(s State) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.states = append(w.states, s)
	}
	w.Pull = func(context.Context, netip.AddrPort, *wire.PullRequest) (*wire.PullResponse, error) {
		return &wire.PullResponse{}, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	DeferCleanup(func() { cancel(); <-done })
	return w
}

// lapsingOutage is the shortest outage of the store in which an entry may lapse: two
// heartbeat intervals of an upstream.
const lapsingOutage = 2 * defaultHeartbeat

func newStore() *meta.Server {
	GinkgoHelper()
	srv := &meta.Server{}
	Expect(srv.Start()).To(Succeed())
	DeferCleanup(srv.Close)
	srv.Put("config", "main", config(7))
	for _, id := range []string{"a", "b", "c"} {
		srv.Put("servers", id, entry("ready"))
	}
	return srv
}

func config(version int) map[string]any { return map[string]any{"version": version} }

func entry(state string) map[string]any {
	return map[string]any{"backend": "p", "address": "10.0.0.1:80", "zone": "z", "state": state}
}

var _ = Describe("View", func() {
	// Guards against changes that are not applied, and against invalid entries
	// that block the processing of valid ones.
	It("applies changes in the store", func() {
		srv := newStore()
		w := openView(srv)
		Eventually(w.version, "2s").Should(BeEquivalentTo(7))
		Eventually(w.has("c"), "2s").Should(BeTrue())
		srv.Put("servers", "odd", 17)
		srv.PutRaw("servers", "void", json.RawMessage(`{"state":"ready"}`))
		srv.Put("servers", "d", entry("draining"))
		srv.Put("evacuations", "z", map[string]any{})
		srv.Put("config", "main", config(9))
		Eventually(w.has("d"), "2s").Should(BeTrue())
		Eventually(func() bool { return w.last().ZonesOut["z"] }, "2s").Should(BeTrue())
		Eventually(w.version, "2s").Should(BeEquivalentTo(9))
		Expect(w.last().Upstreams).To(HaveLen(4))
		Expect(w.last().Upstreams["d"].Draining).To(BeTrue())
		srv.Remove("evacuations", "z")
		Eventually(func() bool { return w.last().ZonesOut["z"] }, "2s").Should(BeFalse())
	})

	// Guards against a return to an earlier configuration after an outdated read.
	It("never reverts the configuration", func() {
		w := openView(newStore())
		Eventually(w.version, "2s").Should(BeEquivalentTo(7))
		old := core.Object{Key: core.Key{Kind: core.KindConfig, Name: core.ActiveConfigName}, Version: 1000, Value: []byte(`{"version":6}`)}
		w.enqueue(context.Background(), func() { w.apply(core.KindConfig, []core.Object{old}, 1000, true, "test", 0) })
		older := core.Object{Key: old.Key, Version: 1, Value: []byte(`{"version":99}`)}
		w.enqueue(context.Background(), func() { w.apply(core.KindConfig, []core.Object{older}, 1, true, "test", 0) })
		Consistently(w.version, "200ms").Should(BeEquivalentTo(7))
	})

	// Guards against using a draining upstream again because an earlier write of
	// its entry reached the store after a later one.
	It("ignores entries with a lower sequence number", func() {
		srv := newStore()
		w := openView(srv)
		e := entry("ready")
		e["sequence"], e["born"] = 4, 17
		srv.Put("servers", "s", e)
		Eventually(w.has("s"), "2s").Should(BeTrue())
		e["sequence"], e["state"] = 6, "draining"
		srv.Put("servers", "s", e)
		draining := func() bool { return w.last().Upstreams["s"].Draining }
		Eventually(draining, "2s").Should(BeTrue())
		e["sequence"], e["state"] = 5, "ready"
		srv.Put("servers", "s", e)
		Consistently(draining, "300ms").Should(BeTrue())
		// Another process with the same ID starts its own sequence.
		e["sequence"], e["born"] = 1, 18
		srv.Put("servers", "s", e)
		Eventually(draining, "2s").Should(BeFalse())
	})

	// Guards against missing changes that the store has dropped from its history.
	It("lists all objects again when the store has lost its history", func() {
		srv := newStore()
		w := openView(srv)
		Eventually(w.has("a"), "2s").Should(BeTrue())
		srv.Put("servers", "e", entry("ready"))
		srv.CompactHistory()
		srv.Remove("servers", "a")
		Eventually(w.has("e"), "3s").Should(BeTrue())
		Eventually(w.has("a"), "3s").Should(BeFalse())
	})

	// Guards against sending all objects to a peer for each change, and against
	// leaving out deletions.
	It("sends a peer the changes that it does not know", func() {
		k := &kindState{kind: core.KindListedUpstream, objects: map[string]core.Object{}}
		object := func(name string, version uint64) core.Object {
			return core.Object{Key: core.Key{Kind: core.KindListedUpstream, Name: name}, Version: version}
		}
		k.replace([]core.Object{object("a", 3), object("b", 4)}, 10)
		Expect(k.delta(2).GetComplete()).To(BeTrue(), "deletions before the first list are unknown")
		k.merge([]core.Object{object("c", 12), {Key: core.Key{Kind: core.KindListedUpstream, Name: "a"}, Version: 13, Deleted: true}})
		s := k.delta(12)
		Expect(s.GetComplete()).To(BeFalse())
		Expect(s.GetObjects()).To(HaveLen(1))
		other := &kindState{kind: core.KindListedUpstream, objects: map[string]core.Object{"a": object("a", 3), "b": object("b", 4)}}
		other.merge(objectsFromWire(k.delta(11)))
		Expect(other.objects).To(Equal(k.objects))
		Expect(other.revision).To(Equal(k.revision))
	})

	// Guards against running upstreams that get no requests because their entries
	// expired while the store was unavailable.
	It("keeps upstreams whose entries expire in an outage", func() {
		srv := newStore()
		w := openView(srv)
		Eventually(w.has("a"), "2s").Should(BeTrue())
		srv.SetFaults(meta.Faults{Status: 503})
		time.Sleep(lapsingOutage)
		srv.Remove("servers", "a")
		srv.SetFaults(meta.Faults{})
		Consistently(w.has("a"), "1500ms", "20ms").Should(BeTrue())
		Eventually(w.has("a"), "3s").Should(BeFalse())
	})

	// Guards against requests to an upstream that has left, because a call to the store
	// failed shortly before: no entry lapses in so short a time.
	It("drops an upstream that leaves beside failed calls", func() {
		srv := newStore()
		w := openView(srv)
		Eventually(w.has("a"), "2s").Should(BeTrue())
		for range 3 {
			srv.SetFaults(meta.Faults{Status: 503})
			time.Sleep(150 * time.Millisecond)
			srv.SetFaults(meta.Faults{})
			time.Sleep(300 * time.Millisecond)
		}
		srv.Remove("servers", "a")
		Eventually(w.has("a"), "1s").Should(BeFalse())
	})

	// Guards against a gate that stops to watch after a failed call, takes the store to be away
	// from then on, and tells peers to keep upstreams that have left (seen in review/4).
	It("does not take the store to be away when it makes no calls", func() {
		srv := newStore()
		var shouldWatch atomic.Bool
		shouldWatch.Store(true)
		w := openViewWith(srv, shouldWatch.Load)
		Eventually(w.Watching, "2s").Should(BeTrue())
		srv.SetFaults(meta.Faults{Status: 503})
		Eventually(w.Watching, "3s").Should(BeFalse())
		shouldWatch.Store(false)
		srv.SetFaults(meta.Faults{})
		time.Sleep(lapsingOutage)
		Expect(w.outage.LapseTime(time.Now())).To(BeZero())
	})

	// Guards against a gate that follows a peer and drops the upstreams whose entries have
	// lapsed in an outage of the store, and against one whose own calls fail and which keeps
	// an upstream that has left.
	DescribeTable("judges removals that a peer reports by the peer's calls", func(peerOutage, ownOutage, kept bool) {
		srv := newStore()
		away := func(v *View) {
			// The view has just had responses, so the outage ends in the future.
			v.outage.Failure(time.Now())
			v.outage.Success(time.Now().Add(lapsingOutage))
		}
		peer := openView(srv)
		Eventually(peer.has("a"), "2s").Should(BeTrue())
		w := openViewWith(srv, func() bool { return false })
		w.Pull = func(ctx context.Context, _ netip.AddrPort, r *wire.PullRequest) (*wire.PullResponse, error) {
			return Server{View: peer.View}.Pull(ctx, r)
		}
		Eventually(w.has("a"), "2s").Should(BeTrue())
		if peerOutage {
			away(peer.View)
		}
		if ownOutage {
			away(w.View)
		}
		srv.Remove("servers", "a")
		has := func() bool {
			w.ObservePeer(context.Background(), netip.MustParseAddrPort("10.0.0.9:1"), peer.KnownRevisions())
			return w.last().Upstreams["a"] != nil
		}
		if kept {
			Consistently(has, "1200ms", "50ms").Should(BeTrue())
		} else {
			Eventually(has, "1s", "50ms").Should(BeFalse())
		}
	},
		Entry("after an outage", true, false, true),
		Entry("without one", false, false, false),
		Entry("without one at the peer", false, true, false),
	)

	// Guards against requests to an upstream that has left: an entry that was
	// removed 3 s after an outage was held for another 2 s (seen in a test
	// run with seed 11886931467).
	It("drops an upstream that leaves after an outage", func() {
		srv := newStore()
		w := openView(srv)
		Eventually(w.has("a"), "2s").Should(BeTrue())
		w.outage.Failure(time.Now().Add(-3*time.Second - lapsingOutage))
		w.outage.Success(time.Now().Add(-3 * time.Second))
		srv.Remove("servers", "a")
		Eventually(w.has("a"), "1s").Should(BeFalse())
	})

	// Guards against a hold that is longer than the time after which an upstream
	// that leaves must get no more requests.
	It("keeps upstreams whose entries are removed together for a limited time", func() {
		srv := newStore()
		w := openView(srv)
		Eventually(w.has("c"), "2s").Should(BeTrue())
		removed := []core.Object{
			{Key: core.Key{Kind: core.KindListedUpstream, Name: "a"}, Version: 500, Deleted: true},
			{Key: core.Key{Kind: core.KindListedUpstream, Name: "b"}, Version: 501, Deleted: true},
		}
		w.enqueue(context.Background(), func() { w.apply(core.KindListedUpstream, removed, 501, false, "test", 0) })
		Consistently(w.has("a"), "800ms").Should(BeTrue())
		Eventually(w.has("a"), "1200ms").Should(BeFalse())
	})

	// Guards against a gate that watches the store although others do, and against
	// one that does not start to watch when it should.
	It("watches only while ShouldWatch reports true", func() {
		srv := newStore()
		var shouldWatch atomic.Bool
		w := openViewWith(srv, shouldWatch.Load)
		Eventually(w.version, "2s").Should(BeEquivalentTo(7))
		Eventually(w.Watching, "2s").Should(BeFalse())
		time.Sleep(100 * time.Millisecond)
		calls := srv.RequestCount()
		srv.Put("config", "main", config(8))
		Consistently(w.version, "300ms").Should(BeEquivalentTo(7))
		Expect(srv.RequestCount()).To(Equal(calls))
		shouldWatch.Store(true)
		Eventually(w.version, "2s").Should(BeEquivalentTo(8))
		// The watches of the other kinds get their first responses independently.
		Eventually(w.Watching, "2s", "1ms").Should(BeTrue())
		Consistently(w.Watching, "300ms").Should(BeTrue())
	})

	// Guards against a gate that stays outdated because the store refuses its
	// calls although its peers are up to date.
	It("pulls later revisions from a peer", func() {
		srv := newStore()
		w := openView(srv)
		Eventually(w.version, "2s").Should(BeEquivalentTo(7))
		srv.SetFaults(meta.Faults{Status: 503})
		peer := &View{Decoder: platform.Decoder{}, OnChange: func(State) {}}
		peer.init()
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go runTasks(ctx, peer)
		object := core.Object{Key: core.Key{Kind: core.KindConfig, Name: core.ActiveConfigName}, Version: 900, Value: []byte(`{"version":30}`)}
		peer.enqueue(ctx, func() { peer.apply(core.KindConfig, []core.Object{object}, 900, true, "test", 0) })
		w.Pull = func(ctx context.Context, _ netip.AddrPort, r *wire.PullRequest) (*wire.PullResponse, error) {
			return Server{View: peer}.Pull(ctx, r)
		}
		Eventually(func() uint64 {
			w.ObservePeer(ctx, netip.MustParseAddrPort("10.0.0.9:1"), peer.KnownRevisions())
			return w.version()
		}, "3s", "50ms").Should(BeEquivalentTo(30))
	})
})
