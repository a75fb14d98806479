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

// Upstream is a core.Engine under test. It bears 16 requests at once, and a
// call takes from 20 ms to 2 s.
type Upstream struct {
	core.Engine
	// Tokens is the number of tokens in an answer.
	Tokens int
	// Kill ends the upstream at once.
	Kill func()
}

// EngineSpecs registers the specs of core.Engine. open starts an upstream, and
// releases it with DeferCleanup.
func EngineSpecs(name string, open func() Upstream) bool {
	return ginkgo.Describe(name, func() {
		var u Upstream
		ctx := context.Background()
		ginkgo.BeforeEach(func() { u = open() })
		call := func(i int) *core.Call {
			return &core.Call{
				RequestID: fmt.Sprintf("r%d", i), IdempotencyKey: fmt.Sprintf("k%d", i),
				Method: "POST", Path: "/answer?x=1", Body: fmt.Appendf(nil, "body %d", i), Timeout: 10 * time.Second,
			}
		}

		// Guards against answers that reach another call than their own.
		ginkgo.It("gives each of many calls its own answer", func() {
			var wg sync.WaitGroup
			for i := range 64 {
				wg.Go(func() {
					defer ginkgo.GinkgoRecover()
					c := call(i % 8)
					for {
						reply, err := u.Do(ctx, c)
						if r, ok := core.AsRefusal(err); ok && r.Reason == core.ReasonUpstreamBusy {
							time.Sleep(10 * time.Millisecond)
							continue
						}
						gomega.Expect(err).NotTo(gomega.HaveOccurred())
						data, err := io.ReadAll(reply.Body)
						gomega.Expect(err).NotTo(gomega.HaveOccurred())
						gomega.Expect(reply.Body.Close()).To(gomega.Succeed())
						if reply.Status == 503 {
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

		// Guards against failures after which the caller takes a call for not
		// run that may have run.
		ginkgo.It("tells calls that were cut from calls that were not sent", func() {
			short := call(0)
			short.Timeout = 5 * time.Millisecond
			reply, err := u.Do(ctx, short)
			if err == nil {
				_, err = io.ReadAll(reply.Body)
			}
			gomega.Expect(trace.IsConnectionProblem(err)).To(gomega.BeTrue(), "%v", err)
			gomega.Expect(errors.Is(err, context.DeadlineExceeded)).To(gomega.BeTrue(), "%v", err)

			gone, cancel := context.WithCancel(ctx)
			time.AfterFunc(5*time.Millisecond, cancel)
			begin := time.Now()
			reply, err = u.Do(gone, call(1))
			if err == nil {
				_, err = io.ReadAll(reply.Body)
			}
			gomega.Expect(trace.IsConnectionProblem(err)).To(gomega.BeTrue(), "%v", err)
			gomega.Expect(errors.Is(err, context.Canceled)).To(gomega.BeTrue(), "%v", err)
			gomega.Expect(time.Since(begin)).To(gomega.BeNumerically("<", time.Second))

			_, err = u.Do(gone, call(1))
			r, ok := core.AsRefusal(err)
			gomega.Expect(ok).To(gomega.BeTrue(), "%v", err)
			gomega.Expect(r.Execution).To(gomega.Equal(core.NotExecuted))

			failed := make(chan error, 1)
			go func() {
				reply, err := u.Do(ctx, call(2))
				if err == nil {
					_, err = io.ReadAll(reply.Body)
				}
				failed <- err
			}()
			time.Sleep(5 * time.Millisecond)
			u.Kill()
			gomega.Eventually(failed, "3s").Should(gomega.Receive(&err))
			gomega.Expect(trace.IsConnectionProblem(err)).To(gomega.BeTrue(), "%v", err)
			_, err = u.Do(ctx, call(3))
			r, ok = core.AsRefusal(err)
			gomega.Expect(ok).To(gomega.BeTrue(), "%v", err)
			gomega.Expect(r.Execution).To(gomega.Equal(core.NotExecuted))
		})

		// Guards against requests that are changed into others by the adapter.
		ginkgo.It("refuses a path that leaves the upstream", func() {
			c := call(0)
			c.Path = "@127.0.0.1:1/"
			_, err := u.Do(ctx, c)
			r, ok := core.AsRefusal(err)
			gomega.Expect(ok).To(gomega.BeTrue(), "%v", err)
			gomega.Expect(r.Reason).To(gomega.Equal(core.ReasonBadRequest))
		})
	})
}
