package flow_test

import (
	"testing"

	"github.com/gravitational/trace"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/core/suite/seed"
	"parsleyroute.example/entry/flow"
)

func TestFlow(t *testing.T) {
	seed.RunSpecs(t, "flow")
}

// Guards against "run: no" for a request that an earlier call with the same key has
// run: a restarted or rate-limited entry refuses the retry before it looks up the
// key.
var _ = DescribeTable("a refusal before the key is looked up",
	func(key string, reason core.Reason, execution core.Execution) {
		original := core.NewRefusal(reason, "refused")
		got, ok := core.AsRefusal(flow.RefusalBeforeLookup(key, original))
		Expect(ok).To(BeTrue())
		Expect(got.Reason).To(Equal(reason))
		Expect(got.Execution).To(Equal(execution))
		Expect(original.Execution).To(Equal(core.NotExecuted), "the original refusal must not be modified")
	},
	Entry("not ready", "k", core.ReasonNotReady, core.ExecutionUnknown),
	Entry("unknown team", "k", core.ReasonUnauthenticated, core.ExecutionUnknown),
	Entry("unknown service", "k", core.ReasonNotFound, core.ExecutionUnknown),
	Entry("over the rate limit", "k", core.ReasonRateLimited, core.ExecutionUnknown),
	Entry("malformed", "k", core.ReasonBadRequest, core.NotExecuted),
	Entry("without a key", "", core.ReasonNotReady, core.NotExecuted),
)

// Guards against converting errors of other types to refusals.
var _ = It("returns an error that is not a refusal unchanged", func() {
	err := trace.ConnectionProblem(nil, "lost")
	Expect(flow.RefusalBeforeLookup("k", err)).To(Equal(err))
})
