package objsrv_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/gravitational/trace"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/objapi"
	"parsleyroute.example/core/suite"
	"parsleyroute.example/core/suite/seed"
	"parsleyroute.example/fakes/process/objsrv"
)

func TestPlatform(t *testing.T) {
	seed.RunSpecs(t, "platform")
}

func start(f objsrv.Faults) (*objsrv.Server, *objapi.Store) {
	GinkgoHelper()
	srv := &objsrv.Server{Faults: f}
	Expect(srv.Start()).To(Succeed())
	DeferCleanup(srv.Close)
	return srv, &objapi.Store{Addr: srv.Addr(), WatchWait: 100 * time.Millisecond, Timeout: 500 * time.Millisecond}
}

var _ = suite.StoreSpecs("Store over HTTP", func() core.Store {
	_, s := start(objsrv.Faults{})
	s.Timeout = 5 * time.Second
	return s
})

var _ = Describe("Faults", func() {
	ctx := context.Background()
	obj := core.Object{Key: core.Key{Kind: core.KindTeam, Name: "a"}, Nonce: "n"}

	// Guards against an adapter that retries a write whose response was lost: the
	// retry would report a conflict with the caller's own write.
	It("loses the response of a write that takes effect", func() {
		srv, s := start(objsrv.Faults{LoseResponses: 1, LoseKind: core.KindTeam})
		_, err := s.Create(ctx, core.Object{Key: core.Key{Kind: core.KindZone, Name: "z"}})
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Create(ctx, obj)
		Expect(trace.IsConnectionProblem(err)).To(BeTrue(), "%v", err)
		got, err := s.Get(ctx, obj.Key)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Nonce).To(Equal("n"))
		_, st := srv.State()
		Expect(st.Writes).To(Equal(2))
		Expect(st.LostResponses).To(Equal(1))
	})

	// Guards against an adapter that reports rate limiting as an outage.
	It("limits writes and reads separately", func() {
		_, s := start(objsrv.Faults{WriteRate: 0.001})
		_, err := s.Create(ctx, obj)
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Create(ctx, obj)
		Expect(trace.IsLimitExceeded(err)).To(BeTrue(), "%v", err)
		_, err = s.Get(ctx, obj.Key)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against requests, in particular waiting watches, that do not notice
	// an outage.
	It("refuses requests and ends watches during an outage", func() {
		srv, s := start(objsrv.Faults{})
		s.WatchWait = 10 * time.Second
		failed := make(chan error, 1)
		go func() {
			_, err := s.Watch(ctx, 0, core.KindTeam)
			failed <- err
		}()
		Eventually(func() int { _, st := srv.State(); return st.WaitingWatches }, "2s").Should(Equal(1))
		Expect(srv.SetFaults(objsrv.Faults{Outage: true})).To(Succeed())
		var err error
		Eventually(failed, "2s").Should(Receive(&err))
		Expect(trace.IsConnectionProblem(err)).To(BeTrue(), "%v", err)
		_, err = s.Get(ctx, obj.Key)
		Expect(trace.IsConnectionProblem(err)).To(BeTrue(), "%v", err)
		Expect(srv.SetFaults(objsrv.Faults{Hang: true})).To(Succeed())
		_, err = s.Create(ctx, obj)
		Expect(trace.IsConnectionProblem(err)).To(BeTrue(), "%v", err)
		Expect(srv.SetFaults(objsrv.Faults{})).To(Succeed())
		_, _, err = s.List(ctx, core.KindTeam)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a response that is written into the caller's variables after
	// the caller has canceled the request. The race detector reports such a write.
	It("discards responses that arrive during cancellation", func() {
		_, s := start(objsrv.Faults{DelayMs: 2})
		created, err := s.Create(ctx, obj)
		Expect(err).NotTo(HaveOccurred())
		for i := range 40 {
			cancelCtx, cancel := context.WithCancel(ctx)
			time.AfterFunc(time.Duration(i)*100*time.Microsecond, cancel)
			got, err := s.Get(cancelCtx, obj.Key)
			cancel()
			if err == nil {
				Expect(got).To(Equal(created))
			} else {
				Expect(trace.IsConnectionProblem(err)).To(BeTrue(), "%v", err)
				Expect(got).To(BeZero())
			}
		}
	})

	// Guards against fetches that exceed the rate of the weight store.
	It("makes fetches wait for the rate limit", func() {
		srv, _ := start(objsrv.Faults{WeightRate: 20})
		w := &objapi.WeightStore{Addr: srv.Addr()}
		begin := time.Now()
		for i := range 4 {
			Expect(w.Fetch(ctx, "g", 0, 0, uint32(i))).To(Succeed())
		}
		Expect(time.Since(begin)).To(BeNumerically(">=", 140*time.Millisecond))
	})

	// Guards against control requests whose misspelt or invalid settings are
	// accepted.
	It("is controlled over HTTP", func() {
		srv, s := start(objsrv.Faults{})
		Expect(put(srv.Addr(), "/control/faults", `{"outage":true}`)).To(Equal(200))
		Expect(put(srv.Addr(), "/control/faults", `{"delay_ms":1}`)).To(Equal(200))
		_, err := s.Get(ctx, obj.Key)
		Expect(trace.IsConnectionProblem(err)).To(BeTrue(), "%v", err)
		Expect(put(srv.Addr(), "/control/faults", `{"outtage":true}`)).To(Equal(400))
		Expect(put(srv.Addr(), "/control/faults", `{"delay_ms":-1}`)).To(Equal(400))
		Expect(put(srv.Addr(), "/control/instances", `{"name":"e","role":"entry","zone":"a","peer":"127.0.0.1:7","leaving":true}`)).To(Equal(200))
		Expect(put(srv.Addr(), "/control/instances", `{"name":"e"}`)).To(Equal(400))
		l := &objapi.Lister{Addr: srv.Addr()}
		list, revision, err := l.Instances(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(revision).To(BeEquivalentTo(1))
		Expect(list).To(Equal([]core.Instance{{Name: "e", Role: core.RoleEntry, Zone: "a", PeerAddr: netip.MustParseAddrPort("127.0.0.1:7"), Leaving: true}}))
		Expect((&objsrv.Server{Listen: netip.MustParseAddrPort("0.0.0.0:0")}).Start()).To(Satisfy(trace.IsBadParameter))
	})
})

func put(addr netip.AddrPort, path, body string) int {
	GinkgoHelper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI(fmt.Sprintf("http://%s%s", addr, path))
	req.Header.SetMethod("PUT")
	req.SetBodyString(body)
	Expect(fasthttp.DoTimeout(req, resp, 2*time.Second)).To(Succeed())
	return resp.StatusCode()
}

var _ = Describe("Instance list", func() {
	// Guards against a list that is sent again although the reader has it, and
	// against a reader that keeps an outdated list.
	It("sends an unchanged list once", func() {
		srv := &objsrv.Server{}
		Expect(srv.Start()).To(Succeed())
		DeferCleanup(srv.Close)
		lister := &objapi.Lister{Addr: srv.Addr()}
		add := func(name string) {
			Expect(put(srv.Addr(), "/control/instances", `{"name":"`+name+`","role":"entry","zone":"a","peer":"127.0.0.1:7"}`)).To(Equal(200))
		}
		add("a")
		for range 2 {
			list, _, err := lister.Instances(context.Background())
			Expect(err).NotTo(HaveOccurred())
			Expect(list).To(HaveLen(1))
		}
		add("b")
		list, _, err := lister.Instances(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(list).To(HaveLen(2))
	})
})
