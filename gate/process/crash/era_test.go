package crash_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/fakes/process/meta"
	"parsleyroute.example/gate/process/crash"
	"parsleyroute.example/gate/process/policy"
	"parsleyroute.example/platform"
)

// Guards against a record that is lost for good when the store comes back from a copy, with
// an earlier record or without any, although a gate still knows the crashes.
func TestRecordInNewEra(t *testing.T) {
	g := NewWithT(t)
	srv := &meta.Server{}
	g.Expect(srv.Start()).To(Succeed())
	defer srv.Close()
	store := platform.NewStore(srv.Addr())
	ctx, cancel := context.WithCancel(t.Context())
	known, done := &gate{}, make(chan struct{})
	s := &crash.Saver{Store: store, Containment: &known.Containment, IsWriter: func() bool { return true }, Era: store.Era}
	go func() { defer close(done); s.Run(ctx) }()
	defer func() { cancel(); <-done }()
	for i, copied := range []bool{false, true} {
		if i == 0 {
			srv.Copy()
		}
		crashed := uint64(20 + i)
		known.Observe(policy.Crash{ID: uint64(1 + i), Upstream: uint64(1 + i), Parts: []uint64{crashed}, At: time.Now()})
		before := record(store)()
		g.Eventually(record(store), "3s").ShouldNot(Equal(before))
		srv.Restore()
		// Any call names the new era.
		g.Eventually(func() bool {
			_ = record(store)()
			later := startGate(t, platform.NewStore(srv.Addr()), false)
			time.Sleep(100 * time.Millisecond)
			defer later.stop()
			return later.contains(crashed)()
		}, "4s", "100ms").Should(BeTrue(), "copied record %t", copied)
		srv.Copy()
	}
}
