package view

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/core/wire"
	"parsleyroute.example/fakes/process/meta"
	"parsleyroute.example/fakes/process/proxy"
	"parsleyroute.example/platform"
)

// disturbanceTimeout is the time from a disturbance of the connections after which a
// gate must have the changes that were confirmed config_apply_ms before: the least
// stable_window_ms of a deployment.
const disturbanceTimeout = 3 * time.Second

// Guards against a watch that stays on a connection which has gone silent without a reset.
func TestSilentStoreConnections(t *testing.T) {
	g := NewWithT(t)
	srv := &meta.Server{}
	g.Expect(srv.Start()).To(Succeed())
	defer srv.Close()
	srv.Put("config", "main", config(7))
	links := &proxy.Server{LinkConfigs: []proxy.LinkConfig{{Name: "store", Target: srv.Addr()}}}
	g.Expect(links.Start()).To(Succeed())
	defer func() { _ = links.Close() }()
	var version atomic.Uint64
	w := &View{
		Store: platform.NewStore(links.Links()["store"].Listen), Decoder: platform.Decoder{},
		OnChange: func(s State) {
			if s.Config != nil {
				version.Store(s.Config.Version)
			}
		},
		Pull: func(context.Context, netip.AddrPort, *wire.PullRequest) (*wire.PullResponse, error) {
			return &wire.PullResponse{}, nil
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	defer func() { cancel(); <-done }()
	g.Eventually(version.Load, "2s").Should(BeEquivalentTo(7))
	g.Eventually(w.Watching, "2s").Should(BeTrue())
	time.Sleep(2 * minWatchInterval) // until the watches wait at the store
	g.Expect(links.Silence("store")).To(BeNumerically(">=", len(kinds)))
	srv.Put("config", "main", config(9))
	g.Eventually(version.Load, disturbanceTimeout).Should(BeEquivalentTo(9))
}
