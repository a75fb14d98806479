package view

import (
	"context"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/core/wire"
	"parsleyroute.example/fakes/process/meta"
	"parsleyroute.example/platform"
)

// pullFunc is View.Pull.
type pullFunc func(ctx context.Context, addr netip.AddrPort, r *wire.PullRequest) (*wire.PullResponse, error)

func pullNothing(context.Context, netip.AddrPort, *wire.PullRequest) (*wire.PullResponse, error) {
	return &wire.PullResponse{}, nil
}

// published is what a view has published last.
type published struct{ version, zonesOut atomic.Uint64 }

// runView runs a view of the store until the end of the test.
func runView(t *testing.T, srv *meta.Server, shouldWatch func() bool, pull pullFunc) (*View, *published) {
	t.Helper()
	var p published
	w := &View{
		Store: platform.NewStore(srv.Addr()), Decoder: platform.Decoder{}, ShouldWatch: shouldWatch, Pull: pull,
		OnChange: func(s State) {
			if s.Config != nil {
				p.version.Store(s.Config.Version)
			}
			p.zonesOut.Store(uint64(len(s.ZonesOut)))
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return w, &p
}

func startStore(t *testing.T) *meta.Server {
	t.Helper()
	srv := &meta.Server{}
	if err := srv.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(srv.Close)
	return srv
}

// Guards against a watch that waits for a response that was lost on a connection that lives on.
func TestLostWatchResponse(t *testing.T) {
	g := NewWithT(t)
	srv := startStore(t)
	srv.Put("config", "main", config(7))
	w, last := runView(t, srv, nil, pullNothing)
	g.Eventually(last.version.Load, "2s").Should(BeEquivalentTo(7))
	g.Eventually(w.Watching, "2s").Should(BeTrue())
	time.Sleep(2 * minWatchInterval) // until the watches wait at the store
	srv.SetFaults(meta.Faults{LoseWatchResponses: true})
	srv.Put("config", "main", config(9))
	time.Sleep(minWatchInterval)
	srv.SetFaults(meta.Faults{})
	g.Eventually(last.version.Load, disturbanceTimeout).Should(BeEquivalentTo(9))
}

// Guards against a watch that asks for more known changes than a response can hold.
func TestWatchAfterManyLargeChanges(t *testing.T) {
	g := NewWithT(t)
	srv := startStore(t)
	srv.PutRaw("config", "main", largeConfig(7))
	var shouldWatch atomic.Bool
	w, last := runView(t, srv, shouldWatch.Load, pullNothing)
	g.Eventually(last.version.Load, "2s").Should(BeEquivalentTo(7))
	g.Eventually(w.Watching, "2s").Should(BeFalse())
	const versions = 40 // 14 MB
	for i := range versions {
		revision := srv.PutRaw("config", "main", largeConfig(8+i))
		if i == versions-1 {
			last := core.Object{Key: core.Key{Kind: core.KindConfig, Name: core.ActiveConfigName}, Version: revision, Value: largeConfig(8 + i)}
			w.enqueue(context.Background(), func() { w.apply(core.KindConfig, []core.Object{last}, revision, false, "peer", 0) })
		}
	}
	g.Eventually(last.version.Load, "2s").Should(BeEquivalentTo(7 + versions))
	shouldWatch.Store(true)
	g.Eventually(w.Watching, "2s").Should(BeTrue())
	srv.Put("config", "main", config(100))
	g.Eventually(last.version.Load, applyTimeout).Should(BeEquivalentTo(100))
}

// Guards against gates that rely on the watch of one to which the store does not respond.
func TestUnansweredWatchIsNotAnnounced(t *testing.T) {
	g := NewWithT(t)
	srv := startStore(t)
	srv.Put("config", "main", config(7))
	var shouldWatch atomic.Bool
	w, last := runView(t, srv, shouldWatch.Load, pullNothing)
	g.Eventually(last.version.Load, "2s").Should(BeEquivalentTo(7))
	g.Eventually(w.Watching, "2s").Should(BeFalse())
	srv.SetFaults(meta.Faults{Hang: true})
	shouldWatch.Store(true)
	g.Consistently(w.Watching, "1s", "10ms").Should(BeFalse())
	srv.SetFaults(meta.Faults{})
	g.Eventually(w.Watching, disturbanceTimeout).Should(BeTrue())
}

// Guards against objects that stay at a gate whose peer learned of their deletion from a list.
func TestListedDeletionReachesPeers(t *testing.T) {
	g := NewWithT(t)
	srv := startStore(t)
	srv.Put("config", "main", config(7))
	srv.Put("evacuations", "z", map[string]any{})
	peer, peerLast := runView(t, srv, nil, pullNothing)
	g.Eventually(peerLast.version.Load, "2s").Should(BeEquivalentTo(7))
	w, last := runView(t, srv, func() bool { return false }, func(ctx context.Context, _ netip.AddrPort, r *wire.PullRequest) (*wire.PullResponse, error) {
		return Server{View: peer}.Pull(ctx, r)
	})
	g.Eventually(last.zonesOut.Load, "2s").Should(BeEquivalentTo(1))
	srv.SetFaults(meta.Faults{Status: 503})
	srv.Remove("evacuations", "z")
	srv.CompactHistory()
	srv.SetFaults(meta.Faults{})
	g.Eventually(func() uint64 {
		w.ObservePeer(context.Background(), netip.MustParseAddrPort("10.0.0.9:1"), peer.KnownRevisions())
		return last.zonesOut.Load()
	}, disturbanceTimeout, "50ms").Should(BeZero())
}

// Guards against a gate that stops following the store when a large entry changes often.
func TestWatchOfTooManyChanges(t *testing.T) {
	g := NewWithT(t)
	srv := startStore(t)
	srv.Put("config", "main", config(7))
	w, last := runView(t, srv, nil, pullNothing)
	g.Eventually(last.version.Load, "2s").Should(BeEquivalentTo(7))
	g.Eventually(w.Watching, "2s").Should(BeTrue())
	deep := strings.Repeat("[", 500_000) + strings.Repeat("]", 500_000)
	srv.SetFaults(meta.Faults{Status: 503})
	for range 12 { // 12 MB
		srv.PutOdd("servers", "odd", deep)
	}
	srv.Put("servers", "sound", entry("ready"))
	srv.SetFaults(meta.Faults{})
	known := func() uint64 { return w.knownRevision(core.KindListedUpstream) }
	g.Eventually(known, disturbanceTimeout).Should(BeEquivalentTo(14))
	g.Eventually(w.Watching, "2s").Should(BeTrue())
	srv.Put("servers", "sound", entry("draining"))
	g.Eventually(known, applyTimeout).Should(BeEquivalentTo(15))
}
