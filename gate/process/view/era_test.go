package view

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/core/wire"
	"parsleyroute.example/fakes/process/meta"
	"parsleyroute.example/platform"
)

// comeBack makes the store go away for a moment and come back from its last copy.
func comeBack(srv *meta.Server) {
	srv.SetFaults(meta.Faults{Status: 503})
	time.Sleep(300 * time.Millisecond)
	srv.Restore()
	srv.SetFaults(meta.Faults{})
}

// numberedEntry is an entry with the number of its write.
func numberedEntry(state string, sequence int) map[string]any {
	e := entry(state)
	e["sequence"], e["born"] = sequence, 5
	return e
}

// eraView is a view whose last state can be read.
type eraView struct {
	*View
	mu    sync.Mutex
	state State
	// configs are the versions of the configurations that were in force, in order.
	configs []uint64
}

func (w *eraView) last() State {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state
}

func (w *eraView) config() uint64 {
	if c := w.last().Config; c != nil {
		return c.Version
	}
	return 0
}

func (w *eraView) ids() []string {
	var ids []string
	for id, e := range w.last().Upstreams {
		if !e.Draining {
			ids = append(ids, id)
		}
	}
	return ids
}

func (w *eraView) zoneOut() bool { return w.last().ZonesOut["z"] }

func runEraView(t *testing.T, srv *meta.Server, watches bool, peers ...*eraView) *eraView {
	t.Helper()
	w := &eraView{}
	w.View = &View{
		Store: platform.NewStore(srv.Addr()), Decoder: platform.Decoder{}, ShouldWatch: func() bool { return watches },
		OnChange: func(s State) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.state = s
			if s.Config != nil && (len(w.configs) == 0 || w.configs[len(w.configs)-1] != s.Config.Version) {
				w.configs = append(w.configs, s.Config.Version)
			}
		},
		Pull: func(ctx context.Context, addr netip.AddrPort, r *wire.PullRequest) (*wire.PullResponse, error) {
			return Server{View: peers[addr.Port()].View}.Pull(ctx, r)
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { w.Run(ctx) })
	wg.Go(func() {
		for ctx.Err() == nil {
			for i, p := range peers {
				w.ObservePeer(ctx, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10}), uint16(i)), p.KnownRevisions())
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	t.Cleanup(func() { cancel(); wg.Wait() })
	return w
}

// eraTimeout is the time within which changes must be known after the store is back.
const eraTimeout = 3 * time.Second

// Guards against gates that ignore what is written after the store has come back from a
// copy, since its revisions are lower, and against a return to the configuration of the copy.
// Some gates watch the store and others follow these.
func TestChangesInNewEra(t *testing.T) {
	g := NewWithT(t)
	srv := startStore(t)
	srv.Put("config", "main", config(5))
	srv.Put("servers", "a", numberedEntry("ready", 1))
	srv.Copy()
	for i := range 60 {
		srv.Put("servers", "a", numberedEntry("ready", 2+i))
	}
	srv.Put("config", "main", config(7))
	watcher := runEraView(t, srv, true)
	follower := runEraView(t, srv, false, watcher)
	for _, w := range []*eraView{watcher, follower} {
		g.Eventually(w.config, eraTimeout).Should(BeEquivalentTo(7))
	}
	for round := range 2 {
		comeBack(srv)
		g.Eventually(func() uint64 { return core.Era(watcher.knownRevision(core.KindConfig)) }, eraTimeout).Should(BeEquivalentTo(round + 1))
		// A gate that starts now has only the copy, and what its peers have.
		fresh := runEraView(t, srv, false, watcher)
		g.Eventually(fresh.config, eraTimeout).Should(BeEquivalentTo(7 + 10*round))
		srv.Put("servers", "b", numberedEntry("ready", 1))
		for _, w := range []*eraView{watcher, follower, fresh} {
			g.Eventually(w.ids, eraTimeout).Should(ContainElement("b"))
		}
		next := 17 + 10*round
		srv.Put("config", "main", config(next))
		for _, w := range []*eraView{watcher, follower, fresh} {
			g.Eventually(w.config, eraTimeout).Should(BeEquivalentTo(next))
		}
	}
	for _, w := range []*eraView{watcher, follower} {
		g.Expect(w.configs).To(Equal([]uint64{7, 17, 27}), "no configuration comes back")
	}
}

// Guards against an upstream that has left and is used again since the copy has its entry,
// with an earlier write or the last one, against one that leaves and counts as ready again,
// and against one that is not used since the copy does not have it yet.
func TestEntriesInNewEra(t *testing.T) {
	g := NewWithT(t)
	srv := startStore(t)
	srv.Put("config", "main", config(5))
	for i, id := range []string{"stays", "gone", "gone-idle", "leaves"} {
		srv.Put("servers", id, numberedEntry("ready", 10+i))
	}
	srv.Copy()
	srv.Put("servers", "gone", numberedEntry("ready", 20))
	srv.Put("servers", "leaves", numberedEntry("draining", 21))
	srv.Put("servers", "new", numberedEntry("ready", 1))
	srv.Put("servers", "new-gone", numberedEntry("ready", 1))
	watcher := runEraView(t, srv, true)
	follower := runEraView(t, srv, false, watcher)
	views := []*eraView{watcher, follower}
	for _, w := range views {
		g.Eventually(w.ids, eraTimeout).Should(ConsistOf("stays", "gone", "gone-idle", "new", "new-gone"))
	}
	srv.Remove("servers", "gone")
	srv.Remove("servers", "gone-idle")
	for _, w := range views {
		g.Eventually(w.ids, eraTimeout).Should(ConsistOf("stays", "new", "new-gone"))
	}
	comeBack(srv)
	// The workers that run write their entries again within about two seconds.
	for until := time.Now().Add(1500 * time.Millisecond); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		for _, w := range views {
			g.Expect(w.ids()).To(ConsistOf("stays", "new", "new-gone"))
		}
	}
	srv.Put("servers", "stays", numberedEntry("ready", 30))
	srv.Put("servers", "new", numberedEntry("ready", 2))
	for _, w := range views {
		g.Eventually(w.ids, 2*eraTimeout).Should(ConsistOf("stays", "new"), "new-gone has not written again")
		g.Consistently(w.ids, "300ms").Should(ConsistOf("stays", "new"))
	}
	// A later process under the id of one that has left.
	again := numberedEntry("ready", 1)
	again["born"] = 6
	srv.Put("servers", "gone", again)
	for _, w := range views {
		g.Eventually(w.ids, eraTimeout).Should(ConsistOf("stays", "new", "gone"))
	}
}

// Guards against requests to a zone that operators have taken out, since the copy does not
// say so yet, and against a zone that stays out for good.
func TestZoneOutInNewEra(t *testing.T) {
	for _, rewritten := range []bool{true, false} {
		t.Run(fmt.Sprintf("rewritten %t", rewritten), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			srv := startStore(t)
			srv.Put("config", "main", config(5))
			srv.Copy()
			srv.Put("evacuations", "z", map[string]any{})
			watcher := runEraView(t, srv, true)
			follower := runEraView(t, srv, false, watcher)
			views := []*eraView{watcher, follower}
			for _, w := range views {
				g.Eventually(w.zoneOut, eraTimeout).Should(BeTrue())
			}
			comeBack(srv)
			for _, w := range views {
				g.Consistently(w.zoneOut, "2s").Should(BeTrue())
			}
			if rewritten {
				srv.Put("evacuations", "z", map[string]any{})
				for _, w := range views {
					g.Consistently(w.zoneOut, zoneOutHold+time.Second).Should(BeTrue())
				}
				srv.Remove("evacuations", "z")
			}
			for _, w := range views {
				g.Eventually(w.zoneOut, zoneOutHold+eraTimeout).Should(BeFalse())
			}
		})
	}
}

// zoneOutHold is how long a zone stays out that the copy does not have.
const zoneOutHold = 10 * time.Second
