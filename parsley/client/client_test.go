package client_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"parsleyroute.example/core"
	"parsleyroute.example/core/suite/seed"
	"parsleyroute.example/parsley/client"
)

func TestClient(t *testing.T) {
	seed.RunSpecs(t, "client")
}

// entry serves handle and returns the address.
func entry(handle fasthttp.RequestHandler) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &fasthttp.Server{Handler: handle}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ln)
	}()
	DeferCleanup(func() {
		Expect(s.Shutdown()).To(Succeed())
		<-done
	})
	return ln.Addr().String()
}

// drop closes the connection without an answer.
func drop(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

var _ = Describe("Client", func() {
	key := core.Key{Kind: core.KindZone, Name: "a"}
	var (
		mu     sync.Mutex
		nonces []string
	)
	note := func(handle fasthttp.RequestHandler) fasthttp.RequestHandler {
		return func(ctx *fasthttp.RequestCtx) {
			mu.Lock()
			nonces = append(nonces, string(ctx.Request.Header.Peek("X-Nonce")))
			mu.Unlock()
			handle(ctx)
		}
	}
	answer := func(status int, body string) fasthttp.RequestHandler {
		return note(func(ctx *fasthttp.RequestCtx) {
			ctx.SetStatusCode(status)
			ctx.SetBodyString(body)
		})
	}
	apply := func(entries ...string) (uint64, *client.Error) {
		mu.Lock()
		nonces = nil
		mu.Unlock()
		c := &client.Client{Entries: entries, Key: "k", Pause: time.Millisecond, Timeout: time.Second}
		w, err := c.Apply(context.Background(), key, nil, 3, false)
		var failure *client.Error
		errors.As(err, &failure)
		return w.Version, failure
	}
	const conflict = `{"error":{"reason":"conflict","message":"m","run":"no","conflict":{"version":9,"writer":"w"}}}`

	// Guards against a repetition that the API cannot recognise.
	It("repeats a write with the same nonce at the next entry", func() {
		version, failure := apply(entry(note(drop)), entry(answer(200, `{"version":4}`)))
		Expect(failure).To(BeNil())
		Expect(version).To(BeEquivalentTo(4))
		Expect(nonces).To(HaveLen(2))
		Expect(nonces[0]).NotTo(BeEmpty())
		Expect(nonces[1]).To(Equal(nonces[0]))
	})

	// Guards against a conflict that is reported as "not written" although an
	// attempt before it may have been written and then replaced.
	It("keeps an unknown outcome unknown", func() {
		_, failure := apply(entry(answer(409, conflict)))
		Expect(failure.Run).To(Equal(core.NotExecuted))
		_, failure = apply(entry(note(drop)), entry(answer(409, conflict)))
		Expect(failure.Run).To(Equal(core.ExecutionUnknown))
		Expect(failure.Conflict.Writer).To(Equal("w"))
		_, failure = apply("127.0.0.1:1", entry(answer(409, conflict)))
		Expect(failure.Run).To(Equal(core.NotExecuted))
	})

	// Guards against an outage of the store at one entry that hides that
	// another entry reaches it, and against endless repetition.
	It("asks another entry when one cannot reach the store", func() {
		down := entry(answer(503, `{"error":{"reason":"store_unavailable","message":"m","run":"no"}}`))
		version, failure := apply(down, entry(answer(200, `{"version":4}`)))
		Expect(failure).To(BeNil())
		Expect(version).To(BeEquivalentTo(4))
		_, failure = apply(down)
		Expect(failure.Reason).To(Equal(core.ReasonStoreUnavailable))
		Expect(failure.Run).To(Equal(core.NotExecuted))
		Expect(nonces).To(HaveLen(3))
	})

	// Guards against an answer of something else that passes for the API's.
	It("refuses answers that are not the API's", func() {
		for _, handle := range []fasthttp.RequestHandler{answer(200, "<html>"), answer(502, "<html>")} {
			_, failure := apply(entry(handle))
			Expect(failure.Reason).To(Equal(core.ReasonCorruptAnswer))
			Expect(failure.Run).To(Equal(core.ExecutionUnknown))
		}
	})

	// Guards against a program that cannot be interrupted.
	It("returns when its context ends", func() {
		ctx, cancel := context.WithCancel(context.Background())
		release := make(chan struct{})
		defer close(release)
		c := &client.Client{Key: "k", Timeout: time.Minute, Entries: []string{entry(func(*fasthttp.RequestCtx) {
			cancel()
			<-release
		})}}
		_, err := c.Apply(ctx, key, nil, 3, false)
		var failure *client.Error
		Expect(errors.As(err, &failure)).To(BeTrue())
		Expect(failure.Reason).To(Equal(core.ReasonCanceled))
		Expect(failure.Run).To(Equal(core.ExecutionUnknown))
	})
})
