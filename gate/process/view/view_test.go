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
	seed.Specs(t, "view")
}

// watcher is a view of a store with the states that it has published.
type watcher struct {
	*View
	mu     sync.Mutex
	states []State
}

func (w *watcher) last() State {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.states) == 0 {
		return State{}
	}
	return w.states[len(w.states)-1]
}

func (w *watcher) version() uint64 {
	if c := w.last().Config; c != nil {
		return c.Version
	}
	return 0
}

func (w *watcher) has(id string) func() bool {
	return func() bool { return w.last().Upstreams[id] != nil }
}

func open(srv *meta.Server) *watcher { return openWith(srv, nil) }

// openWith starts a view that leads as lead says.
func openWith(srv *meta.Server, lead func() bool) *watcher {
	store := platform.NewStore(srv.Addr())
	store.Timeout = 300 * time.Millisecond
	w := &watcher{View: &View{Feed: store, Decoder: platform.Decoder{}, Lead: lead}}
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

func store() *meta.Server {
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
	// Guards against changes that do not get in force, and against entries of
	// other writers that stop the rest.
	It("follows the store", func() {
		srv := store()
		w := open(srv)
		Eventually(w.version, "2s").Should(BeEquivalentTo(7))
		Eventually(w.has("c"), "2s").Should(BeTrue())
		srv.Put("servers", "odd", 17)
		srv.PutRaw("servers", "void", json.RawMessage(`{"state":"ready"}`))
		srv.Put("servers", "d", entry("draining"))
		srv.Put("evacuations", "z", map[string]any{})
		srv.Put("config", "main", config(9))
		Eventually(w.has("d"), "2s").Should(BeTrue())
		Eventually(func() bool { return w.last().Out["z"] }, "2s").Should(BeTrue())
		Eventually(w.version, "2s").Should(BeEquivalentTo(9))
		Expect(w.last().Upstreams).To(HaveLen(4))
		Expect(w.last().Upstreams["d"].Draining).To(BeTrue())
		srv.Remove("evacuations", "z")
		Eventually(func() bool { return w.last().Out["z"] }, "2s").Should(BeFalse())
	})

	// Guards against a configuration that goes back, whatever is read.
	It("never goes back", func() {
		w := open(store())
		Eventually(w.version, "2s").Should(BeEquivalentTo(7))
		old := core.Object{Key: core.Key{Kind: core.KindConfig, Name: core.ActiveConfigName}, Version: 1000, Value: []byte(`{"version":6}`)}
		w.do(context.Background(), func() { w.apply(core.KindConfig, []core.Object{old}, 1000, true, "test") })
		older := core.Object{Key: old.Key, Version: 1, Value: []byte(`{"version":99}`)}
		w.do(context.Background(), func() { w.apply(core.KindConfig, []core.Object{older}, 1, true, "test") })
		Consistently(w.version, "200ms").Should(BeEquivalentTo(7))
	})

	// Guards against a leaving worker that is used again because an earlier write
	// of its entry was delayed.
	It("leaves out entries that are older than those before", func() {
		srv := store()
		w := open(srv)
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
		// Another process under the same name counts anew.
		e["sequence"], e["born"] = 1, 18
		srv.Put("servers", "s", e)
		Eventually(draining, "2s").Should(BeFalse())
	})

	// Guards against a state that is lost with the store's history.
	It("reads all again when the history is gone", func() {
		srv := store()
		w := open(srv)
		Eventually(w.has("a"), "2s").Should(BeTrue())
		srv.Put("servers", "e", entry("ready"))
		srv.Forget()
		srv.Remove("servers", "a")
		Eventually(w.has("e"), "3s").Should(BeTrue())
		Eventually(w.has("a"), "3s").Should(BeFalse())
	})

	// Guards against a peer that gets all objects for each change, or not the
	// deletions.
	It("passes on what a peer lacks", func() {
		k := &kindState{kind: core.KindListedUpstream, objects: map[string]core.Object{}}
		object := func(name string, version uint64) core.Object {
			return core.Object{Key: core.Key{Kind: core.KindListedUpstream, Name: name}, Version: version}
		}
		k.replace([]core.Object{object("a", 3), object("b", 4)}, 10)
		Expect(k.wire(2).GetComplete()).To(BeTrue(), "deletions before the first list are not known")
		k.merge([]core.Object{object("c", 12), {Key: core.Key{Kind: core.KindListedUpstream, Name: "a"}, Version: 13, Deleted: true}})
		s := k.wire(12)
		Expect(s.GetComplete()).To(BeFalse())
		Expect(s.GetObjects()).To(HaveLen(1))
		other := &kindState{kind: core.KindListedUpstream, objects: map[string]core.Object{"a": object("a", 3), "b": object("b", 4)}}
		other.merge(fromWire(k.wire(11)))
		Expect(other.objects).To(Equal(k.objects))
		Expect(other.head).To(Equal(k.head))
	})

	// Guards against living workers that get no work because their entries
	// lapsed while the store was away.
	It("keeps upstreams whose entries lapse in an outage", func() {
		srv := store()
		w := open(srv)
		Eventually(w.has("a"), "2s").Should(BeTrue())
		srv.Set(meta.Faults{Status: 503})
		time.Sleep(300 * time.Millisecond)
		srv.Remove("servers", "a")
		srv.Set(meta.Faults{})
		Consistently(w.has("a"), "1500ms", "20ms").Should(BeTrue())
		Eventually(w.has("a"), "3s").Should(BeFalse())
	})

	// Guards against a worker that gets work after it has left: an entry that
	// went 3 s after an outage was held for 2 s more (ndiaye trouble-1, seed
	// 11886931467, DRAIN).
	It("drops an upstream that leaves after an outage", func() {
		srv := store()
		w := open(srv)
		Eventually(w.has("a"), "2s").Should(BeTrue())
		w.do(context.Background(), func() { w.trouble = time.Now().Add(-3 * time.Second) })
		srv.Remove("servers", "a")
		Eventually(w.has("a"), "1s").Should(BeFalse())
	})

	// Guards against a hold that outlasts the time in which leaving workers must
	// get no more work.
	It("keeps upstreams that go together for a while", func() {
		srv := store()
		w := open(srv)
		Eventually(w.has("c"), "2s").Should(BeTrue())
		gone := []core.Object{
			{Key: core.Key{Kind: core.KindListedUpstream, Name: "a"}, Version: 500, Deleted: true},
			{Key: core.Key{Kind: core.KindListedUpstream, Name: "b"}, Version: 501, Deleted: true},
		}
		w.do(context.Background(), func() { w.apply(core.KindListedUpstream, gone, 501, false, "test") })
		Consistently(w.has("a"), "800ms").Should(BeTrue())
		Eventually(w.has("a"), "1200ms").Should(BeFalse())
	})

	// Guards against all gates watching the store, and against a gate that does
	// not when nobody else does.
	It("watches only while it is to", func() {
		srv := store()
		var lead atomic.Bool
		w := openWith(srv, lead.Load)
		Eventually(w.version, "2s").Should(BeEquivalentTo(7))
		Eventually(w.Watching, "2s").Should(BeFalse())
		time.Sleep(100 * time.Millisecond)
		calls := srv.Calls()
		srv.Put("config", "main", config(8))
		Consistently(w.version, "300ms").Should(BeEquivalentTo(7))
		Expect(srv.Calls()).To(Equal(calls))
		lead.Store(true)
		Eventually(w.version, "2s").Should(BeEquivalentTo(8))
		Expect(w.Watching()).To(BeTrue())
	})

	// Guards against a gate that the store turns away and that does not learn
	// from the others.
	It("takes later states from a peer", func() {
		srv := store()
		w := open(srv)
		Eventually(w.version, "2s").Should(BeEquivalentTo(7))
		srv.Set(meta.Faults{Status: 503})
		peer := &View{Decoder: platform.Decoder{}, OnChange: func(State) {}}
		peer.init()
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go func() {
			for {
				select {
				case f := <-peer.updates:
					f()
				case <-ctx.Done():
					return
				}
			}
		}()
		object := core.Object{Key: core.Key{Kind: core.KindConfig, Name: core.ActiveConfigName}, Version: 900, Value: []byte(`{"version":30}`)}
		peer.do(ctx, func() { peer.apply(core.KindConfig, []core.Object{object}, 900, true, "test") })
		w.Pull = func(ctx context.Context, _ netip.AddrPort, r *wire.PullRequest) (*wire.PullResponse, error) {
			return Server{View: peer}.Pull(ctx, r)
		}
		Eventually(func() uint64 {
			w.Heard(ctx, netip.MustParseAddrPort("10.0.0.9:1"), peer.Known())
			return w.version()
		}, "3s", "50ms").Should(BeEquivalentTo(30))
	})
})
