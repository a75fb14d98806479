package suite

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/core/suite/answer"
)

// Upstream is a core.Engine under test. It must accept 16 concurrent requests,
// and a call must take between 20 ms and 2 s.
type Upstream struct {
	core.Engine
	// Tokens is the number of tokens in a response.
	Tokens int
	// Kill stops the upstream without waiting for its requests.
	Kill func()
}

// EngineSpecs registers the specs of core.Engine. newUpstream starts an upstream
// and stops it with DeferCleanup.
func EngineSpecs(name string, newUpstream func() Upstream) bool {
	return ginkgo.Describe(name, func() {
		var u Upstream
		ctx := context.Background()
		ginkgo.BeforeEach(func() { u = newUpstream() })
		newCall := func(i int) *core.Call {
			return &core.Call{
				RequestID: fmt.Sprintf("r%d", i), IdempotencyKey: fmt.Sprintf("k%d", i),
				Method: "POST", Path: "/answer?x=1", Body: fmt.Appendf(nil, "body %d", i), Timeout: 10 * time.Second,
			}
		}

		// Guards against responses that are delivered to the wrong call.
		ginkgo.It("returns to each of many concurrent calls its own response", func() {
			var wg sync.WaitGroup
			for i := range 64 {
				wg.Go(func() {
					defer ginkgo.GinkgoRecover()
					c := newCall(i % 8)
					for {
						response, err := u.Do(ctx, c)
						if r, ok := core.AsRefusal(err); ok && r.Reason == core.ReasonUpstreamBusy {
							time.Sleep(10 * time.Millisecond)
							continue
						}
						gomega.Expect(err).NotTo(gomega.HaveOccurred())
						data, err := io.ReadAll(response.Body)
						gomega.Expect(err).NotTo(gomega.HaveOccurred())
						gomega.Expect(response.Body.Close()).To(gomega.Succeed())
						if response.Status == 503 {
							time.Sleep(10 * time.Millisecond)
							continue
						}
						gomega.Expect(string(data)).To(gomega.Equal(string(answer.NewSeed(c.Body, c.IdempotencyKey, c.RequestID).JSON(u.Tokens))))
						return
					}
				})
			}
			wg.Wait()
		})

		// Guards against failures that report a call as not executed although it
		// may have been executed.
		ginkgo.It("distinguishes interrupted calls from calls that were not sent", func() {
			expiring := newCall(0)
			expiring.Timeout = 5 * time.Millisecond
			response, err := u.Do(ctx, expiring)
			if err == nil {
				_, err = io.ReadAll(response.Body)
			}
			gomega.Expect(trace.IsConnectionProblem(err)).To(gomega.BeTrue(), "%v", err)
			gomega.Expect(errors.Is(err, context.DeadlineExceeded)).To(gomega.BeTrue(), "%v", err)

			canceled, cancel := context.WithCancel(ctx)
			time.AfterFunc(5*time.Millisecond, cancel)
			start := time.Now()
			response, err = u.Do(canceled, newCall(1))
			if err == nil {
				_, err = io.ReadAll(response.Body)
			}
			gomega.Expect(trace.IsConnectionProblem(err)).To(gomega.BeTrue(), "%v", err)
			gomega.Expect(errors.Is(err, context.Canceled)).To(gomega.BeTrue(), "%v", err)
			gomega.Expect(time.Since(start)).To(gomega.BeNumerically("<", time.Second))

			_, err = u.Do(canceled, newCall(1))
			r, ok := core.AsRefusal(err)
			gomega.Expect(ok).To(gomega.BeTrue(), "%v", err)
			gomega.Expect(r.Execution).To(gomega.Equal(core.NotExecuted))

			failed := make(chan error, 1)
			go func() {
				response, err := u.Do(ctx, newCall(2))
				if err == nil {
					_, err = io.ReadAll(response.Body)
				}
				failed <- err
			}()
			time.Sleep(5 * time.Millisecond)
			u.Kill()
			gomega.Eventually(failed, "3s").Should(gomega.Receive(&err))
			gomega.Expect(trace.IsConnectionProblem(err)).To(gomega.BeTrue(), "%v", err)
			_, err = u.Do(ctx, newCall(3))
			r, ok = core.AsRefusal(err)
			gomega.Expect(ok).To(gomega.BeTrue(), "%v", err)
			gomega.Expect(r.Execution).To(gomega.Equal(core.NotExecuted))
		})

		// Guards against an adapter that sends the request to another host because
		// of its path.
		ginkgo.It("refuses a path that changes the host", func() {
			c := newCall(0)
			c.Path = "@127.0.0.1:1/"
			_, err := u.Do(ctx, c)
			r, ok := core.AsRefusal(err)
			gomega.Expect(ok).To(gomega.BeTrue(), "%v", err)
			gomega.Expect(r.Reason).To(gomega.Equal(core.ReasonBadRequest))
		})
	})
}
