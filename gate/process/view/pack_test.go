package view

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gravitational/trace"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"parsleyroute.example/core"
	"parsleyroute.example/core/wire"
	"parsleyroute.example/fakes/process/meta"
	"parsleyroute.example/platform"
)

const (
	// The largest deployment has 30 gates that do not watch the store, gates with
	// links of 40 Mbit/s, and changes that leave 1,650 routes, which must be in force
	// 2 s after their confirmation on the strictest one.
	pullingGates = 30
	linkRate     = 40e6
	largeRoutes  = 1650
	applyTimeout = 2 * time.Second
)

// largeConfig returns a configuration with largeRoutes routes with random names.
func largeConfig(version int) []byte {
	rng := rand.New(rand.NewPCG(1, 2))
	routes := make([]map[string]any, largeRoutes)
	for i := range routes {
		routes[i] = map[string]any{
			"name": fmt.Sprintf("r-%x", rng.Uint32()), "hostname": fmt.Sprintf("%x.example", rng.Uint32()),
			"path_prefix": fmt.Sprintf("/%x/", rng.Uint32()), "type": "safe", "backend": "dele69a", "timeout_ms": 8000, "slo_ms": 500,
			"priority": 1, "max_attempts": 2, "anonymous": false, "stream_resume": false, "gap_aim_ms": 150, "session_affinity": false,
		}
	}
	data, err := json.Marshal(map[string]any{"version": version, "routes": routes})
	if err != nil {
		panic(err)
	}
	return data
}

// runTasks runs the tasks of a view that follows no store, as its owner goroutine does.
func runTasks(ctx context.Context, v *View) {
	for {
		select {
		case f := <-v.tasks:
			f()
		case <-ctx.Done():
			return
		}
	}
}

// Guards against pulls of a large configuration that all time out because many gates
// pull it from a peer with a slow link at the same time.
func TestLargeConfigOverSlowLink(t *testing.T) {
	g := NewWithT(t)
	srv := &meta.Server{}
	g.Expect(srv.Start()).To(Succeed())
	defer srv.Close()
	srv.Put("config", "main", config(7))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	peer := &View{Decoder: platform.Decoder{}, OnChange: func(State) {}}
	peer.init()
	go runTasks(ctx, peer)
	object := core.Object{Key: core.Key{Kind: core.KindConfig, Name: core.ActiveConfigName}, Version: 900, Value: largeConfig(30)}
	peer.enqueue(ctx, func() { peer.apply(core.KindConfig, []core.Object{object}, 900, true, "test", 0) })
	var version atomic.Uint64
	w := &View{
		Store: platform.NewStore(srv.Addr()), Decoder: platform.Decoder{}, ShouldWatch: func() bool { return false },
		OnChange: func(s State) {
			if s.Config != nil {
				version.Store(s.Config.Version)
			}
		},
		Pull: func(ctx context.Context, _ netip.AddrPort, r *wire.PullRequest) (*wire.PullResponse, error) {
			resp, err := Server{View: peer}.Pull(ctx, r)
			if err != nil {
				return nil, err
			}
			seconds := float64(proto.Size(resp)) * 8 * pullingGates / linkRate
			select {
			case <-time.After(time.Duration(seconds * float64(time.Second))):
				return resp, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		},
	}
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	defer func() { cancel(); <-done }()
	g.Eventually(version.Load, "2s").Should(BeEquivalentTo(7))
	g.Eventually(func() uint64 {
		w.ObservePeer(ctx, netip.MustParseAddrPort("10.0.0.9:1"), peer.KnownRevisions())
		return version.Load()
	}, applyTimeout, "50ms").Should(BeEquivalentTo(30))
}

// Guards against a peer that exhausts the memory with a state that expands without end,
// and against one that sends bytes that are no state.
func TestUnpackBounds(t *testing.T) {
	g := NewWithT(t)
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = w.Write(make([]byte, maxUnpackedSize+1))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.Close()).To(Succeed())
	_, err = unpack(&wire.KindState{Packed: b.Bytes()})
	g.Expect(trace.IsLimitExceeded(err)).To(BeTrue())
	_, err = unpack(&wire.KindState{Packed: []byte("no state")})
	g.Expect(trace.IsBadParameter(err)).To(BeTrue())
}
