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

// serveEntry starts an HTTP server with the handler and returns its address.
func serveEntry(handle fasthttp.RequestHandler) string {
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

// closeConnection closes the connection without a response.
func closeConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

var _ = Describe("Client", func() {
	key := core.Key{Kind: core.KindZone, Name: "a"}
	var (
		mu     sync.Mutex
		nonces []string
	)
	recordNonce := func(handle fasthttp.RequestHandler) fasthttp.RequestHandler {
		return func(ctx *fasthttp.RequestCtx) {
			mu.Lock()
			nonces = append(nonces, string(ctx.Request.Header.Peek("X-Nonce")))
			mu.Unlock()
			handle(ctx)
		}
	}
	respond := func(status int, body string) fasthttp.RequestHandler {
		return recordNonce(func(ctx *fasthttp.RequestCtx) {
			ctx.SetStatusCode(status)
			ctx.SetBodyString(body)
		})
	}
	apply := func(entries ...string) (uint64, *client.Error) {
		mu.Lock()
		nonces = nil
		mu.Unlock()
		c := &client.Client{Entries: entries, Key: "k", RetryDelay: time.Millisecond, Timeout: time.Second}
		w, err := c.Apply(context.Background(), key, nil, 3, false)
		var callErr *client.Error
		errors.As(err, &callErr)
		return w.Version, callErr
	}
	const conflict = `{"error":{"reason":"conflict","message":"m","run":"no","conflict":{"version":9,"writer":"w"}}}`

	// Guards against a retry that the API cannot recognize as the same write.
	It("retries a write with the same nonce at the next entry", func() {
		version, callErr := apply(serveEntry(recordNonce(closeConnection)), serveEntry(respond(200, `{"version":4}`)))
		Expect(callErr).To(BeNil())
		Expect(version).To(BeEquivalentTo(4))
		Expect(nonces).To(HaveLen(2))
		Expect(nonces[0]).NotTo(BeEmpty())
		Expect(nonces[1]).To(Equal(nonces[0]))
	})

	// Guards against a conflict that is reported as "not executed" although an
	// earlier attempt may have been written and then overwritten.
	It("reports an unknown execution if an earlier attempt got no response", func() {
		_, callErr := apply(serveEntry(respond(409, conflict)))
		Expect(callErr.Run).To(Equal(core.NotExecuted))
		_, callErr = apply(serveEntry(recordNonce(closeConnection)), serveEntry(respond(409, conflict)))
		Expect(callErr.Run).To(Equal(core.ExecutionUnknown))
		Expect(callErr.Conflict.Writer).To(Equal("w"))
		_, callErr = apply("127.0.0.1:1", serveEntry(respond(409, conflict)))
		Expect(callErr.Run).To(Equal(core.NotExecuted))
	})

	// Guards against a failed call although another entry can reach the store,
	// and against unlimited retries.
	It("tries the next entry if one cannot reach the store", func() {
		storelessEntry := serveEntry(respond(503, `{"error":{"reason":"store_unavailable","message":"m","run":"no"}}`))
		version, callErr := apply(storelessEntry, serveEntry(respond(200, `{"version":4}`)))
		Expect(callErr).To(BeNil())
		Expect(version).To(BeEquivalentTo(4))
		_, callErr = apply(storelessEntry)
		Expect(callErr.Reason).To(Equal(core.ReasonStoreUnavailable))
		Expect(callErr.Run).To(Equal(core.NotExecuted))
		Expect(nonces).To(HaveLen(3))
	})

	// Guards against accepting the response of another server, such as a proxy.
	It("rejects responses that do not have the API's format", func() {
		for _, handle := range []fasthttp.RequestHandler{respond(200, "<html>"), respond(502, "<html>")} {
			_, callErr := apply(serveEntry(handle))
			Expect(callErr.Reason).To(Equal(core.ReasonCorruptAnswer))
			Expect(callErr.Run).To(Equal(core.ExecutionUnknown))
		}
	})

	// Guards against a program that cannot be interrupted during a call.
	It("returns when its context is canceled", func() {
		ctx, cancel := context.WithCancel(context.Background())
		release := make(chan struct{})
		defer close(release)
		c := &client.Client{Key: "k", Timeout: time.Minute, Entries: []string{serveEntry(func(*fasthttp.RequestCtx) {
			cancel()
			<-release
		})}}
		_, err := c.Apply(ctx, key, nil, 3, false)
		var callErr *client.Error
		Expect(errors.As(err, &callErr)).To(BeTrue())
		Expect(callErr.Reason).To(Equal(core.ReasonCanceled))
		Expect(callErr.Run).To(Equal(core.ExecutionUnknown))
	})
})
